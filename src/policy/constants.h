// Every numeric constant of the policy, with its unit and its reason. Limits that belong to a deployment
// (timeouts, rates, attempts) are in Settings; none of the values here is fitted to a site.
#pragma once

#include <cstddef>

#include "lotusyard/policy/policy.h"

namespace lotusyard::policy {

// Time before any time of any clock: "has not happened".
constexpr Millis kNever{-1e15};

// ---- Averages -------------------------------------------------------------------------------------------
// Gain of the moving averages of run times and reports: about the last ten samples count.
constexpr double kRunGain = 0.1;
// Gain where samples are few: load times, a host's stretch, own calls met on a host.
constexpr double kSparseGain = 0.3;
// Gains of averages that many functions share, so that each one's samples move them less.
constexpr double kSharedRunGain = kRunGain / 4;
constexpr double kSharedLoadGain = kSparseGain / 4;
// Gains of a stretch that rises, of one host and of the fleet: single slow answers are chance.
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
// The same where many routers share the fleet: each sees few answers, so that a baseline must not run away.
constexpr double kBaselineGrowthManyRouters = 1.002;
// Answers of its own after which a function's baseline is used in place of its class's.
constexpr int kBaselineSamples = 5;
// With many routers a function's first answers set a baseline of at most this many times the usual one.
constexpr double kFirstBaselineCap = 2;

// ---- Fleet ----------------------------------------------------------------------------------------------
// With this many routers a function's agreed host most likely holds a warm instance already.
constexpr double kManyRouters = 20;
// Interval of the housekeeping sweep: well under any latency objective, cheap in processor time.
constexpr Millis kSweepInterval{20};
// Records that were not used for this long are dropped; the second: functions that were never answered.
constexpr Millis kRecordLifetime{60000};
constexpr Millis kNewRecordLifetime{5000};
// Functions known at most before unused ones are dropped at each sweep: a client may call any name.
constexpr std::size_t kMaxFunctions = 4096;
// Pause before an endpoint list is asked for again after one that failed.
constexpr Millis kListRetryPause{1000};
// Random pauses are between this and this plus one times their length, lest many routers act together.
constexpr double kMinJitter = 0.5;
// Bounds of values that come from outside: lanes of an instance, warm instances per host, reported calls.
constexpr int kMaxLanes = 1024;
constexpr int kMaxInstances = 16;
constexpr double kMaxReportedCalls = 1000;
// Least weight that a busyness is divided by.
constexpr double kMinWeight = 0.01;

// ---- Load of hosts --------------------------------------------------------------------------------------
// Calls of this router at once on one host: at first, and at most (additive increase, multiplicative
// decrease).
constexpr double kInitialConcurrencyLimit = 6;
constexpr double kMaxConcurrencyLimit = 64;
// The limit does not fall below this; the second: with many routers, where each sees few calls.
constexpr double kMinConcurrencyLimit = 1;
constexpr double kMinConcurrencyLimitManyRouters = 2;
// The limit rises only while own calls are this close to it: else it was not tried.
constexpr int kLimitHeadroom = 2;
// Calls that a comparison of hosts adds to those in flight: with none, idle hosts of any weight would be
// equal.
constexpr int kBusynessOffset = 2;
// Factor by which the limit falls.
constexpr double kConcurrencyDecrease = 0.9;
// A host's stretch (run time over baseline) loses its meaning with this time constant.
constexpr Millis kStretchTimeConstant{2000};
// A stretch counts at most as this.
constexpr double kMaxStretch = 20;
// Stretch that a `full` answer counts as.
constexpr double kFullStretch = 6;
// A stretch above this says that the host's cores are oversubscribed.
constexpr double kCrowdedStretch = 2;
// Pause after a `full` answer and between two decreases of a limit: some service times.
constexpr Millis kFullBackoff{60};
// A host in another zone counts as this much busier.
constexpr double kRemoteZonePenalty = 1.15;
// Calls that a host serves at once until its reports tell: more of them wait.
constexpr double kDefaultConcurrency = 4;
// Reports of busier cores are not used to estimate the concurrency: they include calls that wait.
constexpr double kMaxSampledUtilisation = 0.75;
// Utilisation up to which no call waits for a core.
constexpr double kEasyUtilisation = 0.5;
// Reports that show more loads in progress than this are not used: their calls wait for a load.
constexpr double kMaxSampledLoads = 0.5;
// The number of calls that a host reported loses its meaning with this time constant.
constexpr Millis kReportTimeConstant{8000};

// ---- Outlier ejection and liveness ----------------------------------------------------------------------
// Shortest silence that counts as a stall; also the pause after a load order that failed.
constexpr Millis kSilence{400};
// An attempt in flight for this many usual run times counts as lost, if that is longer than kSilence.
constexpr double kSilentRuns = 6;
// First ejection, and the longest: each relapse doubles the time.
constexpr Millis kFirstEjection{1000};
constexpr Millis kMaxEjection{8000};
// With many routers an ejection is this many times longer: each router calls a host seldom.
constexpr double kEjectionFactorManyRouters = 3;
// Failure rate on one host that ejects it, on top of half the class's own failure rate.
constexpr double kEjectErrorRate = 0.5;
// A class that fails this often everywhere tells nothing about one host.
constexpr double kWideErrorRate = 0.2;
// A host that answered within this time is alive: two rounds of load reports.
constexpr Millis kAliveFor{1000};
// This many failed health checks in a row, without an answer in between, count as a loss.
constexpr int kMaxFailedProbes = 3;

// ---- Slow start (rule 4) --------------------------------------------------------------------------------
// Time constant of the rate of work served by warm hosts: some slow-start windows.
constexpr Millis kServedRateTimeConstant{4000};
// Part of the slow-start budget that is used: room for chance and for clocks that differ.
constexpr double kSlowStartSafety = 0.5;
// The budget saves up at most one part in so many of a slow-start window.
constexpr double kSlowStartSavedParts = 5;
// Before any answer, a latency objective is taken as this many times the work.
constexpr double kObjectiveOverWork = 4;

// ---- Warm instances and loads ---------------------------------------------------------------------------
// Memory of a function's arrivals: about a keep-alive.
constexpr Millis kDemandTimeConstant{10000};
// Arrivals are averaged over at least this time: the first second tells little.
constexpr Millis kMinDemandSpan{1000};
// Calls of one function at once that one host should serve.
constexpr double kCallsPerHost = 2;
// Agreed hosts of one function at most.
constexpr double kMaxAgreedHosts = 1000;
// Loads in progress at once, of this router: more make a slow store slower.
constexpr int kMaxLoadsInProgress = 6;
// A load this many times the usual is no longer waited for.
constexpr double kLoadPatience = 3;
// An order that was answered sooner found its instances warm: no load is so short.
constexpr Millis kWarmOrderTime{50};
// A host that answered "no instance" is not tried again before this time.
constexpr Millis kAbsentFor{1500};
// A function that meets this many own calls on a crowded host gets an instance on a further one.
constexpr double kCrowdedCalls = 0.5;
// Past this many times its agreed hosts (or hosts beyond them, when many routers share) a call does not
// spill.
constexpr int kSpill = 2;
// Cost of each further host of a function, and of a host that is not an agreed one, in calls that wait.
constexpr double kFurtherHostCost = 0.25;
constexpr double kUnagreedHostPenalty = 2;
// Score of a host that the request tried last, and of one that operators returned: higher is worse.
constexpr double kTriedHostFactor = 4;
constexpr double kReturnedHostFactor = 0.5;

// ---- Admission and classes ------------------------------------------------------------------------------
// A stretch up to this is chance: service times vary.
constexpr double kEasyStretch = 2;
// A late answer that is worth this part or more is waited for.
constexpr double kKeptLateWorth = 0.5;
// Least worth by which worths are compared.
constexpr double kMinWorth = 1e-9;
// "No limit" for the wait that a call accepts, in milliseconds.
constexpr double kUnlimitedWait = 1e9;
// With many routers a class's run time starts at this part of its objective, with the weight of so many
// samples.
constexpr int kObjectiveRuns = 5;
constexpr int kObjectiveSamples = 5;
// The estimate of the time that a client gives its first try follows at most so many calls.
constexpr int kFirstTryVotes = 30;

}  // namespace lotusyard::policy
