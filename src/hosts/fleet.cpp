#include "hosts/fleet.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <unordered_map>
#include <utility>

#include "hosts/line_parser.h"
#include "net/fields.h"

namespace lotusyard::hosts {
namespace {

using core::Outcome;
using core::WorkerState;
using net::field;

constexpr Millis kSilent{400};  // an attempt dropped on a link that was silent for so long: it may be cut off
constexpr Millis kQuietLeast{
    200};                          // a link with something out that is silent for longer is asked for a sign,
constexpr double kQuietRuns = 2;   // so many usual answers, but no longer than the limit that is set
constexpr double kUsualGain = 0.05;
constexpr double kSignShare = 0.05;  // signs asked for each attempt, over all links
constexpr double kSignsMost = 5;     // and what may be saved up of them
constexpr int kSignDoublings = 4;
constexpr Millis kSignMost{250};   // and ended if none comes: a host answers that beside its queue
constexpr Millis kPieceMost{200};  // between two pieces of an answer; later, its rest never comes
constexpr Millis kWholeMost{2000};  // and from its first to its last
constexpr Millis kCheckPace{50};
constexpr std::size_t kPastMost = 2048;
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

}  // namespace

// One connection. Until it is up its messages stand in `waiting_`, where a drop can still take them back.
class Fleet::Link final : public net::Stream {
 public:
  Link(Fleet& fleet, std::string host, net::Socket socket)
      : Stream(fleet.loop_, fleet.pool_, std::move(socket), true),
        fleet_(fleet),
        host_(std::move(host)),
        parser_(fleet.limits_.longest_answer) {
    timer_ = fleet_.loop_.at(fleet_.loop_.now() + fleet_.limits_.connect_timeout, [this] { connect_late(); });
  }
  ~Link() override {
    fleet_.loop_.cancel(timer_);
    fleet_.loop_.cancel(stuck_);
    fleet_.loop_.cancel(check_);
  }

  const std::string& host() const { return host_; }
  std::size_t load() const { return attempts_.size() + asked_.size(); }
  std::size_t held() const { return held_; }  // bytes of an answer that is not whole yet
  bool takes(const std::string& ref) const {
    return !ending() && !retired_ && !suspect_ && attempts_.size() < fleet_.limits_.attempts_a_link &&
           attempts_.count(ref) == 0 && past_.count(ref) == 0;
  }
  void exec(const core::Attempt& attempt, const core::Call& call, Millis patience) {
    Sent sent{attempt, fleet_.loop_.now(), 0, false, call.function};
    if (connecting()) {
      waiting_.push_back({call.ref, fields_of(call), call.body, sent.at + patience});
    } else {
      put(call.ref, fields_of(call), call.body, patience, sent);
    }
    attempts_.emplace(call.ref, sent);
    rest();
    expect();
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
    past(ref, false);
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
    ask(tag, Asked::Kind::order, function, order_line(tag, function, copies));
  }
  void probe(const std::string& tag) { ask(tag, Asked::Kind::probe, 0, "load " + tag); }
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
    std::uint64_t function = 0;
  };
  struct Waiting {
    std::string ref, fields, body;  // fields: without its patience, which counts from when it goes out
    Millis until{0};
  };
  struct Asked {
    enum class Kind { order, probe, sign };  // sign: whether anything comes over this link at all
    Kind kind = Kind::order;
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
  std::unordered_map<std::string, bool> past_;  // refs whose attempt here has ended: answered, or dropped
  std::deque<std::pair<Millis, std::string>> past_order_;
  Millis heard_{0}, sent_{0}, begun_{0}, sign_asked_{0};
  std::size_t held_ = 0;
  int signs_ = 0;  // asked for since the last answer of an attempt
  bool retired_ = false, suspect_ = false, checking_ = false;
  net::Loop::TimerId timer_{}, stuck_{}, check_{};

