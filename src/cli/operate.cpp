#include "cli/operate.h"

#include <poll.h>
#include <sys/socket.h>

#include <cerrno>
#include <chrono>
#include <fstream>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <stdexcept>
#include <thread>

#include "app/app.h"
#include "config/config.h"
#include "maintenance/log_entry.h"
#include "maintenance/timeline.h"
#include "net/socket.h"
#include "raft/config.h"
#include "raft/raft_replica.h"

namespace lotusyard {
namespace {

using nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr int kAnswerMs = 3000;  // an admin endpoint answers at once
constexpr int kAgainMs = 1000;   // a proposal that nothing is known of is sent again: it holds once
constexpr std::size_t kLongestAnswer = 16U << 20;

struct Reply {
  int status = 0;
  std::string body;
};

bool wait_for(const net::Socket& socket, short events, Clock::time_point until) {
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - Clock::now()).count();
  pollfd one{socket.fd(), events, 0};
  return left > 0 && poll(&one, 1, static_cast<int>(left)) == 1;
}

std::string escaped(const std::string& path) {
  static constexpr const char* digits = "0123456789ABCDEF";
  std::string out;
  for (const char c : path) {
    const auto byte = static_cast<unsigned char>(c);
    const bool plain = std::isalnum(byte) != 0 || c == '-' || c == '_' || c == '.' || c == '/' || c == '~';
    if (plain) {
      out += c;
    } else {
      out += '%';
      out += digits[byte >> 4];
      out += digits[byte & 15];
    }
  }
  return out;
}

Reply ask(const std::string& address, const std::string& method, const std::string& path) {
  const auto until = Clock::now() + std::chrono::milliseconds(kAnswerMs);
  const net::Socket socket = net::connect_to(address).socket;
  if (!socket || !wait_for(socket, POLLOUT, until) || net::pending_error(socket) != 0)
    throw std::runtime_error("no member answers at " + address);
  const std::string call = method + ' ' + escaped(path) + " HTTP/1.1\r\nHost: " + address +
                           "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
  for (std::size_t sent = 0; sent < call.size();) {
    const ssize_t went = ::send(socket.fd(), call.data() + sent, call.size() - sent, MSG_NOSIGNAL);
    if (went > 0)
      sent += static_cast<std::size_t>(went);
    else if (went < 0 && errno == EAGAIN && wait_for(socket, POLLOUT, until))
      continue;
    else
      throw std::runtime_error("the member at " + address + " hung up");
  }
  std::string got;
  char block[16384];
  while (got.size() < kLongestAnswer) {
    if (!wait_for(socket, POLLIN, until))
      throw std::runtime_error("the member at " + address + " does not answer");
    const ssize_t read = ::recv(socket.fd(), block, sizeof block, 0);
    if (read < 0 && (errno == EAGAIN || errno == EINTR))
      continue;
    if (read <= 0)
      break;
    got.append(block, static_cast<std::size_t>(read));
  }
  const auto head = got.find("\r\n\r\n");
  if (head == std::string::npos || got.compare(0, 9, "HTTP/1.1 ") != 0)
    throw std::runtime_error("the member at " + address + " gave no answer");
  Reply out{std::atoi(got.c_str() + 9), got.substr(head + 4)};
  while (!out.body.empty() && out.body.back() == '\n')
    out.body.pop_back();
  return out;
}

json show(const std::string& address, const std::string& path) {
  const Reply reply = ask(address, "GET", path);
  if (reply.status != 200)
    throw std::runtime_error("the member at " + address + ": " + reply.body);
  return json::parse(reply.body);
}

std::string made_up_id() {
  std::random_device source;
  char text[32];
  std::snprintf(text, sizeof text, "%08x%08x", source(), source());
  return text;
}

// Whether the group has agreed upon a proposal and what came of it; nothing: not within the time.
std::optional<json> settle(const std::string& address, const json& proposal, double seconds,
                           std::string& last) {
  const auto until = Clock::now() + std::chrono::milliseconds(static_cast<long>(seconds * 1000));
  const std::string id = proposal.at("id").get<std::string>();
  auto again = Clock::now();
  while (Clock::now() < until) {
    if (Clock::now() >= again) {
      const Reply sent = ask(address, "POST", "/-/works/propose/" + proposal.dump());
      last = sent.body;
      if (sent.status != 202 && sent.status != 503)
        throw std::runtime_error(sent.body);
      again = Clock::now() + std::chrono::milliseconds(kAgainMs);
    }
    const Reply came = ask(address, "GET", "/-/works/outcome/" + id);
    if (came.status == 200)
      return json::parse(came.body);
    last = came.body;
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  return std::nullopt;
}

struct Asked {
  std::string at, work, host, id;
  std::vector<std::string> hosts, zones, kinds, logs;
  bool all = false, wait = false, answers = false, as_json = false;
  int out = 1, zone_out = 0, kind_out = 0;
  double usable = 0.5, away_s = 600, pause_s = 0, patience_s = 10;
  std::string svg, file, member;
};

int propose(const Asked& asked, json proposal) {
  proposal["id"] = asked.id.empty() ? made_up_id() : asked.id;
  std::string last;
  const auto outcome = settle(asked.at, proposal, asked.patience_s, last);
  if (!outcome) {
    std::cerr << "not agreed upon within " << asked.patience_s << " s (" << last
              << "); it may still be: ask again with --id " << proposal["id"].get<std::string>() << std::endl;
    return 3;
  }
  const bool done = outcome->at("done").get<bool>();
  (done ? std::cout : std::cerr) << (done ? "agreed" : "refused: " + outcome->at("why").get<std::string>())
                                 << ", index " << outcome->at("index") << std::endl;
  return done ? 0 : 1;
}

// From which index an answer speaks, and whether a majority stands behind that.
std::string standing(const Asked& asked) {
  std::string last;
  json ask = {{"t", "ask"}, {"id", made_up_id()}};
  const auto outcome = settle(asked.at, ask, std::min(asked.patience_s, 3.0), last);
  return outcome ? "confirmed by a majority at index " + outcome->at("index").dump()
                 : "NOT confirmed: no majority answers; what follows may be old";
}

// What a member says, under a heading; nothing: it was to be printed as it is, and has been.
std::optional<json> look(const Asked& asked, const std::string& path) {
  const std::string stands = standing(asked);
  json said = show(asked.at, path);
  if (asked.as_json) {
    std::cout << said.dump() << std::endl;
    return std::nullopt;
  }
  std::cout << "index " << said.at("index") << " of member " << said.at("member").get<std::string>() << ", "
            << stands << '\n';
  return said;
}

void print_work(const json& work, bool hosts) {
  std::map<std::string, int> stages;
  for (const auto& [id, h] : work.at("hosts").items())
    ++stages[h.at("stage").get<std::string>()];
  std::cout << work.at("id").get<std::string>() << ' ' << work.at("state").get<std::string>();
  for (const auto& [stage, count] : stages)
    std::cout << ' ' << count << ' ' << stage;
  const std::string waits = work.at("waits").get<std::string>();
  std::cout << (waits.empty() ? "" : ": " + waits) << '\n';
  if (!hosts)
    return;
  for (const auto& [id, h] : work.at("hosts").items()) {
    const std::string reason = h.at("reason").get<std::string>();
    std::cout << "  " << id << ' ' << h.at("stage").get<std::string>()
              << (h.at("late").get<bool>() ? " late" : "") << (reason.empty() ? "" : ": " + reason) << '\n';
  }
}

const json* find_work(const json& works, const std::string& id) {
  for (const auto& w : works.at("works")) {
    if (w.at("id") == id)
      return &w;
  }
  return nullptr;
}

int list(const Asked& asked, bool hosts) {
  const auto works = look(asked, "/-/works");
  if (!works)
    return 0;
  bool found = asked.work.empty();
  for (const auto& w : works->at("works")) {
    if (!asked.work.empty() && w.at("id") != asked.work)
      continue;
    found = true;
    print_work(w, hosts);
  }
  std::cout << std::flush;
  if (!found)
    std::cerr << "no work " << asked.work << std::endl;
  return found ? 0 : 1;
}

// Prints each change until the work is done or called off.
int watch(const Asked& asked) {
  std::string before;
  while (true) {
    json works;
    try {
      works = show(asked.at, "/-/works");
    } catch (const std::exception& fault) {
      std::cerr << fault.what() << std::endl;
      std::this_thread::sleep_for(std::chrono::seconds(1));
      continue;
    }
    const json* work = find_work(works, asked.work);
    if (work != nullptr && work->dump() != before) {
      before = work->dump();
      std::cout << "index " << works.at("index") << ": ";
      print_work(*work, false);
      std::cout << std::flush;
      const std::string state = work->at("state").get<std::string>();
      if (state == "done" || state == "cancelled")
        return state == "done" ? 0 : 1;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
  }
}

int add(const Asked& asked) {
  json select = json::object();
  if (asked.all)
    select["all"] = true;
  if (!asked.hosts.empty())
    select["hosts"] = asked.hosts;
  if (!asked.zones.empty())
    select["zones"] = asked.zones;
  if (!asked.kinds.empty())
    select["kinds"] = asked.kinds;
  const json bounds = {
      {"out", asked.out},        {"zone", asked.zone_out},         {"kind", asked.kind_out},
      {"usable", asked.usable},  {"away_ms", asked.away_s * 1000}, {"pause_ms", asked.pause_s * 1000},
      {"answers", asked.answers}};
  const int status =
      propose(asked, {{"t", "add"}, {"added", {{"id", asked.work}, {"select", select}, {"bounds", bounds}}}});
  return status == 0 && asked.wait ? watch(asked) : status;
}

int status(const Asked& asked) {
  const auto said = look(asked, "/-/group");
  if (!said)
    return 0;
  const json& group = *said;
  std::cout << "term " << group.at("term") << ", led by " << group.at("leader")
            << (group.at("leads").get<bool>() ? " (this one)" : "") << ", lease " << group.at("lease_ms")
            << " ms" << (group.at("failed").get<bool>() ? ", FAILED" : "") << '\n';
  for (const auto& s : group.at("servers"))
    std::cout << "  " << s.at("id") << ' ' << s.at("address").get<std::string>() << ' '
              << s.at("role").get<std::string>() << '\n';
  for (const auto& [name, m] : group.at("members").items())
    std::cout << "  " << name << " life " << m.at("life") << ", follows to " << m.at("follows")
              << ", silent for " << m.at("silent_ms") << " ms, lists " << m.at("listed") << " hosts\n";
  if (group.contains("control")) {
    const json& control = group.at("control");
    std::cout << "this control node: " << control.at("sessions") << " sessions, which have applied to "
              << control.at("applied") << ", settled to " << control.at("settled") << ", followed to "
              << control.at("followed") << '\n';
  }
  std::cout << std::flush;
  return 0;
}

int found(const Asked& asked) {
  const auto file = config::read_json_file(asked.file);
  const auto config = config::read_config(file, read_environment());
  const auto group = raft::parse_config(file, config.name, core::longest_deadline(config.settings));
  if (!group)
    throw config::ConfigError("configuration: group: not set");
  raft::RaftReplica::bootstrap(*group);
  std::cout << "member " << group->member << " of group " << group->cluster << " may start" << std::endl;
  return 0;
}

int timeline(const Asked& asked) {
  std::vector<std::string> lines;
  for (const auto& path : asked.logs) {
    std::ifstream in(path);
    if (!in)
      throw std::runtime_error(path + ": cannot be read");
    for (std::string line; std::getline(in, line);)
      lines.push_back(line);
  }
  const auto events = maintenance::parse_timeline(lines);
  std::cout << maintenance::render_table(events) << std::flush;
  if (asked.svg.empty())
    return 0;
  std::ofstream out(asked.svg);
  out << maintenance::render_svg(events);
  out.close();
  if (!out)
    throw std::runtime_error(asked.svg + ": cannot be written");
  return 0;
}

}  // namespace

void add_operating(CLI::App& app, std::function<int()>& chosen) {
  const auto asked = std::make_shared<Asked>();
  const auto command = [&chosen, asked](CLI::App* part, const char* name, const char* what,
                                        int (*run)(const Asked&)) {
    auto* made = part->add_subcommand(name, what);
    made->callback([&chosen, asked, run] { chosen = [asked, run] { return run(*asked); }; });
    return made;
  };
  const auto at = [asked](CLI::App* made) {
    made->add_option("--at", asked->at, "the address of any member's door")->required();
    made->add_option("--patience", asked->patience_s, "seconds to wait for an answer of the group (10)");
    made->add_option("--id", asked->id, "the proposal's own name: the same again changes nothing twice");
  };
  const auto of_work = [asked, at](CLI::App* made) {
    at(made);
    made->add_option("work", asked->work)->required();
  };
  auto* group = app.add_subcommand("group", "the members that settle among themselves");
  group->require_subcommand(1);
  command(group, "init", "begins this member's store, once, before a group's first start", &found)
      ->add_option("file", asked->file)
      ->required();
  auto* said = command(group, "status", "who is in, who leads, from which index this member speaks", &status);
  at(said);
  said->add_flag("--json", asked->as_json);
  auto* leave = command(
      group, "leave", "says that a member is gone for good: its process must have ended", [](const Asked& a) {
        return propose(a, {{"t", "leave"}, {"member", a.member}, {"reason", "said by an operator"}});
      });
  at(leave);
  leave->add_option("member", asked->member)->required();

  auto* works = app.add_subcommand("works", "works on machines");
  works->require_subcommand(1);
  auto* adds = command(works, "add", "gives the group a work", &add);
  of_work(adds);
  adds->add_option("--host", asked->hosts, "hosts by id");
  adds->add_option("--zone", asked->zones, "all hosts of these zones");
  adds->add_option("--kind", asked->kinds, "all hosts of these kinds");
  adds->add_flag("--all", asked->all, "all hosts");
  adds->add_option("--out", asked->out, "how many may be out at once (1)");
  adds->add_option("--zone-out", asked->zone_out, "and of each zone (0: no bound)");
  adds->add_option("--kind-out", asked->kind_out, "and of each kind (0: no bound)");
  adds->add_option("--usable", asked->usable, "least share of all hosts that stays usable (0.5)");
  adds->add_option("--away", asked->away_s, "seconds that a host may be out (600)");
  adds->add_option("--pause", asked->pause_s, "seconds after each return (0)");
  adds->add_flag("--answers", asked->answers, "a host that starts anew while it is out is back");
  adds->add_flag("--wait", asked->wait, "shows progress until the work is done");
  auto* lists = command(works, "list", "all works", [](const Asked& a) { return list(a, false); });
  at(lists);
  lists->add_flag("--json", asked->as_json);
  auto* shows =
      command(works, "show", "one work, host by host", [](const Asked& a) { return list(a, true); });
  of_work(shows);
  shows->add_flag("--json", asked->as_json);
  of_work(command(works, "wait", "shows progress until the work is done", &watch));
  of_work(command(works, "pause", "no further host is taken", [](const Asked& a) {
    return propose(a, {{"t", "alter"}, {"work", a.work}, {"state", "paused"}});
  }));
  of_work(command(works, "resume", "hosts are taken again", [](const Asked& a) {
    return propose(a, {{"t", "alter"}, {"work", a.work}, {"state", "running"}});
  }));
  of_work(command(works, "cancel", "what is not out stays in use; what is out stays out till it is returned",
                  [](const Asked& a) {
                    return propose(a, {{"t", "alter"}, {"work", a.work}, {"state", "cancelled"}});
                  }));
  auto* returned = command(works, "returned", "a host may be used again", [](const Asked& a) {
    return propose(a, {{"t", "returned"}, {"host", a.host}, {"reason", "said by an operator"}});
  });
  at(returned);
  returned->add_option("host", asked->host)->required();
  auto* charts = command(works, "timeline", "who was out when, from the members' logs", &timeline);
  charts->add_option("log", asked->logs)->required();
  charts->add_option("--svg", asked->svg, "writes a chart there");
}

}  // namespace lotusyard
