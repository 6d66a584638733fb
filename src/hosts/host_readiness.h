// Decides whether a host may be sent new work, also while the endpoint list may be out of date.
//
// A drain counts as notified some time after it was published, whether or not the notification arrived. So a
// list is valid only for a limited time after discovery last confirmed it. After that, each host has to prove
// that it is not draining, by serving a call or by answering a health check.
#pragma once

#include <algorithm>
#include <limits>
#include <optional>
#include <string_view>

#include "core/types.h"

namespace lotusyard::hosts {

using core::Millis;

// How long each source of information about readiness is valid.
struct ReadinessTerms {
  Millis list_validity{0};    // from when discovery confirmed the list; zero: no limit
  Millis answer_validity{0};  // from when the request that the host answered was sent
  bool checks_hosts = false;  // health checks may be sent to hosts
};

// `list_interval`: the longest usual time between two confirmations of the list.
ReadinessTerms readiness_terms(const core::Settings& settings, Millis list_interval);

enum class Readiness {
  confirmed,    // new work may be sent
  unconfirmed,  // new work may be sent only after the host has answered a health check
  withheld      // no new work
};

enum class WithheldReason {
  declared_draining,  // its own answer to a health check
  refuses_calls,      // it rejected several calls in a row, and health checks are not allowed
  unresponsive,       // no answer to a health check
  list_too_old        // nothing proves that it is still the process that the list names
};

// The name in counters and log lines.
std::string_view name_of(WithheldReason reason);

struct ReadinessResult {
  Readiness readiness = Readiness::confirmed;
  std::optional<WithheldReason> reason;  // if withheld
};

inline constexpr Millis kNever{-std::numeric_limits<double>::infinity()};

// What the answers of one host have shown; evaluated by ReadinessRules.
struct HostReadiness {
  Millis accepted_at{kNever};  // when the latest request was sent that proves that it takes work
  Millis refused_at{kNever};   // when it last rejected a call
  int refusals = 0;            // in a row
  bool declared_draining = false;
  Millis checked_at{kNever};  // when a health check last ended
  Millis unresponsive_until{kNever};

  void record_accepted(Millis sent_at);
  void record_refused(Millis now);
  void record_healthy(Millis sent_at, Millis now);
  void record_unhealthy(Millis now);
  void record_unresponsive(Millis now);
};

// Evaluates hosts by their answers and the age of the list. Does no I/O; the time is passed in.
class ReadinessRules {
 public:
  void set_terms(const ReadinessTerms& terms) { terms_ = terms; }
  const ReadinessTerms& terms() const { return terms_; }

  // Discovery has delivered everything that was published before `at`.
  void confirm_list(Millis at) { list_confirmed_at_ = std::max(list_confirmed_at_, at); }
  // The same for a list from a configuration.
  void confirm_configured_list(Millis at);

  Millis list_age(Millis now) const { return now - list_confirmed_at_; }
  // Whether the list is valid, so that hosts need not prove their readiness.
  bool is_list_current(Millis now) const;
  // Whether more than half of the list's validity has passed.
  bool is_list_ageing(Millis now) const;

  // `has_known_connection`: an open connection exists for which is_same_process() holds.
  ReadinessResult evaluate(const HostReadiness& host, bool has_known_connection, Millis now) const;

  // Whether a connection made at `connected_at` leads to the process that was last known to be ready. A host
  // takes longer than the list is valid to drain, stop and start again.
  bool is_same_process(const HostReadiness& host, Millis connected_at) const;

 private:
  ReadinessTerms terms_;
  Millis list_confirmed_at_{0};

  ReadinessResult evaluate_by_list(const HostReadiness& host) const;
  ReadinessResult evaluate_by_answers(const HostReadiness& host, bool has_known_connection, Millis now) const;
};

}  // namespace lotusyard::hosts
