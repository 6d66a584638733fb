// Whether a host is known to take new work, also while the endpoint list may be out of date.
//
// A drain counts as notified some time after it was published, whether or not the notification arrived. So a
// list is relied on for a limited time after discovery has last confirmed it. Past that, each host has to
// prove for itself, by serving a call or by answering a health check, that it is not draining.
#pragma once

#include <algorithm>
#include <limits>
#include <optional>
#include <string_view>

#include "core/types.h"

namespace lotusyard::hosts {

using core::Millis;

// How long each kind of knowledge is relied on.
struct ReadinessTerms {
  Millis list_validity{0};    // since discovery confirmed the list; zero: there is no limit
  Millis answer_validity{0};  // since the request was sent that the host has answered
  bool checks_hosts = false;  // hosts may be asked for their health
};

// `list_interval`: the longest usual time between two confirmations of the list.
ReadinessTerms readiness_terms(const core::Settings& settings, Millis list_interval);

enum class Readiness {
  confirmed,    // new work may be sent
  unconfirmed,  // only after the host has answered a health check
  withheld      // no new work
};

enum class WithheldReason {
  declared_draining,  // its own answer to a health check
  refuses_calls,      // it turned several calls away in a row, and cannot be asked for its health
  unresponsive,       // no answer to a health check
  list_too_old        // nothing proves that it is still the process that the list names
};

// As counters and log lines print it.
std::string_view name_of(WithheldReason reason);

struct ReadinessVerdict {
  Readiness readiness = Readiness::confirmed;
  std::optional<WithheldReason> reason;  // if withheld
};

inline constexpr Millis kNeverAnswered{-std::numeric_limits<double>::infinity()};

// What one host's own answers have shown. Plain record; ReadinessRules reads it.
struct HostReadiness {
  Millis accepted_at{kNeverAnswered};  // when the latest request was sent that proves that it takes work
  Millis refused_at{kNeverAnswered};   // when it last turned a call away
  int refusals = 0;                    // in a row
  bool declared_draining = false;
  Millis checked_at{kNeverAnswered};  // when a health check last ended
  Millis unresponsive_until{kNeverAnswered};

  void record_accepted(Millis sent_at);
  void record_refused(Millis now);
  void record_healthy(Millis sent_at, Millis now);
  void record_unhealthy(Millis now);
  void record_unresponsive(Millis now);
};

// Judges hosts by their records, the age of the list and the clock. Does no I/O; the time is passed in.
class ReadinessRules {
 public:
  void set_terms(const ReadinessTerms& terms) { terms_ = terms; }
  const ReadinessTerms& terms() const { return terms_; }

  // Everything that was published before `at` is known from discovery.
  void confirm_list(Millis at) { list_confirmed_at_ = std::max(list_confirmed_at_, at); }
  // The same from a configuration.
  void confirm_configured_list(Millis at);

  Millis list_age(Millis now) const { return now - list_confirmed_at_; }
  // Whether the list alone is relied on.
  bool is_list_current(Millis now) const;
  // Whether the list soon will not be.
  bool is_list_ageing(Millis now) const;

  // `has_known_connection`: a connection is open whose host is_same_process().
  ReadinessVerdict judge(const HostReadiness& host, bool has_known_connection, Millis now) const;

  // Whether a connection made at `connected_at` is to the process that was last known to be ready. A host
  // that drained, left and came back in between would have taken longer than a list is valid.
  bool is_same_process(const HostReadiness& host, Millis connected_at) const;

 private:
  ReadinessTerms terms_;
  Millis list_confirmed_at_{0};

  ReadinessVerdict judge_by_list(const HostReadiness& host) const;
  ReadinessVerdict judge_by_answers(const HostReadiness& host, bool has_known_connection, Millis now) const;
};

}  // namespace lotusyard::hosts
