// Runs real processes of one group at rest, with a stand-in change log, no calls and no relays, so that only
// the group's own traffic is measured.
#pragma once

#include "scale/process_usage.h"
#include "scale/tier.h"
#include "support/service_harness.h"

namespace lotusyard::scale {

constexpr int kFirstPort = 10000;         // below the ephemeral port range
constexpr int kStandInHosts = 2;          // listed by `ServiceHarness` itself; unused at rest
constexpr double kChangeLogInterval = 1;  // seconds between the change log's heartbeats
constexpr double kCounterPrintTime = 1;   // seconds for members to print their counters

constexpr const char* kCluster = "scale";
constexpr int kLeaseMs = 3000;

// Hands out addresses on which nobody listens, each once.
class Ports {
 public:
  std::string next() {
    while (true) {
      const std::string address = "127.0.0.1:" + std::to_string(next_++);
      if (net::listen_on(address))
        return address;
    }
  }

 private:
  int next_ = kFirstPort;
};

// The group's members, of which the last `control_nodes` have no vote, and invokers that keep sessions with
// it.
struct FleetShape {
  int members = 3, hosts = 12;
  int control_nodes = 0, invokers = 0;
  int voters() const {
    const int candidates = members - control_nodes;
    return candidates <= 3 ? candidates : 5;
  }
};

class ProcessFleet {
 public:
  enum class Kind { member, control_node, invoker };
  struct Member {
    std::string name, listen, admin_address, clients, config, log;
    std::unique_ptr<test::Process> process;
    Kind kind = Kind::member;
    std::string sessions;  // a control node's listening address for sessions
  };

  explicit ProcessFleet(const FleetShape& shape) : shape_(shape) {
    for (int i = kStandInHosts; i < shape.hosts; ++i) {
      const std::string address =
          "127.1." + std::to_string(i / 250) + '.' + std::to_string(i % 250 + 1) + ":9";
      service_.change_log.publish_host("h" + std::to_string(i), address, "ready");
    }
    for (int i = 0; i < shape.members; ++i) {
      const bool is_control_node = i >= shape.members - shape.control_nodes;
      add("m" + std::to_string(i), is_control_node ? Kind::control_node : Kind::member);
      const Member& added = members_.back();
      peers_.push_back({{"name", added.name}, {"address", added.listen}, {"votes", i < shape.voters()}});
      if (is_control_node)
        nodes_.push_back({{"name", added.name}, {"address", added.sessions}});
    }
    for (int i = 0; i < shape.invokers; ++i)
      add("i" + std::to_string(i), Kind::invoker);
    for (auto& member : members_)
      start(member);
  }

  std::vector<Member>& members() { return members_; }
  std::set<int> member_ports() const {
    std::set<int> out;
    for (const auto& m : members_)
      out.insert(port_of(m.listen));
    return out;
  }
  std::set<int> session_ports() const {
    std::set<int> out;
    for (const auto& m : members_) {
      if (m.kind == Kind::control_node)
        out.insert(port_of(m.sessions));
    }
    return out;
  }
  // Whether every member becomes ready: it has its lease and serves calls.
  bool all_ready() {
    return std::all_of(members_.begin(), members_.end(), [this](const auto& m) {
      return service_.run_until([&] { return service_.request(m.admin_address, "GET", kReadyPath) == 200; });
    });
  }
  // Serves the change log for `seconds`; `each_iteration` is called in every iteration of the event loop.
  template <typename EachIteration>
  double run(double seconds, const EachIteration& each_iteration) {
    const double started = now();
    while (now() - started < seconds) {
      each_iteration();
      keep_log_alive();
      service_.fixture.run_once();
    }
    return now() - started;
  }
  double now() const { return service_.fixture.loop.now().count() / 1000; }
  double run(double seconds) {
    return run(seconds, [] {});
  }
  // The member whose log reports that it became leader in the latest term.
  const Member* leader() const {
    const Member* out = nullptr;
    long latest = 0;
    for (const auto& m : members_) {
      std::ifstream in(m.log);
      for (std::string line; std::getline(in, line);) {
        const auto term = line.find("term=");
        const std::string suffix = kLeaderLogSuffix;
        const bool leads = line.size() > suffix.size() &&
                           line.compare(line.size() - suffix.size(), suffix.size(), suffix) == 0;
        if (!leads || term == std::string::npos || std::stol(line.substr(term + 5)) < latest)
          continue;
        latest = std::stol(line.substr(term + 5));
        out = &m;
      }
    }
    return out;
  }
  // The named counters, each with one value per member, in the members' order; all printed at the same time.
  std::map<std::string, std::vector<double>> counters(const std::vector<std::string>& names) {
    for (const auto& m : members_)
      m.process->signal(SIGUSR1);
    run(kCounterPrintTime);
    std::map<std::string, std::vector<double>> out;
    for (const auto& name : names) {
      for (const auto& m : members_)
        out[name].push_back(static_cast<double>(m.process->counter(name)));
    }
    return out;
  }
  std::vector<Usage> usage() const { return usage(member_ports()); }
  // Bytes of connections to one of `ports` are counted separately.
  std::vector<Usage> usage(const std::set<int>& ports) const {
    std::vector<Usage> out;
    for (const auto& m : members_)
      out.push_back(usage_of(m.process->pid(), ports));
    return out;
  }
  // Proposes an entry for the agreed log; returns the HTTP status.
  int propose(const Member& at, const nlohmann::json& entry) {
    return service_.request(at.admin_address, "POST",
                            kProposeCompliancePath + test::percent_encoded(entry.dump()));
  }
  test::InvokerFixture& fixture() { return service_.fixture; }

