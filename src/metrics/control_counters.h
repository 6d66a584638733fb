// Counters of control nodes, and of the sessions that invokers have with them.
#pragma once

#include "metrics/counter.h"

namespace lotusyard::metrics {

inline constexpr Counter kControlClosed{"control.closed", "sessions closed by their invoker"};
inline constexpr Counter kControlForwarded{"control.forwarded",
                                           "messages of sessions passed on to the replicated log"};
inline constexpr Counter kControlForwardsDropped{"control.forwards_dropped",
                                                 "messages of sessions dropped because there were too many"};
inline constexpr Counter kControlFuturePosition{
    "control.future_position", "connections closed: the invoker named a position that it was not sent"};
inline constexpr Counter kControlGranted{"control.granted", "leases granted"};
inline constexpr Counter kControlMalformed{"control.malformed",
                                           "connections closed because they cannot be understood"};
inline constexpr Counter kControlMalformedWords{
    "control.malformed_words", "messages of sessions that the replicated log did not accept"};
inline constexpr Counter kControlNoDescriptor{
    "control.no_descriptor", "times when no invoker could be accepted for lack of descriptors"};
inline constexpr Counter kControlNoOpen{"control.no_open",
                                        "connections closed because no session was opened in time"};
inline constexpr Counter kControlNotGranted{"control.not_granted", "renewals without a lease"};
inline constexpr Counter kControlOpened{"control.opened", "sessions opened"};
inline constexpr Counter kControlOverflowedLinks{"control.overflowed_links",
                                                 "connections closed because too much is unsent"};
inline constexpr LabelledCounter kControlRefused{"control.refused.", "sessions refused, by reason"};
inline constexpr Counter kControlReplicated{"control.replicated", "records replicated to this invoker"};
inline constexpr Counter kControlResumed{"control.resumed", "sessions resumed after a gap"};
inline constexpr Counter kControlSilentLinks{"control.silent_links",
                                             "connections closed because the invoker was silent"};
inline constexpr Counter kControlSnapshots{"control.snapshots", "snapshots sent"};
inline constexpr Counter kControlStalledLinks{"control.stalled_links",
                                              "connections closed because the invoker does not read"};
inline constexpr Counter kControlSuperseded{"control.superseded",
                                            "connections replaced by a newer one of the same session"};
inline constexpr Counter kControlTooManyLinks{"control.too_many_links",
                                              "connections closed because too many are open"};
inline constexpr Counter kControlUnreadable{"control.unreadable",
                                            "records of another version of the program"};
inline constexpr Counter kControlSessionAttempts{"control.session.attempts", "connects to control nodes"};
inline constexpr Counter kControlSessionDisconnected{"control.session.disconnected",
                                                     "connections that ended"};
inline constexpr Counter kControlSessionDuplicates{"control.session.duplicates", "changes received twice"};
inline constexpr Counter kControlSessionGapAgain{
    "control.session.gap_again", "connections closed because a second gap followed the first"};
inline constexpr Counter kControlSessionGaps{"control.session.gaps", "gaps in the changes received"};
inline constexpr Counter kControlSessionGrants{"control.session.grants", "leases received"};
inline constexpr Counter kControlSessionGrantsOfNothing{"control.session.grants_of_nothing",
                                                        "answers to renewals without a lease"};
inline constexpr Counter kControlSessionGrantsUnknown{"control.session.grants_unknown",
                                                      "answers to renewals that are not outstanding"};
inline constexpr Counter kControlSessionLeaseless{"control.session.leaseless",
                                                  "connections closed because the node grants no lease"};
inline constexpr Counter kControlSessionMalformed{"control.session.malformed",
                                                  "connections closed because the node cannot be understood"};
inline constexpr Counter kControlSessionOpened{"control.session.opened", "sessions opened"};
inline constexpr Counter kControlSessionRefused{"control.session.refused", "sessions refused"};
inline constexpr LabelledCounter kControlSessionRefusedBy{"control.session.refused.",
                                                          "sessions refused, by reason"};
inline constexpr Counter kControlSessionRenewals{"control.session.renewals", "renewals sent"};
inline constexpr Counter kControlSessionSilent{"control.session.silent",
                                               "connections closed because the node was silent"};
inline constexpr Counter kControlSessionTimedOut{"control.session.timed_out",
                                                 "connections that were not made or opened in time"};

}  // namespace lotusyard::metrics
