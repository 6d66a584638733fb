// Counters of calls, attempts and the process itself.
#pragma once

#include "metrics/counter.h"

namespace lotusyard::metrics {

inline constexpr Counter kCallsTaken{"calls.taken", "calls admitted"};
inline constexpr Counter kCallsServed{"calls.served", "calls that ended with an answer of a host"};
inline constexpr Counter kCallsRefused{"calls.refused",
                                       "calls that ended rejected: none of their attempts ran"};
inline constexpr Counter kCallsRefusedListExpired{
    "calls.refused_list_expired", "calls that ended rejected while the endpoint list was not confirmed"};
inline constexpr Counter kCallsFailed{"calls.failed", "calls that ended failed: an attempt may have run"};
inline constexpr Counter kCallsLeft{"calls.left", "calls whose client cancelled or disconnected"};
inline constexpr Counter kCallsOverdue{
    "calls.overdue", "calls that the core ended because the policy had not, past their deadline"};
inline constexpr Counter kCallsUnknownClass{"calls.unknown_class",
                                            "calls not admitted: the settings have no such class"};
inline constexpr Counter kCallsNoKey{"calls.no_key",
                                     "calls not admitted: their class needs an idempotency key"};
inline constexpr Counter kCallsBadKey{"calls.bad_key",
                                      "calls not admitted: the idempotency key cannot be sent on"};
inline constexpr Counter kCallsUnknownTenant{"calls.unknown_tenant",
                                             "calls not admitted: the settings have no such tenant"};
inline constexpr Counter kCallsBadFigures{"calls.bad_figures",
                                          "calls not admitted: memory, lanes or time-out out of range"};
inline constexpr Counter kCallsRefRepeated{"calls.ref_repeated",
                                           "calls not admitted: another call has or had the same ref"};
inline constexpr Counter kCallsKeyOfAnother{
    "calls.key_of_another", "calls not admitted: the idempotency key belongs to another request"};
inline constexpr Counter kCallsKeyWindowOver{
    "calls.key_window_over", "calls not admitted: hosts may have forgotten the idempotency key"};
inline constexpr Counter kCallsKeysFull{"calls.keys_full",
                                        "calls not admitted: too many idempotency keys are remembered"};
inline constexpr Counter kAttemptsSent{"attempts.sent",
                                       "first attempts, and retries with no other attempt in flight"};
inline constexpr Counter kAttemptsSecond{"attempts.second", "hedged requests"};
inline constexpr Counter kAttemptsCancelled{"attempts.cancelled", "attempts that the policy cancelled"};
inline constexpr Counter kAttemptsTimedOut{"attempts.timed_out",
                                           "attempts without an answer within their time-out"};
inline constexpr Counter kAttemptsWithheld{"attempts.withheld",
                                           "attempts that could not be recorded durably and were not sent"};
inline constexpr Counter kAttemptsCallerGone{"attempts.caller_gone",
                                             "attempts not sent because the client was found to be gone"};
inline constexpr Counter kOrdersSent{"orders.sent", "load orders"};
inline constexpr Counter kGuardSendStopped{
    "guard.send_stopped", "attempts of the policy that broke a rule and were stopped; 0 when all is well"};
inline constexpr Counter kGuardHostNotReady{
    "guard.host_not_ready", "sends to a host that may not be used, stopped; 0 when all is well"};
inline constexpr Counter kFunctionsKnown{"functions.known",
                                         "functions in the table of the policy, when it is printed"};
inline constexpr Counter kFunctionsBytes{"functions.bytes", "bytes of that table, when it is printed"};
inline constexpr Counter kFunctionsEvicted{
    "functions.evicted", "functions that were dropped because that table was full; 0 when all is well"};
inline constexpr Counter kKeysKnown{"keys.known", "idempotency keys that are remembered, when it is printed"};
inline constexpr Counter kKeysBytes{"keys.bytes", "bytes of those keys, when it is printed"};
inline constexpr Counter kConfigReread{"config.reread",
                                       "configurations that SIGHUP had read and that were applied"};
inline constexpr Counter kConfigFaulty{"config.faulty",
                                       "configurations that SIGHUP had read and that were faulty"};
inline constexpr Counter kMembershipNotRead{"membership.not_read",
                                            "failed reads of the list of hosts that operators disabled"};
inline constexpr Counter kTakeoverChanges{"takeover.changes",
                                          "changes of role beside another process of the same invoker"};

}  // namespace lotusyard::metrics
