// Counters of the connections to hosts, and of the endpoint lists.
#pragma once

#include "metrics/counter.h"

namespace lotusyard::metrics {

inline constexpr LabelledCounter kHostsAnswers{"hosts.answers.",
                                               "answers to attempts, by the word of the host"};
inline constexpr Counter kHostsConnectFailed{"hosts.connect_failed", "connects that failed at once"};
inline constexpr Counter kHostsConnectTimeouts{"hosts.connect_timeouts",
                                               "connects that were not made in time"};
inline constexpr Counter kHostsCutAnswers{"hosts.cut_answers",
                                          "connections closed because the rest of an answer did not come"};
inline constexpr Counter kHostsCutLinks{
    "hosts.cut_links", "connections closed because their host must get nothing that is unsent"};
inline constexpr Counter kHostsLateAnswers{"hosts.late_answers",
                                           "answers to attempts that had been cancelled"};
inline constexpr Counter kHostsLinksEnded{"hosts.links_ended", "connections that ended"};
inline constexpr Counter kHostsLinksOpened{"hosts.links_opened", "connections begun"};
inline constexpr Counter kHostsLinksUp{"hosts.links_up", "connections made"};
inline constexpr Counter kHostsLivenessProbes{"hosts.liveness_probes",
                                              "questions to hosts whose connection was silent"};
inline constexpr Counter kHostsMalformed{"hosts.malformed",
                                         "connections closed because a host could not be understood"};
inline constexpr Counter kHostsNoLink{"hosts.no_link",
                                      "sends that found all connections busy and the limit reached"};
inline constexpr Counter kHostsNoMemory{"hosts.no_memory",
                                        "connections closed because incoming answers took too much memory"};
inline constexpr Counter kHostsSilentLinks{"hosts.silent_links",
                                           "connections closed because a liveness probe was not answered"};
inline constexpr Counter kHostsStuckCalls{
    "hosts.stuck_calls", "connections closed because the kernel did not take the rest of a call"};
inline constexpr Counter kHostsSurplusAnswers{
    "hosts.surplus_answers", "answers that belong to nothing; their connection gets nothing new"};
inline constexpr Counter kHostsWaitsEnded{"hosts.waits_ended",
                                          "sends that waited for a connection and never went out"};
inline constexpr Counter kHostsWaitsForConnection{
    "hosts.waits_for_connection", "sends that had to wait until this machine can make connections again"};
inline constexpr Counter kHostsEndedRefs{
    "hosts.ended_refs", "refs of ended attempts that are remembered for late answers, when it is printed"};
inline constexpr Counter kHostsReadinessChecks{"hosts.readiness_checks",
                                               "health checks of hosts that were not known to take new work"};
inline constexpr Counter kHostsReadinessUnanswered{"hosts.readiness_unanswered",
                                                   "health checks that got no answer in time"};
inline constexpr Counter kHostsReadinessUnhealthy{
    "hosts.readiness_unhealthy", "health checks that a host answered with being unhealthy: it drains"};
inline constexpr Counter kHostsStandbyConnections{
    "hosts.standby_connections", "connections opened while the endpoint list could not be confirmed"};
inline constexpr LabelledCounter kHostsWithheld{
    "hosts.withheld.", "calls and loads not sent, by why their host was not known to take new work"};
inline constexpr Counter kHostsWithdrawn{"hosts.withdrawn", "sends withdrawn right before the write"};
inline constexpr Counter kEndpointsListExpired{"endpoints.list_expired",
                                               "times that the endpoint list was not confirmed for too long"};
inline constexpr Counter kEndpointsListAge{
    "endpoints.list_age_ms", "milliseconds since the endpoint list was confirmed, when it is printed"};
inline constexpr Counter kFeedConfirmations{
    "feed.confirmations", "heartbeats that confirmed that no event of the discovery stream is missing"};
inline constexpr Counter kFeedConnections{"feed.connections", "connections made to the discovery stream"};
inline constexpr Counter kFeedEvents{"feed.events", "events taken from the discovery stream"};
inline constexpr Counter kFeedMalformedOrGap{
    "feed.malformed_or_gap", "connections to the discovery stream closed for what came over them"};
inline constexpr Counter kFeedMoves{"feed.moves", "changes of the address of the discovery stream"};
inline constexpr Counter kFeedQuiet{"feed.quiet",
                                    "connections to the discovery stream closed because they were silent"};
inline constexpr Counter kXdsLists{"xds.lists", "endpoint lists taken from the xDS file"};
inline constexpr Counter kXdsRejected{"xds.rejected",
                                      "xDS files that were rejected; the hosts stayed as they were"};

}  // namespace lotusyard::metrics
