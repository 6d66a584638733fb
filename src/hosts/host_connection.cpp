#include "hosts/host_connection.h"

#include <algorithm>
#include <cmath>

#include "metrics/host_counters.h"
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

HostConnectionPool::HostConnection::HostConnection(HostConnectionPool& fleet, std::string host,
                                                   net::Socket socket)
    : BufferedConnection(fleet.loop_, fleet.pool_, std::move(socket), true),
      fleet_(fleet),
      host_(std::move(host)),
      parser_(fleet.limits_.longest_answer) {
  timer_ = fleet_.loop_.schedule_at(fleet_.loop_.now() + fleet_.limits_.connect_timeout,
                                    [this] { connect_timed_out(); });
}

HostConnectionPool::HostConnection::~HostConnection() {
  fleet_.loop_.cancel(timer_);
  fleet_.loop_.cancel(stuck_);
  fleet_.loop_.cancel(check_);
  fleet_.loop_.cancel(again_);
  fleet_.loop_.cancel(stuck_exec_);
}

bool HostConnectionPool::HostConnection::has_capacity(const std::string& ref, bool suspect_too) const {
  return !is_closing() && !retired_ && (suspect_too || !suspect_) &&
         attempts_.size() < fleet_.limits_.attempts_a_link && attempts_.count(ref) == 0 &&
         past_.count(ref) == 0;
}

void HostConnectionPool::HostConnection::send_attempt(const core::Attempt& attempt, const core::Call& call,
                                                      Millis attempt_timeout) {
  const Millis now = fleet_.loop_.now();
  attempts_.emplace(call.ref, SentAttempt{attempt, now, 0, false, call.function});
  enqueue_write({PendingWrite::Kind::attempt, call.ref, fields_of(call), call.body, now + attempt_timeout,
                 call.function});
  arm_idle_timer();
  arm_silence_timer();
}

bool HostConnectionPool::HostConnection::cancel_attempt(const core::Attempt& attempt) {
  const auto found = std::find_if(attempts_.begin(), attempts_.end(),
                                  [&](const auto& entry) { return entry.second.attempt == attempt; });
  if (found == attempts_.end())
    return false;
  const std::string ref = found->first;
  const SentAttempt sent = found->second;
  attempts_.erase(found);
  if (!sent.written) {
    const auto same = [&](const PendingWrite& p) {
      return p.kind == PendingWrite::Kind::attempt && p.name == ref;
    };
    pending_writes_.erase(std::remove_if(pending_writes_.begin(), pending_writes_.end(), same),
                          pending_writes_.end());
    arm_idle_timer();
    return false;
  }
  const Millis now = fleet_.loop_.now();
  remember_ended(ref, false);
  // A host that is cut off says nothing for ever. What comes next tries a new connection: it proves more.
  if (now - std::max(heard_, sent.at) > kSilent)
    suspect_ = true;
  // At once: the next attempt may leave on another connection in this very turn.
  write("drop " + ref + "\r\n");
  const bool flushed = flush_now();
  // Short of memory, the order to drop it follows. Else the host reads nothing; closing gives the attempt up.
  const bool follows = short_of_memory() && send_queue().written() >= sent.end_offset;
  if (!flushed && !follows)
    close_later();
  arm_idle_timer();
  // What was not handed over whole by now never will be.
  return send_queue().written() >= sent.end_offset;
}

void HostConnectionPool::HostConnection::load_copies(const std::string& tag, std::uint64_t function,
                                                     int copies) {
  send_query(tag, Query::Kind::load, function, order_line(tag, function, copies), PendingWrite::Kind::load);
  queries_.at(tag).copies = copies;
}

void HostConnectionPool::HostConnection::probe(const std::string& tag) {
  send_query(tag, Query::Kind::probe, 0, "load " + tag, PendingWrite::Kind::line);
}

void HostConnectionPool::HostConnection::send_line(const std::string& line) {
  enqueue_write({PendingWrite::Kind::line, {}, line + "\r\n", {}, Millis(0), 0});
  arm_idle_timer();
}

