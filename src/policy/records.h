// Plain records of the policy: what is known of instances, functions, classes, hosts and requests. They have
// no behaviour; the classes that own them are named at each.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "lotusyard/policy/policy.h"
#include "moving_average.h"
#include "policy/constants.h"

namespace lotusyard::policy {

// The instances of one function on one host, as far as this router knows. Owner: FunctionTable.
struct InstanceSet {
  int host = 0;       // index in HostTable
  int warm = 0;       // instances believed to be loaded
  int loading = 0;    // instances that an order of ours loads
  int in_flight = 0;  // own calls
  Millis used_at{kNever};
  Millis load_began_at{kNever};
  Millis absent_at{kNever};  // when the host answered that it has none
  bool proven = false;       // has served a call, or the host told of it
};

// One function. Owner: FunctionTable.
struct Function {
  std::uint64_t id = 0;
  std::string tenant;  // of the latest call
  int class_index = -1;
  int lanes = 1;  // calls that one instance serves at once
  MovingAverage run_time;
  MovingAverage load_time;
  double baseline = 0;              // run time on an idle host, in milliseconds
  double load_hint = 0;             // load time that requests state, in milliseconds; 0: none
  double arrivals = 0;              // own calls, decaying with kDemandTimeConstant
  double host_concurrency = 0;      // moving average of own calls met on a host
  std::deque<std::uint64_t> queue;  // serials of requests that wait for a host
  std::vector<InstanceSet> instances;
  Millis seen_at{kNever};
  Millis created_at{kNever};
  Millis no_order_before{kNever};
  std::vector<int> hosts;    // all ready hosts, in the order in which this router uses them
  int agreed_hosts = 0;      // how many of them all routers share for this function
  int list_version = -1;     // endpoint list by which `hosts` was made
  bool last_missed = false;  // the latest call found no instance

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

// What was learnt of a class. Owner: ClassTable.
struct ClassRecord {
  MovingAverage run_time;
  double baseline = 0;    // run time on an idle host, in milliseconds
  double error_rate = 0;  // share of calls that failed of late, on any host
  Millis first_try{0};    // time that a client gives its first try: most calls are one
  int first_tries = 0;    // calls with that time less calls with another, of late
};

// Health of one class on one host, or of the host as a whole. Owner: Host.
struct Health {
  double error_rate = 0;
  Millis ejected_until{kNever};
  Millis ejection{0};      // length of the latest ejection
  bool probation = false;  // since an ejection, no call has succeeded
};

// A host (a worker, in the words of the interface). Owner: HostTable.
struct Host {
  HostEntry entry;  // as the endpoint list tells
  Health health;
  std::vector<Health> class_health;  // by ClassTable::slot
  std::uint64_t hash = 0;            // of its id, for rendezvous hashing
  int list_version = 0;              // of the latest list that had it
  Millis listed_at{kNever};          // when it was listed last
  int in_flight = 0;                 // own calls

  // Liveness
  Millis heard_at{kNever};     // latest answer, or the first call after a quiet time
  Millis answered_at{kNever};  // latest answer that proves that it runs
  Millis died_at{kNever};      // came back from a loss
  Millis doubted_at{kNever};   // a connection broke; a health check is in flight
  bool doubted_by_reset = false;
  bool lost = false;                 // seen to be down, not yet seen to be back
  int failed_probes = 0;             // in a row, since it was doubted
  std::uint64_t probe_function = 0;  // of the order that is sent in place of a health check

  // Load
  double limit = kInitialConcurrencyLimit;  // own calls at once
  Millis limit_cut_at{kNever};
  Millis full_until{kNever};
  double stretch = 1;  // run time over baseline
  Millis stretch_at{kNever};
  double waiting = 0;  // calls that wait, by its report
  Millis waiting_at{kNever};
  double reported_calls = 0;
  Millis reported_at{kNever};

  // Slow start
  double tokens = 0;            // of the budget's token bucket, in milliseconds of work
  Millis tokens_at{kNever};     // when the bucket was filled last
  bool received_calls = false;  // a call went there since it started

  bool is_ready() const { return entry.state == HostState::ready; }
  bool is_gone() const { return entry.state == HostState::removed; }
  // Operators returned it to service and nothing has been heard from it since.
  bool is_newly_returned() const { return entry.enabled_by_operator && answered_at < entry.started; }
};

enum class AttemptState { in_flight, never_ran, may_have_run };

// One attempt of a request. Owner: Request.
struct Attempt {
  int host = 0;
  Millis sent_at{0};
  AttemptState state = AttemptState::in_flight;
  bool overdue = false;  // in flight for so long that it counts as unanswered
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
  bool streaming = false;  // its answer has begun
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
