#include "outage/checker.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace lotusyard::test::outage {
namespace {

std::string seconds(double from, double at) {
  const std::string text = std::to_string((at - from) / 1000);
  return text.substr(0, text.find('.') + 4);
}

double first_time(const History& history) { return history.calls.empty() ? 0 : history.calls[0].sent_at; }

const Outage* outage_at(const History& history, double at) {
  for (const auto& outage : history.outages) {
    if (at >= outage.from && at < outage.to)
      return &outage;
  }
  return nullptr;
}

// The latest time at which a host's drain counts as notified.
double notified_at(const History& history, const PhaseChange& change, const Rules& rules) {
  const Outage* outage = outage_at(history, change.at);
  if (outage == nullptr)
    return change.at;
  const bool per_event = rules.clock == NotificationClock::per_event;
  const double by_clock = per_event ? change.at + rules.notification_delay
                                    : std::max(change.at, outage->from + rules.notification_delay);
  return std::min(by_clock, outage->to);
}

// A host that has returned counts as ready only once the change could be read, from discovery or from a
// configuration. Until then an invoker may still have to observe the drain that counts as notified.
double readable_at(const History& history, const PhaseChange& change) {
  const Outage* outage = outage_at(history, change.at);
  if (outage == nullptr || outage->answers_late)
    return change.at;
  double readable = outage->to;
  for (const double start : history.starts) {
    if (start >= change.at)
      readable = std::min(readable, start);
  }
  return readable;
}

struct ForbiddenSpan {
  double from = 0;
  double to = kNever;
};

// The time spans in which the host must get no new requests.
std::vector<ForbiddenSpan> forbidden_spans(const History& history, const std::string& host,
                                           const Rules& rules) {
  std::vector<ForbiddenSpan> spans;
  bool is_ready = true;
  for (const auto& change : history.phases) {
    if (change.host != host)
      continue;
    if (change.phase == HostPhase::ready) {
      if (!is_ready)
        spans.back().to = readable_at(history, change);
      is_ready = true;
    } else if (is_ready) {
      spans.push_back({notified_at(history, change, rules) + rules.drain_grace + rules.slack});
      is_ready = false;
    }
  }
  return spans;
}

bool is_forbidden(const std::vector<ForbiddenSpan>& spans, double at) {
  return std::any_of(spans.begin(), spans.end(),
                     [at](const ForbiddenSpan& span) { return at > span.from && at < span.to; });
}

// The fraction of its capacity that a host has at this age.
double capacity_after(double age, const Rules& rules) {
  return std::min(1.0, rules.cold_initial + (1 - rules.cold_initial) * age / rules.cold_duration);
}

// The requests that the host received in [from, to).
int requests_in(const History& history, const std::string& host, double from, double to) {
  return static_cast<int>(
      std::count_if(history.requests.begin(), history.requests.end(), [&](const HostRequest& request) {
        const bool is_call = request.kind == HostRequest::Kind::call;
        return is_call && request.host == host && request.at >= from && request.at < to;
      }));
}

// The most calls that a warm host got in one window of the run.
int busiest_warm_window(const History& history, const std::string& cold, const Rules& rules) {
  std::map<std::string, std::map<long, int>> windows;
  for (const auto& request : history.requests) {
    if (request.host != cold && request.kind == HostRequest::Kind::call)
      ++windows[request.host][std::lround(std::floor(request.at / rules.cold_window))];
  }
  int most = 0;
  for (const auto& [host, counts] : windows) {
    for (const auto& [window, count] : counts)
      most = std::max(most, count);
  }
  return most;
}

void append(std::vector<std::string>& all, std::vector<std::string> more) {
  all.insert(all.end(), more.begin(), more.end());
}

}  // namespace

std::vector<std::string> drain_violations(const History& history, const Rules& rules) {
  std::map<std::string, std::vector<ForbiddenSpan>> spans;
  for (const auto& change : history.phases)
    spans.emplace(change.host, forbidden_spans(history, change.host, rules));
  std::vector<std::string> broken;
  for (const auto& request : history.requests) {
    if (!is_forbidden(spans[request.host], request.at))
      continue;
    const char* kind = request.kind == HostRequest::Kind::call ? "call " : "load order ";
    broken.push_back("drain: " + request.host + " got a " + kind + request.body + " at " +
                     seconds(first_time(history), request.at) + " s");
  }
  return broken;
}

std::vector<std::string> lost_calls(const History& history, const Rules& rules) {
  std::vector<std::string> broken;
  for (const auto& call : history.calls) {
    if (call.excused)
      continue;
    const double due = call.sent_at + call.timeout + rules.answer_grace + rules.slack;
    if (call.answers == 1 && call.answered_at <= due)
      continue;
    broken.push_back("lost: " + call.body + " sent at " + seconds(first_time(history), call.sent_at) +
                     " s got " + std::to_string(call.answers) + " answers");
  }
  return broken;
}

std::vector<std::string> duplicate_runs(const History& history) {
  std::map<std::string, int> runs;
  for (const auto& request : history.requests) {
    if (request.kind == HostRequest::Kind::call && !request.rejected)
      ++runs[request.body];
  }
  std::vector<std::string> broken;
  for (const auto& call : history.calls) {
    if (!call.idempotent && runs[call.body] > 1)
      broken.push_back("duplicate: " + call.body + " ran " + std::to_string(runs[call.body]) + " times");
  }
  return broken;
}

std::vector<std::string> slow_start_violations(const History& history, const Rules& rules) {
  std::vector<std::string> broken;
  if (rules.cold_duration <= 0)
    return broken;
  for (const auto& start : history.phases) {
    if (start.phase != HostPhase::ready || !start.restarted)
      continue;
    const double warm = busiest_warm_window(history, start.host, rules);
    for (double age = 0; age < rules.cold_duration; age += rules.cold_window / 4) {
      const double from = start.at + age;
      const int got = requests_in(history, start.host, from, from + rules.cold_window);
      const double allowed = rules.cold_factor * warm * capacity_after(age + rules.cold_window, rules);
      if (got > allowed + 3 * std::sqrt(allowed + 3) + 3)
        broken.push_back("slow start: " + start.host + " got " + std::to_string(got) + " calls from " +
                         seconds(first_time(history), from) + " s on");
    }
  }
  return broken;
}

std::vector<std::string> violations(const History& history, const Rules& rules) {
  std::vector<std::string> all = drain_violations(history, rules);
  append(all, lost_calls(history, rules));
  append(all, duplicate_runs(history));
  append(all, slow_start_violations(history, rules));
  return all;
}

double served_share(const History& history, double from, double to) {
  int sent = 0;
  int served = 0;
  for (const auto& call : history.calls) {
    if (call.sent_at < from || call.sent_at >= to || call.excused)
      continue;
    ++sent;
    served += call.status == "OK" ? 1 : 0;
  }
  return sent == 0 ? 1 : static_cast<double>(served) / sent;
}

int calls_served_by(const History& history, const std::string& host, double from, double to) {
  return static_cast<int>(
      std::count_if(history.requests.begin(), history.requests.end(), [&](const HostRequest& request) {
        const bool is_served_call = request.kind == HostRequest::Kind::call && !request.rejected;
        return is_served_call && request.host == host && request.at >= from && request.at < to;
      }));
}

}  // namespace lotusyard::test::outage