void HostConnectionPool::HostConnection::enqueue_write(PendingWrite&& pending) {
  pending_writes_.push_back(std::move(pending));
  if (!is_connecting())
    fleet_.loop_.flush_later(*this);
}

void HostConnectionPool::HostConnection::retire(bool unsent_too) {
  retired_ = true;
  if (unsent_too && is_connecting())
    return close_later();
  if (unsent_too)
    abort_pending_writes();
  // Bytes that a host does not read could leave long after it was told draining.
  if (unsent_too && !send_queue().empty()) {
    fleet_.loop_.cancel(stuck_);
    stuck_ = fleet_.loop_.schedule_at(fleet_.loop_.now() + kUnreadMost, [this] {
      if (!send_queue().empty())
        close_later();
    });
  }
  arm_idle_timer();
}

void HostConnectionPool::HostConnection::send_query(const std::string& tag, Query::Kind kind,
                                                    std::uint64_t function, const std::string& line,
                                                    PendingWrite::Kind what) {
  const Millis now = fleet_.loop_.now();
  queries_[tag] = {kind, function, now, 0, false, {}, 0};
  queries_[tag].timer =
      fleet_.loop_.schedule_at(now + fleet_.limits_.order_timeout, [this, tag] { query_timed_out(tag); });
  enqueue_write({what, tag, line + "\r\n", {}, Millis(0), function});
  arm_idle_timer();
  arm_silence_timer();
}

// Wait: till the next turn, in which it is taken back if its call is over.
HostConnectionPool::HostConnection::WriteDecision HostConnectionPool::HostConnection::check_before_write(
    PendingWrite& pending) {
  if (pending.kind == PendingWrite::Kind::line)
    return WriteDecision::write;
  const bool exec = pending.kind == PendingWrite::Kind::attempt;
  const SentAttempt sent = exec ? attempts_.at(pending.name) : SentAttempt{};
  const core::Call* call = exec ? fleet_.dispatcher_->find_call(sent.attempt.call) : nullptr;
  if (!fleet_.allows(host_, call, pending.function))
    return WriteDecision::discard;
  if (!exec)
    return WriteDecision::write;
  if (pending.until - fleet_.loop_.now() < kLeastPatience)
    return WriteDecision::wait;
  const auto begin = fleet_.dispatcher_->check_before_write(sent.attempt, sent.at);
  return begin == core::Dispatcher::WriteCheck::allowed ? WriteDecision::write : WriteDecision::wait;
}

// The one place from which calls and orders go out.
void HostConnectionPool::HostConnection::before_write() {
  // A host that has closed is read first: what stands here goes elsewhere, and provably never ran here.
  if (pending_writes_.empty() || peer_state() == net::PeerState::disconnected)
    return;
  auto decided = std::move(pending_writes_);
  pending_writes_.clear();
  bool kernel_full = false;
  for (auto& one : decided) {
    const WriteDecision look = kernel_full ? WriteDecision::wait : check_before_write(one);
    if (look == WriteDecision::write) {
      write_out(one);
      // Behind bytes that the kernel has no room for it would stand with the patience of now, and go
      // out for a caller who has cancelled. Only one call is ever cut in two.
      kernel_full = !flush_now();
      if (kernel_full && one.kind == PendingWrite::Kind::attempt)
        limit_stuck_exec();
    }
    if (look == WriteDecision::discard)
      discard_write(one);
    if (look == WriteDecision::wait)
      pending_writes_.push_back(std::move(one));
  }
  if (pending_writes_.empty() || kernel_full)
    return;  // looked at again once the kernel has room
  fleet_.loop_.cancel(again_);
  again_ = fleet_.loop_.schedule_at(fleet_.loop_.now() + kLookPace, [this] {
    read_callers();
    fleet_.loop_.flush_later(*this);
  });
}

