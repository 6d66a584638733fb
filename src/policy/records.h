// Plain records of the policy: the state of instances, functions, classes, hosts and requests. They have no
// behaviour; each names the class that owns it.
#pragma once

#include <algorithm>
#include <cstdint>
#include <list>
#include <string>
#include <vector>

#include "lotusyard/policy/policy.h"
#include "moving_average.h"
#include "policy/constants.h"

namespace lotusyard::policy {

// The instances of one function on one host, as far as this invoker can see. Owner: FunctionTable.
struct InstanceSet {
  int host = 0;       // index in HostTable
  int warm = 0;       // instances that are assumed to be loaded
  int loading = 0;    // instances that an order of this invoker loads
  int in_flight = 0;  // calls of this invoker
  Millis used_at{kNever};
  Millis load_began_at{kNever};
  Millis absent_at{kNever};  // when the host answered that it has none
  bool proven = false;       // has served a call, or the host reported it
};

// One function. Owner: FunctionTable.
struct Function {
  std::uint64_t id = 0;
  std::string tenant;  // of the latest call
  int class_index = -1;
  int lanes = 1;  // calls that one instance serves at once
  MovingAverage run_time;
  MovingAverage load_time;
  double baseline = 0;             // run time on an idle host, in milliseconds
  double load_hint = 0;            // load time that requests state, in milliseconds; 0: none
  double arrivals = 0;             // calls of this invoker, decaying with kDemandTimeConstant
  double host_concurrency = 0;     // moving average of its concurrent calls, as hosts report them
  std::list<std::uint64_t> queue;  // serials of requests that wait for a host; a list: usually it is empty
  int open_requests = 0;           // in RequestTable
  std::vector<InstanceSet> instances;
  Millis last_call_at{kNever};
  Millis created_at{kNever};
  Millis no_order_before{kNever};
  std::vector<int> hosts;    // all ready hosts, in the order in which this invoker uses them
  int agreed_hosts = 0;      // how many of them all invokers share for this function
  int list_version = -1;     // endpoint list from which `hosts` was computed
  bool last_missed = false;  // the latest call found no instance

  // Whether a host has ever served a call or loaded an instance: it is no name that a client made up.
  bool is_confirmed() const {
    return run_time.known() || load_time.known() ||
           std::any_of(instances.begin(), instances.end(), [](const auto& set) { return set.proven; });
  }
  // Whether a request or a load order refers to the record.
  bool is_in_use() const {
    return open_requests > 0 ||
           std::any_of(instances.begin(), instances.end(), [](const auto& set) { return set.loading > 0; });
  }
  // The instances on a host, or null.
  InstanceSet* find_instances(int host) {
    for (auto& set : instances) {
      if (set.host == host)
        return &set;
    }
    return nullptr;
  }
  // The instances on a host; an empty record is added if there is none.
  InstanceSet& instances_on(int host) {
    InstanceSet* set = find_instances(host);
    return set != nullptr ? *set : instances.emplace_back(InstanceSet{host});
  }
};

// Statistics of a class. Owner: ClassTable.
struct ClassRecord {
  MovingAverage run_time;
  double baseline = 0;          // run time on an idle host, in milliseconds
  double error_rate = 0;        // moving average of the failure rate, over all hosts
  Millis first_try_timeout{0};  // usual time-out of calls; most calls are a client's first try
  int first_try_score = 0;      // recent calls with that time-out minus those with another
};

// Health of one class on one host, or of the host for all classes. Owner: Host.
struct Health {
  double error_rate = 0;
  Millis ejected_until{kNever};
  Millis ejection{0};      // length of the latest ejection
  bool probation = false;  // since an ejection, no call has succeeded
};

// A host. Owner: HostTable.
struct Host {
  HostEntry entry;  // from the endpoint list
  Health health;
  std::vector<Health> class_health;  // by ClassTable::slot
  std::uint64_t hash = 0;            // of its id, for rendezvous hashing
  int list_version = 0;              // of the latest list that included it
  Millis listed_at{kNever};          // when it was last listed
  int in_flight = 0;                 // calls of this invoker

  // Liveness
  Millis active_at{kNever};     // latest answer, or the first call after it was idle
  Millis answered_at{kNever};   // latest answer that proves that it runs
  Millis recovered_at{kNever};  // when it answered again after a loss
  Millis suspected_at{kNever};  // start of the health check that follows a broken connection
  bool suspected_by_reset = false;
  bool lost = false;                 // found to be down, has not answered since
  int failed_probes = 0;             // in a row, since it became suspect
  std::uint64_t probe_function = 0;  // of a load order sent in place of a health check

  // Load
  double limit = kInitialConcurrencyLimit;  // concurrent calls of this invoker
  Millis limit_cut_at{kNever};
  Millis full_until{kNever};
  double stretch = 1;  // run time over baseline
  Millis stretch_at{kNever};
  double waiting = 0;  // queued calls, by its report
  Millis waiting_at{kNever};
  double reported_calls = 0;
  Millis reported_at{kNever};

  // Slow start
  double tokens = 0;            // of the budget's token bucket, in milliseconds of work
  Millis tokens_at{kNever};     // when the bucket was last filled
  bool received_calls = false;  // a call was sent there since it started

  bool is_ready() const { return entry.state == HostState::ready; }
  bool is_removed() const { return entry.state == HostState::removed; }
  // True if operators returned it to service and it has not answered since.
  bool is_newly_returned() const { return entry.enabled_by_operator && answered_at < entry.started; }
};

enum class AttemptState { in_flight, never_ran, may_have_run };

// One attempt of a request. Owner: Request.
struct Attempt {
  int host = 0;
  Millis sent_at{0};
  AttemptState state = AttemptState::in_flight;
  bool overdue = false;  // has timed out, and counts as unanswered
};

inline bool is_in_flight(const Attempt& attempt) { return attempt.state == AttemptState::in_flight; }

// An open request. Owner: RequestTable.
struct Request {
  std::string id;
  std::string tenant;
  std::uint64_t serial = 0;
  int class_index = -1;
  int max_attempts = 1;
  Function* function = nullptr;
  Millis deadline{0};
  Millis objective_at{0};  // when its latency objective ends
  bool done = false;       // answered or abandoned; attempts may be in flight still
  bool streaming = false;  // its answer has started
  std::vector<Attempt> attempts;

  bool last_never_ran() const {
    return !attempts.empty() && attempts.back().state == AttemptState::never_ran;
  }
  bool last_tried(int host) const { return !attempts.empty() && attempts.back().host == host; }
  int in_flight() const {
    return static_cast<int>(std::count_if(attempts.begin(), attempts.end(), is_in_flight));
  }
  bool has_attempts_left() const { return static_cast<int>(attempts.size()) < max_attempts; }
};

}  // namespace lotusyard::policy
