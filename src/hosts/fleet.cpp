#include "hosts/fleet.h"

#include <algorithm>
#include <cmath>
#include <set>

#include "hosts/line_parser.h"
#include "net/fields.h"

namespace lotusyard::hosts {
namespace {

using core::Outcome;
using core::WorkerState;
using net::field;

constexpr Millis kSilent{400};  // an attempt dropped on a link that was silent for so long: it may be cut off
constexpr Millis kDroppedKept{10000};  // for so long a late answer to a dropped attempt may still come
constexpr std::size_t kDroppedMost = 4096;
constexpr Millis kUnreadMost{1000};  // what a host told draining has not read by then is not sent any more
constexpr double kIdleShare =
    0.8;  // idle links go before the host closes them, or an attempt could cross that

const std::map<std::string, Outcome>& outcomes() {
  static const std::map<std::string, Outcome> words = {{"data", Outcome::ok},
                                                       {"absent", Outcome::miss},
                                                       {"full", Outcome::full},
                                                       {"failed", Outcome::error},
                                                       {"moot", Outcome::moot}};
  return words;
}
bool known_word(const std::string& word) { return outcomes().count(word) != 0; }
// A word that nobody told us of proves nothing: it counts as an error, which may have run.
Outcome outcome_of(const std::string& word) {
  return known_word(word) ? outcomes().at(word) : Outcome::error;
}

}  // namespace

// One connection. Until it is up its messages stand in `waiting_`, where a drop can still take them back.
class Fleet::Link final : public net::Stream {
 public:
  Link(Fleet& fleet, std::string host, net::Socket socket)
      : Stream(fleet.loop_, fleet.pool_, std::move(socket), true), fleet_(fleet), host_(std::move(host)) {
    timer_ = fleet_.loop_.at(fleet_.loop_.now() + fleet_.limits_.connect_timeout, [this] { connect_late(); });
  }
  ~Link() override {
    fleet_.loop_.cancel(timer_);
    fleet_.loop_.cancel(stuck_);
  }

  const std::string& host() const { return host_; }
  std::size_t load() const { return attempts_.size() + asked_.size(); }
  bool takes(const std::string& ref) const {
    return !ending() && !retired_ && !suspect_ && attempts_.size() < fleet_.limits_.attempts_a_link &&
           attempts_.count(ref) == 0 && !was_dropped(ref);
  }
  void exec(const core::Attempt& attempt, const core::Call& call, Millis patience) {
    Sent sent{attempt, fleet_.loop_.now(), 0, false};
    if (connecting()) {
      waiting_.push_back({call.ref, call.class_name, call.function_name, call.body, sent.at + patience});
    } else {
      put(call.ref, call.class_name, call.function_name, call.body, patience, sent);
    }
    attempts_.emplace(call.ref, sent);
    rest();
  }
  bool drop(const core::Attempt& attempt) {
    const auto found = std::find_if(attempts_.begin(), attempts_.end(),
                                    [&](const auto& entry) { return entry.second.attempt == attempt; });
    if (found == attempts_.end()) return false;
    const std::string ref = found->first;
    const Sent sent = found->second;
    attempts_.erase(found);
    if (!sent.put) {
      waiting_.erase(
          std::remove_if(waiting_.begin(), waiting_.end(), [&](const auto& w) { return w.ref == ref; }),
          waiting_.end());
      return false;
    }
    const Millis now = fleet_.loop_.now();
    while (!dropped_.empty() &&
           (now - dropped_.front().first > kDroppedKept || dropped_.size() > kDroppedMost)) {
      dropped_.pop_front();
    }
    dropped_.emplace_back(now, ref);
    // A host that is cut off says nothing for ever. What comes next tries a new connection: it proves more.
    if (now - std::max(heard_, sent.at) > kSilent) suspect_ = true;
    // At once: the next attempt may leave on another connection in this very turn.
    write("drop " + ref + "\r\n");
    const bool flushed = flush_now();
    if (!flushed) end_later();  // the host reads nothing; closing gives the attempt up
    rest();
    // What was not handed over whole by now never will be.
    return outbox().written() >= sent.end;
  }
  void order(const std::string& tag, std::uint64_t function, int copies) {
    const Millis now = fleet_.loop_.now();
    asked_[tag] = {true, function, now, 0, false};
    say(tag,
        "ensure " + tag + " asset=" + net::hex16(function) + ",count=" + std::to_string(copies) + "\r\n");
    asked_[tag].timer = fleet_.loop_.at(now + fleet_.limits_.order_timeout, [this, tag] { order_late(tag); });
  }
  void probe(const std::string& tag) {
    asked_[tag] = {false, 0, fleet_.loop_.now(), 0, false};
    say(tag, "load " + tag + "\r\n");
    asked_[tag].timer =
        fleet_.loop_.at(fleet_.loop_.now() + fleet_.limits_.order_timeout, [this, tag] { order_late(tag); });
  }
  void say(const std::string& tag, const std::string& line) {
    if (connecting()) {
      said_.emplace_back(tag, line);
    } else {
      put_line(tag, line);
    }
    rest();
  }
  // The host is told draining or gone, or started anew: nothing new goes here; what has not gone out never
  // will.
  void retire(bool unsent_too) {
    retired_ = true;
    if (unsent_too && connecting()) return end_later();
    // Danger: bytes that a host does not read could leave long after it was told draining.
    if (unsent_too && !outbox().empty()) {
      fleet_.loop_.cancel(stuck_);
      stuck_ = fleet_.loop_.at(fleet_.loop_.now() + kUnreadMost, [this] {
        if (!outbox().empty()) end_later();
      });
    }
    rest();
  }

