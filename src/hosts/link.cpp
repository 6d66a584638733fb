#include "hosts/link.h"

#include <algorithm>
#include <cmath>

#include "net/fields.h"

namespace lotusyard::hosts {
namespace {

using core::Outcome;

constexpr Millis kSilent{400};  // an attempt dropped on a link that was silent for so long: it may be cut off
constexpr Millis kLookPace{1};
constexpr Millis kLeastPatience{1};  // as hosts are told it, in whole milliseconds
constexpr Millis kUnreadMost{1000};  // what a host told draining has not read by then is not sent any more
// The kernel has had a part of a call for so long, and no room for the rest: the time that it tells the host
// is past being true.
constexpr Millis kStuckExecMost{100};
constexpr double kIdleShare =
    0.8;  // idle links go before the host closes them, or an attempt could cross that
constexpr double kIdleShareMost = 0.9;  // and at the latest, while no new one can be made
constexpr Millis kIdlePace{50};

std::string fields_of(const core::Call& call) {
  const std::string fields = "sort=" + call.class_name + ",asset=" + call.function_name;
  return call.key.empty() ? fields : fields + ",op=" + call.key;
}

}  // namespace

Fleet::Link::Link(Fleet& fleet, std::string host, net::Socket socket)
    : Stream(fleet.loop_, fleet.pool_, std::move(socket), true),
      fleet_(fleet),
      host_(std::move(host)),
      parser_(fleet.limits_.longest_answer) {
  timer_ = fleet_.loop_.at(fleet_.loop_.now() + fleet_.limits_.connect_timeout, [this] { connect_late(); });
}

Fleet::Link::~Link() {
  fleet_.loop_.cancel(timer_);
  fleet_.loop_.cancel(stuck_);
  fleet_.loop_.cancel(check_);
  fleet_.loop_.cancel(again_);
  fleet_.loop_.cancel(stuck_exec_);
}

bool Fleet::Link::takes(const std::string& ref, bool suspect_too) const {
  return !ending() && !retired_ && (suspect_too || !suspect_) &&
         attempts_.size() < fleet_.limits_.attempts_a_link && attempts_.count(ref) == 0 &&
         past_.count(ref) == 0;
}

void Fleet::Link::exec(const core::Attempt& attempt, const core::Call& call, Millis patience) {
  const Millis now = fleet_.loop_.now();
  attempts_.emplace(call.ref, Sent{attempt, now, 0, false, call.function});
  stand_back({Pending::Kind::exec, call.ref, fields_of(call), call.body, now + patience, call.function});
  rest();
  expect();
}

bool Fleet::Link::drop(const core::Attempt& attempt) {
  const auto found = std::find_if(attempts_.begin(), attempts_.end(),
                                  [&](const auto& entry) { return entry.second.attempt == attempt; });
  if (found == attempts_.end()) return false;
  const std::string ref = found->first;
  const Sent sent = found->second;
  attempts_.erase(found);
  if (!sent.put) {
    const auto same = [&](const Pending& p) { return p.kind == Pending::Kind::exec && p.name == ref; };
    pending_.erase(std::remove_if(pending_.begin(), pending_.end(), same), pending_.end());
    rest();
    return false;
  }
  const Millis now = fleet_.loop_.now();
  past(ref, false);
  // A host that is cut off says nothing for ever. What comes next tries a new connection: it proves more.
  if (now - std::max(heard_, sent.at) > kSilent) suspect_ = true;
  // At once: the next attempt may leave on another connection in this very turn.
  write("drop " + ref + "\r\n");
  const bool flushed = flush_now();
  // Short of memory, the order to drop it follows. Else the host reads nothing; closing gives the attempt up.
  const bool follows = short_of_memory() && outbox().written() >= sent.end;
  if (!flushed && !follows) end_later();
  rest();
  // What was not handed over whole by now never will be.
  return outbox().written() >= sent.end;
}

void Fleet::Link::order(const std::string& tag, std::uint64_t function, int copies) {
  ask(tag, Asked::Kind::order, function, order_line(tag, function, copies), Pending::Kind::order);
  asked_.at(tag).copies = copies;
}

void Fleet::Link::probe(const std::string& tag) {
  ask(tag, Asked::Kind::probe, 0, "load " + tag, Pending::Kind::word);
}

void Fleet::Link::say(const std::string& line) {
  stand_back({Pending::Kind::word, {}, line + "\r\n", {}, Millis(0), 0});
  rest();
}

void Fleet::Link::stand_back(Pending&& pending) {
  pending_.push_back(std::move(pending));
  if (!connecting()) fleet_.loop_.flush_later(*this);
}

void Fleet::Link::retire(bool unsent_too) {
  retired_ = true;
  if (unsent_too && connecting()) return end_later();
  if (unsent_too) withdraw();
  // Danger: bytes that a host does not read could leave long after it was told draining.
  if (unsent_too && !outbox().empty()) {
    fleet_.loop_.cancel(stuck_);
    stuck_ = fleet_.loop_.at(fleet_.loop_.now() + kUnreadMost, [this] {
      if (!outbox().empty()) end_later();
    });
  }
  rest();
}

void Fleet::Link::ask(const std::string& tag, Asked::Kind kind, std::uint64_t function,
                      const std::string& line, Pending::Kind what) {
  const Millis now = fleet_.loop_.now();
  asked_[tag] = {kind, function, now, 0, false, {}, 0};
  asked_[tag].timer = fleet_.loop_.at(now + fleet_.limits_.order_timeout, [this, tag] { order_late(tag); });
  stand_back({what, tag, line + "\r\n", {}, Millis(0), function});
  rest();
  expect();
}

// Wait: till the next turn, in which it is taken back if its call is over.
Fleet::Link::Look Fleet::Link::look_at(Pending& pending) {
  if (pending.kind == Pending::Kind::word) return Look::put;
  const bool exec = pending.kind == Pending::Kind::exec;
  const Sent sent = exec ? attempts_.at(pending.name) : Sent{};
  const core::Call* call = exec ? fleet_.dispatcher_->call_of(sent.attempt.call) : nullptr;
  if (!fleet_.allows(host_, call, pending.function)) return Look::never;
  if (!exec) return Look::put;
  if (pending.until - fleet_.loop_.now() < kLeastPatience) return Look::wait;
  const auto begin = fleet_.dispatcher_->may_begin(sent.attempt, sent.at);
  return begin == core::Dispatcher::Begin::now ? Look::put : Look::wait;
}

// The one place from which calls and orders go out.
void Fleet::Link::before_flush() {
  // A host that has closed is read first: what stands here goes elsewhere, and provably never ran here.
  if (pending_.empty() || peer() == net::Peer::gone) return;
  auto decided = std::move(pending_);
  pending_.clear();
  bool kernel_full = false;
  for (auto& one : decided) {
    const Look look = kernel_full ? Look::wait : look_at(one);
    if (look == Look::put) {
      put(one);
      // Danger: behind bytes that the kernel has no room for it would stand with the patience of now, and go
      // out for a caller who has cancelled. Only one call is ever cut in two.
      kernel_full = !flush_now();
      if (kernel_full && one.kind == Pending::Kind::exec) limit_stuck_exec();
    }
    if (look == Look::never) never_goes(one);
    if (look == Look::wait) pending_.push_back(std::move(one));
  }
  if (pending_.empty() || kernel_full) return;  // looked at again once the kernel has room
  fleet_.loop_.cancel(again_);
  again_ = fleet_.loop_.at(fleet_.loop_.now() + kLookPace, [this] {
    read_callers();
    fleet_.loop_.flush_later(*this);
  });
}

// Danger: a CANCEL may stand behind more bytes than a turn reads.
void Fleet::Link::read_callers() {
  std::vector<core::Attempt> waiting;
  for (const auto& one : pending_) {
    if (one.kind == Pending::Kind::exec) waiting.push_back(attempts_.at(one.name).attempt);
  }
  for (const auto& attempt : waiting) fleet_.dispatcher_->read_caller(attempt);  // may take some back
}

void Fleet::Link::limit_stuck_exec() {
  fleet_.loop_.cancel(stuck_exec_);
  stuck_exec_ = fleet_.loop_.at(fleet_.loop_.now() + kStuckExecMost, [this, end = outbox().appended()] {
    if (ending() || outbox().written() >= end) return;
    fleet_.counters_.add("hosts.stuck_calls");
    end_later();
  });
}

void Fleet::Link::withdraw() {
  const auto decided = std::move(pending_);
  pending_.clear();
  for (const auto& one : decided) never_goes(one);
}

void Fleet::Link::never_goes(const Pending& pending) {
  fleet_.counters_.add("hosts.withdrawn");
  if (pending.kind == Pending::Kind::exec) {
    const auto found = attempts_.find(pending.name);
    const core::Attempt attempt = found->second.attempt;
    attempts_.erase(found);
    fleet_.never_went(attempt);
  } else if (const auto found = asked_.find(pending.name); found != asked_.end()) {
    const Asked asked = found->second;
    fleet_.loop_.cancel(asked.timer);
    asked_.erase(found);
    if (asked.kind == Asked::Kind::order) fleet_.no_order(host_, asked.function);
    if (asked.kind == Asked::Kind::probe) fleet_.no_probe(host_);
    if (asked.kind == Asked::Kind::liveness) probed_ = Millis(0);
  }
  rest();
}

void Fleet::Link::put(const Pending& pending) {
  if (pending.kind != Pending::Kind::exec) {
    write(pending.text);
    const auto found = asked_.find(pending.name);
    if (found == asked_.end()) return;
    found->second.put = true;
    found->second.end = outbox().appended();
    return;
  }
  const auto patience = static_cast<std::int64_t>(std::floor((pending.until - fleet_.loop_.now()).count()));
  std::string message = "exec " + pending.name + ' ' + pending.text +
                        ",patience=" + std::to_string(std::max<std::int64_t>(1, patience)) + ' ' +
                        std::to_string(pending.body.size()) + "\r\n";
  message += pending.body;
  message += "\r\n";
  write(message);
  Sent& sent = attempts_.at(pending.name);
  sent.put = true;
  sent.end = outbox().appended();
}

// Idle from now on, until something goes out again.
void Fleet::Link::rest() {
  if (connecting()) return;
  fleet_.loop_.cancel(timer_);
  if (load() > 0) return;
  const bool kept = !retired_ && (!suspect_ || fleet_.in_local_trouble());
  const Millis now = fleet_.loop_.now();
  const Millis idle = kept ? fleet_.limits_.idle * kIdleShare : Millis(0);
  idle_until_ = now + (kept ? fleet_.limits_.idle * kIdleShareMost : Millis(0));
  timer_ = fleet_.loop_.at(now + idle, [this] { idle_over(); });
}

// While no new connection can be made, one that stands is kept for as long as its host surely keeps it.
void Fleet::Link::idle_over() {
  const Millis next = fleet_.loop_.now() + kIdlePace;
  if (!fleet_.in_local_trouble() || retired_ || next > idle_until_) return end_later();
  timer_ = fleet_.loop_.at(next, [this] { idle_over(); });
}

}  // namespace lotusyard::hosts