// A CANCEL may stand behind more bytes than a turn reads.
void HostConnectionPool::HostConnection::read_callers() {
  std::vector<core::Attempt> waiting;
  for (const auto& one : pending_writes_) {
    if (one.kind == PendingWrite::Kind::attempt)
      waiting.push_back(attempts_.at(one.name).attempt);
  }
  for (const auto& attempt : waiting)
    fleet_.dispatcher_->read_client_input(attempt);  // may take some back
}

void HostConnectionPool::HostConnection::limit_stuck_exec() {
  fleet_.loop_.cancel(stuck_exec_);
  stuck_exec_ =
      fleet_.loop_.schedule_at(fleet_.loop_.now() + kStuckExecMost, [this, end = send_queue().appended()] {
        if (is_closing() || send_queue().written() >= end)
          return;
        fleet_.counters_.add(metrics::kHostsStuckCalls);
        close_later();
      });
}

void HostConnectionPool::HostConnection::abort_pending_writes() {
  const auto decided = std::move(pending_writes_);
  pending_writes_.clear();
  for (const auto& one : decided)
    discard_write(one);
}

void HostConnectionPool::HostConnection::discard_write(const PendingWrite& pending) {
  fleet_.counters_.add(metrics::kHostsWithdrawn);
  if (pending.kind == PendingWrite::Kind::attempt) {
    const auto found = attempts_.find(pending.name);
    const core::Attempt attempt = found->second.attempt;
    attempts_.erase(found);
    fleet_.attempt_not_sent(attempt);
  } else if (const auto found = queries_.find(pending.name); found != queries_.end()) {
    const Query asked = found->second;
    fleet_.loop_.cancel(asked.timer);
    queries_.erase(found);
    if (asked.kind == Query::Kind::load)
      fleet_.load_not_sent(host_, asked.function);
    if (asked.kind == Query::Kind::probe)
      fleet_.probe_not_sent(host_);
    if (asked.kind == Query::Kind::liveness)
      probed_ = Millis(0);
  }
  arm_idle_timer();
}

void HostConnectionPool::HostConnection::write_out(const PendingWrite& pending) {
  if (pending.kind != PendingWrite::Kind::attempt) {
    write(pending.text);
    const auto found = queries_.find(pending.name);
    if (found == queries_.end())
      return;
    found->second.written = true;
    found->second.end_offset = send_queue().appended();
    return;
  }
  const auto attempt_timeout =
      static_cast<std::int64_t>(std::floor((pending.until - fleet_.loop_.now()).count()));
  std::string message = "exec " + pending.name + ' ' + pending.text +
                        ",patience=" + std::to_string(std::max<std::int64_t>(1, attempt_timeout)) + ' ' +
                        std::to_string(pending.body.size()) + "\r\n";
  message += pending.body;
  message += "\r\n";
  write(message);
  SentAttempt& sent = attempts_.at(pending.name);
  sent.written = true;
  sent.end_offset = send_queue().appended();
}

// Idle from now on, until something goes out again.
void HostConnectionPool::HostConnection::arm_idle_timer() {
  if (is_connecting())
    return;
  fleet_.loop_.cancel(timer_);
  if (load() > 0)
    return;
  const bool kept = !retired_ && (!suspect_ || fleet_.in_local_trouble());
  const Millis now = fleet_.loop_.now();
  const Millis idle = kept ? fleet_.limits_.idle * kIdleShare : Millis(0);
  idle_until_ = now + (kept ? fleet_.limits_.idle * kIdleShareMost : Millis(0));
  timer_ = fleet_.loop_.schedule_at(now + idle, [this] { idle_over(); });
}

// While no new connection can be made, one that stands is kept for as long as its host surely keeps it.
void HostConnectionPool::HostConnection::idle_over() {
  const Millis next = fleet_.loop_.now() + kIdlePace;
  if (!fleet_.in_local_trouble() || retired_ || next > idle_until_)
    return close_later();
  timer_ = fleet_.loop_.schedule_at(next, [this] { idle_over(); });
}

}  // namespace lotusyard::hosts