 private:
  struct Sent {
    core::Attempt attempt;
    Millis at{0};
    std::uint64_t end = 0;  // offset behind its last byte
    bool put = false;       // its bytes stand in the outbox or went out
  };
  struct Waiting {
    std::string ref, class_name, function_name, body;
    Millis until{0};
  };
  struct Asked {
    bool load = false;
    std::uint64_t function = 0;
    Millis at{0};
    std::uint64_t end = 0;
    bool put = false;
    net::Loop::TimerId timer{};
  };
  Fleet& fleet_;
  std::string host_;
  LineParser parser_;
  std::map<std::string, Sent> attempts_;  // by ref
  std::map<std::string, Asked> asked_;    // by tag
  std::deque<Waiting> waiting_;
  std::deque<std::pair<std::string, std::string>> said_;
  std::deque<std::pair<Millis, std::string>> dropped_;
  Millis heard_{0};
  bool retired_ = false, suspect_ = false;
  net::Loop::TimerId timer_{}, stuck_{};

  bool was_dropped(const std::string& ref) const {
    return std::any_of(dropped_.begin(), dropped_.end(), [&](const auto& d) { return d.second == ref; });
  }
  void put(const std::string& ref, const std::string& class_name, const std::string& function,
           const std::string& body, Millis patience, Sent& sent) {
    const auto whole = std::max<std::int64_t>(1, static_cast<std::int64_t>(std::floor(patience.count())));
    std::string message = "exec " + ref + " sort=" + class_name + ",asset=" + function +
                          ",patience=" + std::to_string(whole) + ' ' + std::to_string(body.size()) + "\r\n";
    message += body;
    message += "\r\n";
    write(message);
    sent.put = true;
    sent.end = outbox().appended();
  }
  void put_line(const std::string& tag, const std::string& line) {
    write(line);
    const auto found = asked_.find(tag);
    if (found == asked_.end()) return;
    found->second.put = true;
    found->second.end = outbox().appended();
  }
  void connect_late() {
    fleet_.counters_.add("hosts.connect_timeouts");
    end_later();
  }
  // Idle from now on, until something goes out again.
  void rest() {
    if (connecting()) return;
    fleet_.loop_.cancel(timer_);
    if (load() > 0) return;
    const Millis idle = retired_ || suspect_ ? Millis(0) : fleet_.limits_.idle * kIdleShare;
    timer_ = fleet_.loop_.at(fleet_.loop_.now() + idle, [this] { end_later(); });
  }
  void connected() override {
    heard_ = fleet_.loop_.now();
    fleet_.counters_.add("hosts.links_up");
    const auto said = std::move(said_);
    const auto waiting = std::move(waiting_);
    said_.clear();
    waiting_.clear();
    for (const auto& [tag, line] : said) put_line(tag, line);
    for (const auto& w : waiting) {
      const Millis left = w.until - heard_;
      put(w.ref, w.class_name, w.function_name, w.body, left, attempts_.at(w.ref));
    }
    rest();
  }
  void order_late(const std::string& tag) {
    const auto found = asked_.find(tag);
    if (found == asked_.end()) return;
    const Asked asked = found->second;
    asked_.erase(found);
    rest();
    end_asked(asked, Outcome::timeout, 0, std::nullopt);
  }
  void end_asked(const Asked& asked, Outcome outcome, int copies, core::Report report) {
    const Millis elapsed = fleet_.loop_.now() - asked.at;
    if (asked.load) {
      fleet_.dispatcher_->load_ended({host_, asked.function, outcome, elapsed, copies});
    } else {
      fleet_.dispatcher_->probe_ended({host_, outcome, elapsed, std::move(report)});
    }
  }
  void received(std::string_view bytes) override {
    heard_ = fleet_.loop_.now();
    suspect_ = false;
    std::vector<Reply> replies;
    const bool sound = parser_.take(bytes, replies);
    for (auto& reply : replies) take(std::move(reply));
    if (!sound) {
      fleet_.counters_.add("hosts.malformed");
      end_later();
    }
    rest();
  }
  void take(Reply&& reply) {
    const auto fields = net::parse_fields(reply.fields);
    if (!fields) fleet_.counters_.add("hosts.bad_fields");
    const net::Fields& read = fields ? *fields : net::Fields();
    if (const auto found = attempts_.find(reply.id); found != attempts_.end()) {
      const core::Attempt attempt = found->second.attempt;
      attempts_.erase(found);
      fleet_.attempts_.erase(attempt);
      const Outcome outcome = outcome_of(reply.word);
      fleet_.counters_.add(std::string("hosts.answers.") + (known_word(reply.word) ? reply.word : "unknown"));
      const int crowd = static_cast<int>(net::parse_whole(field(read, "crowd"), 1000000).value_or(0));
      fleet_.dispatcher_->attempt_ended(
          attempt,
          {outcome, std::min(crowd, 30), fleet_.read_report(field(read, "l")), std::move(reply.body)});
    } else if (const auto answered = asked_.find(reply.id); answered != asked_.end()) {
      const Asked asked = answered->second;
      fleet_.loop_.cancel(asked.timer);
      asked_.erase(answered);
      const Outcome outcome = reply.word == "well"  ? Outcome::ok
                              : reply.word == "ill" ? Outcome::error
                                                    : outcome_of(reply.word);
      const int copies = static_cast<int>(net::parse_whole(field(read, "count"), 1000).value_or(0));
      end_asked(asked, outcome, copies, fleet_.read_report(field(read, "l")));
    } else {
      fleet_.counters_.add("hosts.late_answers");  // to an attempt dropped meanwhile
    }
  }
  void ended() override {
    fleet_.loop_.cancel(timer_);
    fleet_.loop_.cancel(stuck_);
    const auto attempts = std::move(attempts_);
    const auto asked = std::move(asked_);
    attempts_.clear();
    asked_.clear();
    fleet_.link_gone(*this);  // buried: this object lives to the turn's end
    const auto outcome = [&](bool put, std::uint64_t end) {
      return put && outbox().written() >= end ? Outcome::reset : Outcome::connect_failed;
    };
    for (const auto& [ref, sent] : attempts) fleet_.attempts_.erase(sent.attempt);
    for (const auto& [ref, sent] : attempts) {
      fleet_.dispatcher_->attempt_ended(sent.attempt, {outcome(sent.put, sent.end), 0, std::nullopt, {}});
    }
    for (const auto& [tag, a] : asked) {
      fleet_.loop_.cancel(a.timer);
      end_asked(a, outcome(a.put, a.end), 0, std::nullopt);
    }
  }
};

Fleet::Fleet(net::Loop& loop, net::BufferPool& pool, core::Counters& counters, Limits limits)
    : loop_(loop), pool_(pool), counters_(counters), limits_(std::move(limits)) {}
Fleet::~Fleet() = default;

void Fleet::members(const core::MemberList& list) {
  std::set<std::string> named;
  const auto retire = [](Host& host, bool unsent_too) {
    for (const auto& link : std::vector<std::shared_ptr<Link>>(host.links)) link->retire(unsent_too);
  };
  for (const auto& member : list.members) {
    const std::string& id = member.entry.worker;
    named.insert(id);
    Host& host = hosts_[id];
    const bool reborn =
        !host.member.entry.worker.empty() &&
        (member.address != host.member.address || member.entry.started > host.member.entry.started);
    if (reborn) retire(host, true);
    host.member = member;
    if (member.entry.state != WorkerState::ready) retire(host, true);
    // Danger: a new host may stand at the address of one that is gone, and be taken for it.
    for (auto& [other_id, other] : hosts_) {
      const bool taken_over =
          member.entry.state == WorkerState::ready && other.member.address == member.address;
      if (taken_over && other_id != id) retire(other, true);
    }
  }
  for (auto i = hosts_.begin(); i != hosts_.end();) {
    Host& host = i->second;
    if (list.complete && named.count(i->first) == 0) {
      host.member.entry.state = WorkerState::gone;
      retire(host, true);
    }
    // Hosts that are gone are forgotten with their last connection, or every deploy would leave some behind.
    const bool forgotten = host.member.entry.state == WorkerState::gone && host.links.empty();
    i = forgotten ? hosts_.erase(i) : std::next(i);
  }
}

Fleet::Host* Fleet::ready_host(const std::string& id) {
  const auto found = hosts_.find(id);
  if (found != hosts_.end() && found->second.member.entry.state == WorkerState::ready) return &found->second;
  counters_.add("guard.host_not_ready");
  return nullptr;
}

Fleet::Link* Fleet::link_for(Host& host, const std::string& ref) {
  Link* best = nullptr;
  std::size_t usable = 0;
  for (const auto& link : host.links) {
    if (link->open() || link->connecting()) ++usable;
    if (!link->takes(ref)) continue;
    if (best == nullptr || link->load() < best->load()) best = link.get();
  }
  if (best != nullptr) return best;
  if (usable >= limits_.links_a_host || links_ >= limits_.links) {
    counters_.add("hosts.no_link");
    return nullptr;
  }
  net::Socket socket = net::connect_to(host.member.address);
  if (!socket) {
    counters_.add("hosts.connect_failed");
    return nullptr;
  }
  counters_.add("hosts.links_opened");
  ++links_;
  host.links.push_back(std::make_shared<Link>(*this, host.member.entry.worker, std::move(socket)));
  return host.links.back().get();
}

void Fleet::later(std::function<void()> tell) { loop_.at(loop_.now(), std::move(tell)); }

void Fleet::exec(const core::Attempt& attempt, const std::string& id, const core::Call& call,
                 Millis patience) {
  Host* host = ready_host(id);
  Link* link = host == nullptr ? nullptr : link_for(*host, call.ref);
  if (link == nullptr) {
    return later([this, attempt] {
      dispatcher_->attempt_ended(attempt, {Outcome::connect_failed, 0, std::nullopt, {}});
    });
  }
  attempts_[attempt] = link;
  link->exec(attempt, call, patience);
}

bool Fleet::drop(const core::Attempt& attempt) {
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end()) return false;
  Link* link = found->second;
  attempts_.erase(found);
  return link->drop(attempt);
}

