// Counters of the cluster program: the replicated log and its state machines, gossip, certificates.
#pragma once

#include "metrics/counter.h"

namespace lotusyard::metrics {

inline constexpr Counter kGroupFailed{"group.failed",
                                      "failures after which this replica takes no part any more"};
inline constexpr Counter kGroupIdsEnded{"group.ids_ended",
                                        "replica ids that ended because their process came with a newer one"};
inline constexpr Counter kGroupLeftOut{"group.left_out", "messages dropped because the peer does not read"};
inline constexpr Counter kGroupLinksEnded{"group.links_ended", "connections to peers that ended"};
inline constexpr Counter kGroupLinksOpened{"group.links_opened", "connections to peers begun"};
inline constexpr Counter kGroupMalformed{"group.malformed",
                                         "messages and connections of peers that could not be understood"};
inline constexpr Counter kGroupNoDescriptor{"group.no_descriptor",
                                            "times when no peer could be accepted for lack of descriptors"};
inline constexpr Counter kGroupNoHello{"group.no_hello",
                                       "connections closed because the peer did not introduce itself"};
inline constexpr Counter kGroupRefused{"group.refused", "peers turned away, by their greeting"};
inline constexpr Counter kGroupSent{"group.sent", "messages sent to peers"};
inline constexpr LabelledCounter kGroupStore{"group.store_", "failed operations of the log store, by kind"};
inline constexpr Counter kGroupStoreRecovered{"group.store_recovered", "recoveries of the log store"};
inline constexpr Counter kGroupStoreUnread{"group.store_unread",
                                           "times when the size of the log store could not be read"};
inline constexpr Counter kGroupStrangers{"group.strangers",
                                         "messages of a replica that is not a member, or for another one"};
inline constexpr Counter kGroupTooLong{"group.too_long", "messages dropped because they are too long"};
inline constexpr Counter kGroupTooManyLinks{"group.too_many_links",
                                            "peers turned away because too many are connected"};
inline constexpr Counter kGroupTurnedAway{"group.turned_away",
                                          "connections on which a peer turned this replica away"};
inline constexpr Counter kGroupUnheardLinks{"group.unheard_links",
                                            "connections closed because the peer did not acknowledge"};
inline constexpr Counter kGroupUnknownEntries{
    "group.unknown_entries", "log entries of a state machine that this program does not have"};
inline constexpr Counter kWorksEntries{"works.entries", "log entries of maintenance applied"};
inline constexpr Counter kWorksLeases{"works.leases", "leases obtained"};
inline constexpr Counter kWorksLeasesOver{"works.leases_over", "leases that ended"};
inline constexpr Counter kWorksLivesPassed{"works.lives_passed",
                                           "incarnations begun because a newer one of this member was known"};
inline constexpr Counter kWorksMalformed{"works.malformed",
                                         "messages to the leader that could not be understood"};
inline constexpr Counter kWorksNoLeader{"works.no_leader", "messages dropped because no leader is known"};
inline constexpr Counter kWorksNotProposed{"works.not_proposed", "entries that could not be proposed"};
inline constexpr Counter kWorksTooLong{"works.too_long",
                                       "heartbeats dropped because their entry would be too long"};
inline constexpr Counter kWorksUnreadable{"works.unreadable",
                                          "log entries of another version of the program"};
inline constexpr Counter kViewHeard{"view.heard", "gossip messages received"};
inline constexpr Counter kViewSent{"view.sent", "gossip messages sent"};
inline constexpr Counter kViewNotSent{"view.not_sent", "gossip messages that could not be sent"};
inline constexpr Counter kViewMalformed{"view.malformed", "gossip messages that could not be understood"};
inline constexpr LabelledCounter kViewStatus{"view.", "changes of a member, by its new status"};
inline constexpr Counter kSharesMalformed{"shares.malformed",
                                          "messages of the slow-start quota; none is expected"};
inline constexpr Counter kSharesOpened{"shares.opened", "epochs of the slow-start quota opened"};
inline constexpr Counter kSharesParted{"shares.parted", "epochs of the slow-start quota begun"};
inline constexpr Counter kSharesUnreadable{"shares.unreadable",
                                           "log entries of the quota of another version of the program"};
inline constexpr Counter kComplianceMalformed{"compliance.malformed",
                                              "messages about certificates that could not be understood"};
inline constexpr LabelledCounter kComplianceRefused{
    "compliance.refused.", "calls rejected because no host is certified for them, by reason"};
inline constexpr Counter kComplianceRevoked{"compliance.revoked", "revocations"};
inline constexpr LabelledCounter kComplianceStopped{"compliance.stopped.",
                                                    "sends stopped right before the write, by reason"};
inline constexpr Counter kComplianceUnreadable{
    "compliance.unreadable", "log entries about certificates of another version of the program"};

}  // namespace lotusyard::metrics
