// All numeric constants of the policy, with their units and reasons. Limits that belong to a deployment
// (timeouts, rates, attempts) are in Settings; none of the values here is specific to a site.
#pragma once

#include <cstddef>

#include "lotusyard/policy/policy.h"

namespace lotusyard::policy {

// Earlier than any time of any clock: "has not happened".
constexpr Millis kNever{-1e15};

// ---- Averages -------------------------------------------------------------------------------------------
// Gain of the moving averages of run times and reports: about the last ten samples count.
constexpr double kRunGain = 0.1;
// Gain where samples are few: load times, a host's stretch, a function's concurrency on a host.
constexpr double kSparseGain = 0.3;
// Gains of averages over all functions, so that each function's samples move them less.
constexpr double kSharedRunGain = kRunGain / 4;
constexpr double kSharedLoadGain = kSparseGain / 4;
// Gains of a rising stretch, of one host and of the fleet: single slow answers are noise.
constexpr double kStretchRiseGain = kSparseGain / 3;
constexpr double kFleetStretchRiseGain = kRunGain / 3;
// Gain of a class's failure rate over the fleet.
constexpr double kFleetErrorGain = kRunGain / 2;
// Gain of the number of calls that one host reports, while its latest report is recent.
constexpr double kReportGain = 0.5;
// Gain of the failure rate of one class on one host: two failures in a row pass kEjectErrorRate.
constexpr double kErrorGain = 0.4;
// Gain of the fleet-wide concurrency estimate: single reports are noisy.
constexpr double kConcurrencyGain = 0.01;
// One sample counts at most as this many times the moving average.
constexpr double kSampleCap = 4;
// Growth of a baseline (unloaded run time) per answer, so that a baseline which was too low recovers.
constexpr double kBaselineGrowth = 1.02;
// The same with many invokers: each sees few answers, so a baseline must not drift.
constexpr double kBaselineGrowthManyInvokers = 1.002;
// Answers after which a function's own baseline replaces its class's.
constexpr int kBaselineSamples = 5;
// With many invokers, a function's first answers set a baseline of at most this many times the usual one.
constexpr double kFirstBaselineCap = 2;

// ---- Fleet ----------------------------------------------------------------------------------------------
// From this number of invokers on, a function's agreed host most likely has a warm instance already.
constexpr double kManyInvokers = 20;
// Interval of the housekeeping sweep: well under any latency objective, but cheap in CPU time.
constexpr Millis kSweepInterval{20};
// Lifetime of unused records; the second: of functions whose calls were never answered.
constexpr Millis kRecordLifetime{60000};
constexpr Millis kNewRecordLifetime{5000};
// Records of functions that are not in use and that no host has confirmed: a client may call any name.
constexpr std::size_t kMaxUnconfirmedFunctions = 4096;
// A full table of functions is emptied by this fraction at once, because each eviction sorts it.
constexpr double kEvictedFraction = 0.125;
// Pause before an endpoint list is requested again after a failure.
constexpr Millis kListRetryPause{1000};
// Random pauses are this to this plus one times their length, so that invokers do not act simultaneously.
constexpr double kMinJitter = 0.5;
// Bounds of external values: lanes of an instance, warm instances per host, reported calls.
constexpr int kMaxLanes = 1024;
constexpr int kMaxInstances = 16;
constexpr double kMaxReportedCalls = 1000;
// Lower bound of the host weight that a busyness is divided by.
constexpr double kMinWeight = 0.01;

// ---- Load of hosts --------------------------------------------------------------------------------------
// Limit on concurrent calls of this invoker on one host: initial, and highest (additive increase,
// multiplicative decrease).
constexpr double kInitialConcurrencyLimit = 6;
constexpr double kMaxConcurrencyLimit = 64;
// Lowest limit; the second: with many invokers, where each sees few calls.
constexpr double kMinConcurrencyLimit = 1;
constexpr double kMinConcurrencyLimitManyInvokers = 2;
// The limit rises only while the calls in flight are this close to it: otherwise it was not tested.
constexpr int kLimitHeadroom = 2;
// Added to the calls in flight when hosts are compared: otherwise idle hosts of any weight would be equal.
constexpr int kBusynessOffset = 2;
// Factor of a decrease of the limit.
constexpr double kConcurrencyDecrease = 0.9;
// Time constant with which a host's stretch (run time over baseline) decays.
constexpr Millis kStretchTimeConstant{2000};
// Upper bound of a stretch.
constexpr double kMaxStretch = 20;
// Stretch that a `full` answer counts as.
constexpr double kFullStretch = 6;
// A stretch above this means that the host's cores are oversubscribed.
constexpr double kOversubscribedStretch = 2;
// Pause after a `full` answer and between two decreases of a limit: a few service times.
constexpr Millis kFullBackoff{60};
// Factor on the busyness of a host in another zone.
constexpr double kRemoteZonePenalty = 1.15;
// Calls that a host serves concurrently, until reports show the number: further calls wait.
constexpr double kDefaultConcurrency = 4;
// Reports of higher utilisation are not used to estimate the concurrency: they include waiting calls.
constexpr double kMaxSampledUtilisation = 0.75;
// Utilisation up to which no call waits for a core.
constexpr double kUncontendedUtilisation = 0.5;
// Reports of more loads in progress than this are not used: their calls wait for a load.
constexpr double kMaxSampledLoads = 0.5;
// Time constant with which the number of calls that a host reported decays.
constexpr Millis kReportTimeConstant{8000};

// ---- Outlier ejection and liveness ----------------------------------------------------------------------
// Shortest time without answers that counts as a stall; also the pause after a load order that failed.
constexpr Millis kMinStall{400};
// An attempt in flight for this many usual run times counts as unanswered, but not before kMinStall.
constexpr double kStallRunTimes = 6;
// First and longest ejection: each failure on probation doubles the time.
constexpr Millis kFirstEjection{1000};
constexpr Millis kMaxEjection{8000};
// With many invokers, an ejection is this many times longer: each invoker rarely calls a host.
constexpr double kEjectionFactorManyInvokers = 3;
// Failure rate on one host that ejects it, on top of half the class's own failure rate.
constexpr double kEjectErrorRate = 0.5;
// If a class fails this often over the fleet, a single error does not eject a host.
constexpr double kFleetWideErrorRate = 0.2;
// A host that answered within this time is alive: two intervals of load reports.
constexpr Millis kAliveTime{1000};
// This many failed health checks in a row, without an answer in between, count as a loss.
constexpr int kMaxFailedProbes = 3;

// ---- Slow start -----------------------------------------------------------------------------------------
// Time constant of the rate of work served by warm hosts: a few slow-start windows.
constexpr Millis kServedRateTimeConstant{4000};
// Fraction of the slow-start budget that is used: leaves room for chance and clock skew.
constexpr double kSlowStartSafety = 0.5;
// A bucket holds at most the budget of a slow-start window divided by this.
constexpr double kSlowStartBurstDivisor = 5;
// Assumed ratio of a latency objective to the work of a call, until there is an answer.
constexpr double kObjectiveToWork = 4;

// ---- Warm instances and loads ---------------------------------------------------------------------------
// Time constant of a function's arrivals: about the idle time-out of an instance.
constexpr Millis kDemandTimeConstant{10000};
// Arrivals are averaged over at least this time: the first second is not representative.
constexpr Millis kMinDemandSpan{1000};
// Concurrent calls of one function that one host should serve.
constexpr double kCallsPerHost = 2;
// Upper bound of the agreed hosts of one function.
constexpr double kMaxAgreedHosts = 1000;
// Concurrent loads ordered by this invoker: more make a slow store slower.
constexpr int kMaxLoadsInProgress = 6;
// A load times out after this many usual load times.
constexpr double kLoadTimeoutFactor = 3;
// An order that was answered sooner found its instances warm: no load is that short.
constexpr Millis kMinLoadTime{50};
// A host that answered "no instance" is assumed to have none for this time.
constexpr Millis kAbsenceLifetime{1500};
// A function with this average of concurrent calls on an overloaded host gets an instance on another.
constexpr double kSpreadConcurrency = 0.5;
// A call does not spill past this many times the agreed hosts; with many invokers and answered misses, past
// this many hosts beyond them.
constexpr int kSpill = 2;
// Cost of each further host of a function, and of a host that is not an agreed one, in waiting calls.
constexpr double kFurtherHostCost = 0.25;
constexpr double kUnagreedHostPenalty = 2;
// Score factors of a host that the request tried last, and of one that operators returned: higher is worse.
constexpr double kTriedHostFactor = 4;
constexpr double kReturnedHostFactor = 0.5;

// ---- Admission and classes ------------------------------------------------------------------------------
// A stretch up to this is noise: service times vary.
constexpr double kNormalStretch = 2;
// Requests stay queued past their objective if a late answer keeps at least this fraction of its weight.
constexpr double kMinLateWeight = 0.5;
// Lower bound of the weight that priority weights are compared with.
constexpr double kMinPriorityWeight = 1e-9;
// "No limit" for the wait of a call, in milliseconds.
constexpr double kUnlimitedWait = 1e9;
// With many invokers, a class's run time starts at its objective divided by the first, with the weight of the
// second in samples.
constexpr int kObjectiveToRunTime = 5;
constexpr int kInitialRunTimeSamples = 5;
// Bound of the score by which the usual time-out of a class is replaced.
constexpr int kMaxFirstTryScore = 30;

}  // namespace lotusyard::policy