void Fleet::probe(const std::string& id) {
  Host* host = ready_host(id);
  Link* link = host == nullptr ? nullptr : link_for(*host, {});
  if (link != nullptr) return link->probe("p" + std::to_string(++last_tag_));
  later([this, id] { dispatcher_->probe_ended({id, Outcome::connect_failed, Millis(0), std::nullopt}); });
}

void Fleet::ensure(const std::string& id, std::uint64_t function, int copies) {
  Host* host = ready_host(id);
  Link* link = host == nullptr ? nullptr : link_for(*host, {});
  if (link != nullptr) return link->order("t" + std::to_string(++last_tag_), function, copies);
  later([this, id, function] {
    dispatcher_->load_ended({id, function, Outcome::connect_failed, Millis(0), 0});
  });
}

void Fleet::release(const std::string& id, std::uint64_t function) {
  Host* host = ready_host(id);
  Link* link = host == nullptr ? nullptr : link_for(*host, {});
  if (link != nullptr) link->say({}, "release " + net::hex16(function) + "\r\n");
}

core::Report Fleet::read_report(const std::string& text) const {
  const auto fields = net::parse_fields(text, ';', ':');
  if (text.empty() || !fields) return std::nullopt;
  std::vector<double> values;
  for (const auto& name : limits_.report_fields) {
    const auto value = net::parse_number(field(*fields, name));
    if (!value) return std::nullopt;  // the module reads by place: a gap would shift the rest
    values.push_back(*value);
  }
  return values;
}

void Fleet::link_gone(Link& link) {
  --links_;
  counters_.add("hosts.links_ended");
  auto& links = hosts_.at(link.host()).links;
  const auto found =
      std::find_if(links.begin(), links.end(), [&](const auto& l) { return l.get() == &link; });
  loop_.bury(*found);
  links.erase(found);
}

}  // namespace lotusyard::hosts