  // Danger: a late or second answer would end a further attempt under the same ref: that goes elsewhere.
  void past(const std::string& ref, bool answered) {
    const Millis now = fleet_.loop_.now();
    while (!past_order_.empty() &&
           (now - past_order_.front().first > fleet_.limits_.past_kept || past_order_.size() > kPastMost)) {
      past_.erase(past_order_.front().second);
      past_order_.pop_front();
    }
    if (past_.emplace(ref, answered).second) past_order_.emplace_back(now, ref);
  }
  void ask(const std::string& tag, Asked::Kind kind, std::uint64_t function, const std::string& line) {
    const Millis now = fleet_.loop_.now();
    asked_[tag] = {kind, function, now, 0, false};
    say(tag, line + "\r\n");
    asked_[tag].timer = fleet_.loop_.at(now + fleet_.limits_.order_timeout, [this, tag] { order_late(tag); });
    expect();
  }
  void expect() {
    sent_ = fleet_.loop_.now();
    if (std::exchange(checking_, true)) return;  // one timer a link
    check_ = fleet_.loop_.at(sent_ + kCheckPace, [this] { check(); });
  }
  // Danger: a link over which nothing comes any more, or never the rest of an answer, holds whatever is out
  // on it to the deadline, though its host serves others well. One sign asked for tells it from a busy host.
  void check() {
    checking_ = false;
    if (load() == 0 || ending()) return;
    const Millis now = fleet_.loop_.now();
    // Danger: a long answer, or one that comes in small pieces, takes long though nothing is wrong.
    const bool torn = begun_.count() > 0 && (now - heard_ > kPieceMost || now - begun_ > kWholeMost);
    const bool unsigned_ = sign_asked_ > heard_ && now - sign_asked_ > kSignMost;
    if (open() && (torn || unsigned_)) {
      fleet_.counters_.add(torn ? "hosts.cut_answers" : "hosts.silent_links");
      return end_later();
    }
    const Millis quiet = fleet_.quiet_most() * (1 << std::min(signs_, kSignDoublings));
    const bool waits = open() && !attempts_.empty() && sign_asked_ <= heard_;
    if (fleet_.limits_.sign != Sign::none && waits && now - std::max(heard_, sent_) > quiet &&
        fleet_.take_sign()) {
      sign_asked_ = now;
      ++signs_;
      const std::string tag = "s" + std::to_string(++fleet_.last_tag_);
      // Danger: a probe that the settings forbid breaks a rule. An order for no copy is allowed, and tells as
      // much; its function is one that a client has called.
      const bool order = fleet_.limits_.sign == Sign::order;
      ask(tag, Asked::Kind::sign, 0,
          order ? order_line(tag, attempts_.begin()->second.function, 0) : "health " + tag);
    }
    if (std::exchange(checking_, true)) return;
    check_ = fleet_.loop_.at(now + kCheckPace, [this] { check(); });
  }
  static std::string order_line(const std::string& tag, std::uint64_t function, int copies) {
    return "ensure " + tag + " asset=" + net::hex16(function) + ",count=" + std::to_string(copies);
  }
  static std::string fields_of(const core::Call& call) {
    const std::string fields = "sort=" + call.class_name + ",asset=" + call.function_name;
    return call.key.empty() ? fields : fields + ",op=" + call.key;
  }
  void put(const std::string& ref, const std::string& fields, const std::string& body, Millis patience,
           Sent& sent) {
    const auto whole = std::max<std::int64_t>(1, static_cast<std::int64_t>(std::floor(patience.count())));
    std::string message = "exec " + ref + ' ' + fields + ",patience=" + std::to_string(whole) + ' ' +
                          std::to_string(body.size()) + "\r\n";
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
      put(w.ref, w.fields, w.body, left, attempts_.at(w.ref));
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
    if (asked.kind == Asked::Kind::order) {
      fleet_.dispatcher_->load_ended({host_, asked.function, outcome, elapsed, copies});
    } else if (asked.kind == Asked::Kind::probe) {
      fleet_.dispatcher_->probe_ended({host_, outcome, elapsed, std::move(report)});
    }
  }
  void received(std::string_view bytes) override {
    heard_ = fleet_.loop_.now();
    suspect_ = false;
    std::vector<Reply> replies;
    bool sound = parser_.take(bytes, replies);
    for (auto& reply : replies) {
      if (ending()) return;
      if (take(std::move(reply))) continue;
      sound = false;  // what follows it proves no more than it does
      break;
    }
    if (!parser_.begun()) {
      begun_ = Millis(0);
    } else if (begun_.count() == 0 || !replies.empty()) {
      begun_ = heard_;
    }
    fleet_.hold(*this, held_, parser_.held());
    held_ = parser_.held();
    if (!sound) {
      fleet_.counters_.add("hosts.malformed");
      end_later();
    }
    rest();
  }
  // False if it is spoilt: whatever is out on the link then ends as what it is, something that may have run.
  bool take(Reply&& reply) {
    const auto fields = net::parse_fields(reply.fields);
    const bool plain = std::all_of(reply.id.begin(), reply.id.end(),
                                   [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z'); });
    const bool sign = reply.word == "well" || reply.word == "ill";
    if (!fields || !plain || !(known_word(reply.word) || sign)) return false;
    const net::Fields& read = *fields;
    if (const auto found = attempts_.find(reply.id); found != attempts_.end()) {
      if (sign) return false;
      const core::Attempt attempt = found->second.attempt;
      fleet_.note_answer(fleet_.loop_.now() - found->second.at);
      signs_ = 0;
      attempts_.erase(found);
      fleet_.attempts_.erase(attempt);
      past(reply.id, true);
      const Outcome outcome = outcomes().at(reply.word);
      fleet_.counters_.add("hosts.answers." + reply.word);
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
                                                    : outcomes().at(reply.word);
      const int copies = static_cast<int>(net::parse_whole(field(read, "count"), 1000).value_or(0));
      end_asked(asked, outcome, copies, fleet_.read_report(field(read, "l")));
    } else if (const auto ended = past_.find(reply.id); ended != past_.end() && !ended->second) {
      ended->second = true;
      fleet_.counters_.add("hosts.late_answers");  // to an attempt dropped meanwhile
    } else {
      // More than belongs to it: what is out here keeps its own answers, nothing new is sent.
      fleet_.counters_.add("hosts.surplus_answers");
      retire(false);
    }
    return true;
  }
  void ended() override {
    fleet_.loop_.cancel(timer_);
    fleet_.loop_.cancel(stuck_);
    fleet_.loop_.cancel(check_);
    const auto attempts = std::move(attempts_);
    const auto asked = std::move(asked_);
    attempts_.clear();
    asked_.clear();
    fleet_.hold(*this, std::exchange(held_, 0), 0);
    fleet_.link_gone(*this);  // buried: this object lives to the turn's end
    const auto outcome = [&](bool put, std::uint64_t end) {
      return put && outbox().written() >= end ? Outcome::reset : Outcome::connect_failed;
    };
    for (const auto& [ref, sent] : attempts) fleet_.attempts_.erase(sent.attempt);
    if (!attempts.empty()) fleet_.hosts_.at(host_).lingers = true;
    for (const auto& [ref, sent] : attempts) {
      fleet_.dispatcher_->attempt_ended(sent.attempt, {outcome(sent.put, sent.end), 0, std::nullopt, {}});
    }
    for (const auto& [tag, a] : asked) {
      fleet_.loop_.cancel(a.timer);
      end_asked(a, outcome(a.put, a.end), 0, std::nullopt);
    }
  }
};

Millis Fleet::quiet_most() const {
  return std::min(std::max(usual_answer_ * kQuietRuns, kQuietLeast), std::max(limits_.quiet, kQuietLeast));
}
void Fleet::note_answer(Millis took) { usual_answer_ += kUsualGain * (took - usual_answer_); }
// Danger: each sign is cheap, but calls that wait for a load are silent as well. Asked for whatever is late,
// a hundred invokers' signs are more than their calls.
bool Fleet::take_sign() {
  if (signs_left_ < 1) return false;
  signs_left_ -= 1;
  counters_.add("hosts.signs_asked");
  return true;
}

Fleet::Fleet(net::Loop& loop, net::BufferPool& pool, core::Counters& counters, Limits limits)
    : loop_(loop), pool_(pool), counters_(counters), limits_(std::move(limits)), signs_left_(kSignsMost) {}
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
    const bool forgotten = host.member.entry.state == WorkerState::gone && host.links.empty() &&
                           !host.holds_given_up(loop_.now());
    i = forgotten ? hosts_.erase(i) : std::next(i);
  }
}

// Danger: a share of the memory for each connection is too little for one long answer, where there is little;
// what counts is what has come in over all. The one that holds most goes.
void Fleet::hold(Link& link, std::size_t before, std::size_t now) {
  incoming_ = incoming_ + now - before;
  if (now <= before || incoming_ <= limits_.incoming) return;
  Link* most = &link;
  std::size_t least = now;
  for (auto& [id, host] : hosts_) {
    for (const auto& other : host.links) {
      if (other->ending() || other->held() <= least) continue;
      most = other.get();
      least = other->held();
    }
  }
  counters_.add("hosts.no_memory");
  most->end_later();
}

Fleet::Host* Fleet::ready_host(const std::string& id, const core::Call* call, std::uint64_t function) {
  const auto found = hosts_.find(id);
  const bool ready = found != hosts_.end() && found->second.member.entry.state == WorkerState::ready;
  if (ready && (!may_send_ || may_send_(id, call, function))) return &found->second;
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

void Fleet::cut(const std::string& id) {
  const auto found = hosts_.find(id);
  if (found == hosts_.end()) return;
  for (const auto& link : std::vector<std::shared_ptr<Link>>(found->second.links)) {
    if (!link->connecting() && link->outbox().empty()) continue;
    counters_.add("hosts.cut_links");
    link->end_later();
  }
}

bool Fleet::free_of_calls(const std::string& id) const {
  const auto there = [&](const auto& entry) { return entry.second->host() == id; };
  if (std::any_of(attempts_.begin(), attempts_.end(), there)) return false;
  const auto host = hosts_.find(id);
  return host == hosts_.end() || !host->second.holds_given_up(loop_.now());
}

void Fleet::later(std::function<void()> tell) { loop_.at(loop_.now(), std::move(tell)); }

void Fleet::exec(const core::Attempt& attempt, const std::string& id, const core::Call& call,
                 Millis patience) {
  Host* host = ready_host(id, &call, call.function);
  Link* link = host == nullptr ? nullptr : link_for(*host, call.ref);
  if (link == nullptr) {
    return later([this, attempt] {
      dispatcher_->attempt_ended(attempt, {Outcome::connect_failed, 0, std::nullopt, {}});
    });
  }
  attempts_[attempt] = link;
  const Millis now = loop_.now();
  if (host->until <= now) host->lingers = false;
  host->until = std::max(host->until, now + patience);
  signs_left_ = std::min(signs_left_ + kSignShare, kSignsMost);
  link->exec(attempt, call, patience);
}

bool Fleet::drop(const core::Attempt& attempt) {
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end()) return false;
  Link* link = found->second;
  attempts_.erase(found);
  hosts_.at(link->host()).lingers = true;
  return link->drop(attempt);
}

void Fleet::probe(const std::string& id) {
  Host* host = ready_host(id, nullptr, 0);
  Link* link = host == nullptr ? nullptr : link_for(*host, {});
  if (link != nullptr) return link->probe("p" + std::to_string(++last_tag_));
  later([this, id] { dispatcher_->probe_ended({id, Outcome::connect_failed, Millis(0), std::nullopt}); });
}

void Fleet::ensure(const std::string& id, std::uint64_t function, int copies) {
  Host* host = ready_host(id, nullptr, copies > 0 ? function : 0);
  Link* link = host == nullptr ? nullptr : link_for(*host, {});
  if (link != nullptr) return link->order("t" + std::to_string(++last_tag_), function, copies);
  later([this, id, function] {
    dispatcher_->load_ended({id, function, Outcome::connect_failed, Millis(0), 0});
  });
}

void Fleet::release(const std::string& id, std::uint64_t function) {
  Host* host = ready_host(id, nullptr, 0);
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
