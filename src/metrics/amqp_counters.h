// Counters of the AMQP triggers and the durable results.
#pragma once

#include "metrics/counter.h"

namespace lotusyard::metrics {

inline constexpr Counter kAmqpUp{"amqp.up", "connections to a broker that came up"};
inline constexpr Counter kAmqpDown{"amqp.down", "connections to a broker that ended"};
inline constexpr Counter kAmqpRefused{
    "amqp.refused", "ends after which an operator has to act; the reason is on standard error"};
inline constexpr LabelledCounter kAmqpClosed{"amqp.closed.",
                                             "connections and channels closed by the broker, by its code"};
inline constexpr Counter kAmqpChannelClosed{"amqp.channel_closed", "channels closed by the broker"};
inline constexpr Counter kAmqpConnectionClosed{"amqp.connection_closed", "connections closed by the broker"};
inline constexpr Counter kAmqpContentBrokenOff{"amqp.content_broken_off",
                                               "connections closed: the content of a message was cut off"};
inline constexpr Counter kAmqpFramesTooSmall{
    "amqp.frames_too_small", "connections closed: the broker allows frames under the least size"};
inline constexpr Counter kAmqpMalformed{"amqp.malformed",
                                        "connections closed: a frame could not be understood"};
inline constexpr Counter kAmqpNoPlainLogin{"amqp.no_plain_login",
                                           "connections closed: the broker does not offer PLAIN"};
inline constexpr Counter kAmqpOutOfOrder{"amqp.out_of_order",
                                         "connections closed: a method came out of order"};
inline constexpr Counter kAmqpQuiet{"amqp.quiet", "connections closed: no heartbeat came"};
inline constexpr Counter kAmqpSetupLate{"amqp.setup_late", "connections closed: the handshake took too long"};
inline constexpr Counter kAmqpStrayContent{"amqp.stray_content",
                                           "connections closed: content without a delivery"};
inline constexpr Counter kAmqpUnknownChannel{"amqp.unknown_channel",
                                             "connections closed: a frame for a channel that is not open"};
inline constexpr Counter kAmqpUnknownMethod{"amqp.unknown_method",
                                            "connections closed: a method that is not known"};
inline constexpr Counter kAmqpBlocked{"amqp.blocked", "times when the broker blocked the connection"};
inline constexpr Counter kAmqpConsumerCancelled{"amqp.consumer_cancelled",
                                                "consumers cancelled by the broker"};
inline constexpr Counter kAmqpDeliveries{"amqp.deliveries", "deliveries"};
inline constexpr Counter kAmqpAcked{"amqp.acked", "deliveries acknowledged"};
inline constexpr Counter kAmqpRejected{"amqp.rejected", "deliveries rejected without a requeue"};
inline constexpr Counter kAmqpUnanswerable{"amqp.unanswerable", "deliveries rejected: no reply address"};
inline constexpr Counter kAmqpJoined{"amqp.joined", "deliveries of a call that was running"};
inline constexpr Counter kAmqpRemembered{"amqp.remembered", "deliveries answered from memory"};
inline constexpr Counter kAmqpAnsweredFromStore{"amqp.answered_from_store",
                                                "deliveries answered from the durable store"};
inline constexpr Counter kAmqpBadCall{"amqp.bad_call", "calls failed: headers missing or unreadable"};
inline constexpr Counter kAmqpExpired{"amqp.expired", "calls rejected: their time had run out in the queue"};
inline constexpr Counter kAmqpMayHaveRun{"amqp.may_have_run",
                                         "redelivered calls failed: an earlier delivery may have run"};
inline constexpr Counter kAmqpTooManyOpen{"amqp.too_many_open", "calls rejected: too many are running"};
inline constexpr Counter kAmqpUnrecorded{"amqp.unrecorded",
                                         "calls rejected: the durable store cannot record them"};
inline constexpr Counter kAmqpPublished{"amqp.published", "answers published"};
inline constexpr Counter kAmqpNacked{"amqp.nacked", "answers that the broker did not take; published again"};
inline constexpr Counter kAmqpAnswersKept{"amqp.answers_kept",
                                          "answers kept until their delivery comes again"};
inline constexpr Counter kAmqpAnswersReturned{"amqp.answers_returned",
                                              "answers returned because nobody holds the reply queue"};
inline constexpr Counter kAnswersGuardStage{
    "answers.guard_stage", "records not written because their stage does not follow the stored one"};
inline constexpr Counter kAnswersPruned{"answers.pruned", "prunings of old records"};
inline constexpr LabelledCounter kAnswersStore{"answers.store_",
                                               "failed operations of the durable store, by kind"};
inline constexpr Counter kAnswersStoreBound{"answers.store_bound",
                                            "records not written because the store is at its limit"};
inline constexpr Counter kAnswersWritten{"answers.written", "records written"};

}  // namespace lotusyard::metrics
