// Whether a connection is still worth waiting for: late to come up, silent, broken off half-way.
#include <algorithm>

#include "hosts/host_connection.h"
#include "metrics/host_counters.h"

namespace lotusyard::hosts {
namespace {

using core::Outcome;

constexpr int kProbeDoublings = 4;
constexpr Millis kProbeMost{250};   // and ended if none comes: a host answers that beside its queue
constexpr Millis kPieceMost{200};   // between two pieces of an answer; later, its rest never comes
constexpr Millis kWholeMost{2000};  // and from its first to its last
constexpr Millis kCheckPace{50};

}  // namespace

void HostConnectionPool::HostConnection::arm_silence_timer() {
  sent_ = fleet_.loop_.now();
  if (std::exchange(checking_, true))
    return;  // one timer a link
  check_ = fleet_.loop_.schedule_at(sent_ + kCheckPace, [this] { check_silence(); });
}

void HostConnectionPool::HostConnection::send_liveness_probe() {
  // A probe that the settings forbid breaks a rule. An order for no copy is allowed, and tells as
  // much; its function is one that a client has called. An order must not go to a host that drains.
  const bool order = fleet_.limits_.liveness == LivenessProbe::order;
  const std::uint64_t function = attempts_.begin()->second.function;
  if (fleet_.limits_.liveness == LivenessProbe::none)
    return;
  if ((order && !fleet_.allows(host_, nullptr, function)) || !fleet_.take_liveness_probe())
    return;
  probed_ = fleet_.loop_.now();
  ++probes_unanswered_;
  const std::string tag = "s" + std::to_string(++fleet_.last_tag_);
  send_query(tag, Query::Kind::liveness, function, order ? order_line(tag, function, 0) : "health " + tag,
             order ? PendingWrite::Kind::load : PendingWrite::Kind::line);
}

// A link over which nothing comes any more, or never the rest of an answer, holds whatever is out
// on it to the deadline, though its host serves others well. One liveness probe tells it from a busy host.
void HostConnectionPool::HostConnection::check_silence() {
  checking_ = false;
  if (load() == 0 || is_closing())
    return;
  const Millis now = fleet_.loop_.now();
  // A long answer, or one that comes in small pieces, takes long though nothing is wrong.
  const bool torn = begun_.count() > 0 && (now - heard_ > kPieceMost || now - begun_ > kWholeMost);
  const bool unanswered = probed_ > heard_ && now - probed_ > kProbeMost;
  if (is_open() && (torn || unanswered)) {
    fleet_.counters_.add(torn ? metrics::kHostsCutAnswers : metrics::kHostsSilentLinks);
    return close_later();
  }
  const Millis quiet = fleet_.max_silence() * (1 << std::min(probes_unanswered_, kProbeDoublings));
  const bool waits = is_open() && !attempts_.empty() && probed_ <= heard_;
  if (waits && now - std::max(heard_, sent_) > quiet)
    send_liveness_probe();
  if (std::exchange(checking_, true))
    return;
  check_ = fleet_.loop_.schedule_at(now + kCheckPace, [this] { check_silence(); });
}

void HostConnectionPool::HostConnection::connect_timed_out() {
  fleet_.counters_.add(metrics::kHostsConnectTimeouts);
  close_later();
}

void HostConnectionPool::HostConnection::query_timed_out(const std::string& tag) {
  const auto found = queries_.find(tag);
  if (found == queries_.end())
    return;
  const Query asked = found->second;
  queries_.erase(found);
  arm_idle_timer();
  finish_query(asked, Outcome::timeout, 0, std::nullopt);
}

}  // namespace lotusyard::hosts