 private:
  FleetShape shape_;
  test::ServiceHarness service_{false};
  Ports ports_;
  std::vector<Member> members_;
  nlohmann::json peers_ = nlohmann::json::array(), nodes_ = nlohmann::json::array();
  double change_log_written_at_ = 0;

  static int port_of(const std::string& address) { return std::stoi(address.substr(address.rfind(':') + 1)); }

  void add(const std::string& name, Kind kind) {
    const std::string path = service_.folder.path + "/" + name;
    members_.push_back(
        {name, ports_.next(), ports_.next(), ports_.next(), path + ".json", path + ".log", {}, kind, {}});
    if (kind == Kind::control_node)
      members_.back().sessions = ports_.next();
  }

  // As the service's change log does: clients reconnect to a log that is silent for longer, and it then sends
  // all hosts again.
  void keep_log_alive() {
    if (now() - change_log_written_at_ < kChangeLogInterval)
      return;
    change_log_written_at_ = now();
    const std::string line = std::to_string(service_.change_log.lines.size()) + "\n";
    for (const auto& peer : service_.change_log.server.peers)
      peer->write(line);
  }

  nlohmann::json group_config(const Member& m) const {
    return {{"cluster", kCluster},         {"store", service_.folder.path + "/" + m.name + ".db"},
            {"listen", m.listen},          {"members", peers_},
            {"lease_ms", kLeaseMs},        {"election_ms", 1000},
            {"view", {{"period_ms", 500}}}};
  }

  nlohmann::json config_of(const Member& m) {
    auto config = test::invoker_config(m.clients, service_.change_log.server.address());
    config["name"] = m.name;
    config["console"] = m.admin_address;
    config["limits"] = {{"cores", 0.5}, {"memory_mb", 128}, {"sockets", 1024}};
    config["settings"]["Balancers"] = shape_.members + shape_.invokers;
    config["settings"]["Bounds"]["Probes"] = false;
    if (m.kind != Kind::invoker)
      config["group"] = group_config(m);
    if (m.kind == Kind::control_node)
      config["control"] = {{"listen", m.sessions}, {"nodes", nodes_}};
    if (m.kind == Kind::invoker)
      config["control"] = {{"cluster", kCluster}, {"lease_ms", kLeaseMs}, {"nodes", nodes_}};
    return config;
  }

  void start(Member& m) {
    std::ofstream(m.config) << config_of(m).dump();
    if (m.kind != Kind::invoker) {
      const std::string init = std::string(LOTUSYARD_CLUSTER) + " group init " + m.config + " >/dev/null";
      REQUIRE(std::system(init.c_str()) == 0);
    }
    const std::map<std::string, std::string> environment = {{"BALANCER_CONFIG", m.config},
                                                            {"TMPDIR", service_.folder.path}};
    m.process = std::make_unique<test::Process>(m.log, environment, nullptr, LOTUSYARD_CLUSTER);
  }
};

}  // namespace lotusyard::scale
