// Counters of the RESP front end and the admin endpoint.
#pragma once

#include "metrics/counter.h"

namespace lotusyard::metrics {

inline constexpr Counter kRespConnections{"resp.connections", "connections accepted"};
inline constexpr Counter kRespCancels{"resp.cancels", "CANCEL commands"};
inline constexpr Counter kRespTakenBack{"resp.taken_back",
                                        "calls cancelled in the bytes they came with; never admitted"};
inline constexpr Counter kRespBadCall{"resp.bad_call", "calls rejected: wrong number of words"};
inline constexpr Counter kRespBadFields{"resp.bad_fields", "calls rejected: fields missing or unreadable"};
inline constexpr Counter kRespNoMemory{"resp.no_memory", "calls rejected: bodies hold too much memory"};
inline constexpr Counter kRespNotTaken{"resp.not_taken",
                                       "calls rejected by the core; the reason is in calls.*"};
inline constexpr Counter kRespTooManyOpen{"resp.too_many_open",
                                          "calls rejected: too many open on their connection"};
inline constexpr Counter kRespHandedOver{"resp.handed_over",
                                         "calls rejected because another process takes over"};
inline constexpr Counter kRespRefusedAtEnd{"resp.refused_at_end",
                                           "calls rejected on a connection that is about to be closed"};
inline constexpr Counter kRespNoTag{"resp.no_tag", "commands without a tag, which cannot be answered"};
inline constexpr Counter kRespTagRepeated{"resp.tag_repeated",
                                          "calls under the tag of an open call, which cannot be answered"};
inline constexpr Counter kRespUnknownVerb{"resp.unknown_verb", "commands of an unknown name"};
inline constexpr Counter kRespFaultsClosed{"resp.faults_closed",
                                           "connections closed after too many faulty calls"};
inline constexpr Counter kRespHalfRequest{"resp.half_request",
                                          "connections closed because a request was not whole in time"};
inline constexpr Counter kRespIdleClosed{"resp.idle_closed",
                                         "idle connections closed to make room for another"};
inline constexpr Counter kRespMalformed{"resp.malformed", "connections closed because they cannot be parsed"};
inline constexpr Counter kRespNoDescriptor{
    "resp.no_descriptor", "times when no connection could be accepted for lack of descriptors"};
inline constexpr Counter kRespNoPlace{"resp.no_place",
                                      "connections closed because the limit on clients is reached"};
inline constexpr Counter kRespNoRequest{"resp.no_request",
                                        "connections closed because no request came in time"};
inline constexpr Counter kRespSilentClosed{"resp.silent_closed",
                                           "new connections closed unread because no place was left"};
inline constexpr Counter kRespUnreadClosed{"resp.unread_closed",
                                           "connections closed because the client did not read its answers"};
inline constexpr Counter kConsoleCalls{"console.calls", "requests to the admin endpoint"};
inline constexpr Counter kConsoleConnections{"console.connections", "connections to the admin endpoint"};
inline constexpr Counter kConsoleNoDescriptor{
    "console.no_descriptor", "times when the admin endpoint could not accept for lack of descriptors"};
inline constexpr LabelledCounter kConsoleFaulty{"console.faulty.",
                                                "faulty requests to the admin endpoint, by HTTP status"};
inline constexpr LabelledCounter kConsoleDisable{"console.disable.", "requests to disable a host, by result"};
inline constexpr LabelledCounter kConsoleEnable{"console.enable.", "requests to enable a host, by result"};

}  // namespace lotusyard::metrics
