// Counters of failed system calls on sockets.
#pragma once

#include "metrics/counter.h"

namespace lotusyard::metrics {

inline constexpr Counter kNetConnectLocalResource{
    "net.connect.local_resource",
    "connects that failed for lack of descriptors, ports, memory or a route on this machine"};
inline constexpr Counter kNetConnectRefused{"net.connect.refused", "connects that the peer refused"};
inline constexpr Counter kNetConnectTimedOut{"net.connect.timed_out",
                                             "connects that timed out in the kernel"};
inline constexpr Counter kNetConnectUnreachable{"net.connect.unreachable",
                                                "connects to a peer that could not be reached"};
inline constexpr Counter kNetAcceptConnectionLost{
    "net.accept.connection_lost", "connections that ended before they were accepted; the next one was taken"};
inline constexpr Counter kNetAcceptLocalResource{
    "net.accept.local_resource",
    "times a listener was left alone for a moment, for lack of descriptors or memory"};
inline constexpr Counter kNetPollInterrupted{"net.poll.interrupted", "calls of poll(2) ended by EINTR"};
inline constexpr Counter kNetPollFailed{"net.poll.failed", "calls of poll(2) that failed otherwise"};
inline constexpr Counter kNetReceiveLocalResource{"net.receive.local_resource",
                                                  "reads that found no memory and were made again"};
inline constexpr Counter kNetReceiveConnectionLost{"net.receive.connection_lost",
                                                   "reads that ended their connection"};
inline constexpr Counter kNetSendLocalResource{"net.send.local_resource",
                                               "writes that found no memory and were made again"};
inline constexpr Counter kNetSendConnectionLost{"net.send.connection_lost",
                                                "writes that ended their connection"};

}  // namespace lotusyard::metrics
