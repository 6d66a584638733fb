#include "amqp/front_end.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "amqp/delivery_parser.h"
#include "amqp/message_times.h"
#include "metrics/amqp_counters.h"

namespace lotusyard::amqp {

using core::Millis;
using idempotency::Decision;
using idempotency::ResultStage;
using policy::Semantics;

FrontEnd::FrontEnd(net::EventLoop& loop, net::BufferPool& pool, core::Dispatcher& dispatcher,
                   metrics::Counters& counters, const core::Settings& settings, Broker broker, Limits limits,
                   idempotency::ResultStore* store)
    : loop_(loop),
      dispatcher_(dispatcher),
      counters_(counters),
      settings_(settings),
      broker_(std::move(broker)),
      limits_(limits),
      delivery_cache_(limits.remembered, limits.remembered_bytes),
      recorder_(loop, store, limits.sole_consumer),
      connection_(loop, pool, counters, broker_, *this, settings.seed),
      publisher_(loop, counters, connection_, delivery_cache_, recorder_),
      refs_(settings.seed) {}

void FrontEnd::on_channel_open() {
  counters_.add(metrics::kAmqpUp);
  publisher_.resend();
}

// The broker redelivers unacknowledged messages, to this process or another one.
void FrontEnd::on_channel_closed(const CloseReason& reason) {
  counters_.add(metrics::kAmqpDown);
  publisher_.on_channel_closed();
  delivery_cache_.on_channel_closed();
  connection_.reconnect_later(reason);
}

void FrontEnd::on_confirmation(const Confirmation& confirmation) { publisher_.on_confirmation(confirmation); }

void FrontEnd::on_delivery(Delivery&& delivery) {
  const auto publication = publication_of(delivery.properties);
  if (!publication) {
    counters_.add(metrics::kAmqpUnanswerable);
    connection_.channel()->reject(delivery.tag);
    return;
  }
  const PendingDelivery pending{call_key(delivery.properties), delivery.tag, *publication,
                                delivery.redelivered};
  if (handle_by_cache(pending))
    return;
  auto parsed = parse_call(delivery, settings_, loop_.earliest_arrival());
  if (auto* call = std::get_if<core::Call>(&parsed))
    handle_call(std::move(*call), std::move(delivery), pending);
  else
    handle_malformed(delivery, pending);
}

bool FrontEnd::handle_by_cache(const PendingDelivery& pending) {
  CachedDelivery* const cached = delivery_cache_.find(pending.call_key);
  if (cached == nullptr)
    return false;
  const ReceivedPublication* const known = cached->find(pending.publication);
  if (pending.redelivered && known != nullptr && known->superseded) {
    connection_.channel()->acknowledge(pending.tag);  // its client has the answer: it has published again
    return true;
  }
  if (!cached->answer) {
    join_running_call(*cached, pending);
    return true;
  }
  idempotency::DeliveryFacts facts;
  facts.redelivered = pending.redelivered;
  facts.same_publication = known != nullptr && !known->acknowledged;
  const Decision decision = decide_by_answer(*cached, facts, limits_.sole_consumer);
  if (decision == Decision::run)
    return false;
  if (decision == Decision::fail_may_have_run) {
    fail_may_have_run(pending);
    return true;
  }
  counters_.add(metrics::kAmqpRemembered);
  publisher_.reply(pending);
  return true;
}

void FrontEnd::join_running_call(CachedDelivery& cached, const PendingDelivery& pending) {
  counters_.add(metrics::kAmqpJoined);
  const bool is_known = cached.find(pending.publication) != nullptr;
  if (pending.redelivered && !is_known && cached.non_idempotent && !limits_.sole_consumer)
    cached.may_have_run_elsewhere = true;
  cached.add(pending.publication);
  cached.waiters.push_back({pending.tag, pending.publication});
}

void FrontEnd::handle_call(core::Call&& call, Delivery&& delivery, const PendingDelivery& pending) {
  const policy::ClassSettings& call_class = *core::class_named(settings_, call.class_name);
  const bool non_idempotent = call_class.semantics == Semantics::non_idempotent;
  const auto max_age = age_at_most(delivery.properties, loop_.wall_time(call_class.key_window));
  // Whether the call may have run is decided before anything else could reject it.
  if (non_idempotent && recorder_.is_enabled()) {
    if (answer_by_record(pending, delivery))
      return;
  } else if (delivery.redelivered && may_have_run(call_class.semantics, max_age)) {
    return reject(pending, Rejection::may_have_run, non_idempotent);
  }
  const bool may_reject = !delivery.redelivered || is_retry_harmless(call_class, max_age);
  if (limit_timeout(delivery.properties, loop_.wall_time(), loop_.now() - call.arrived, call.timeout))
    return reject(pending, may_reject ? Rejection::expired : Rejection::may_have_run, non_idempotent);
  if (open_calls_.size() >= limits_.open_calls)
    return reject(pending, may_reject ? Rejection::too_many_open : Rejection::may_have_run, non_idempotent);
  if (call_class.semantics == Semantics::idempotent_with_key && delivery.redelivered)
    call.may_have_run_since = call.arrived - *max_age;
  call.body = std::move(delivery.body);
  begin_call(std::move(call), pending, non_idempotent);
}

// A call whose class is missing may have run while the class was configured.
void FrontEnd::handle_malformed(const Delivery& delivery, const PendingDelivery& pending) {
  const bool may_have_run = delivery.redelivered && may_be_non_idempotent(named_class(delivery, settings_));
  if (may_have_run && recorder_.is_enabled() && answer_by_record(pending, delivery))
    return;
  reject(pending, Rejection::malformed, may_have_run);
}

bool FrontEnd::answer_by_record(const PendingDelivery& pending, const Delivery& delivery) {
  RecordedDecision recorded = recorder_.decide(pending.call_key, delivery, pending.publication.address);
  switch (recorded.decision) {
    case Decision::run:
      return false;
    case Decision::fail_may_have_run:
      fail_may_have_run(pending);
      return true;
    case Decision::refuse_unrecorded:
      reject(pending, Rejection::unrecorded, true);
      return true;
    case Decision::answer:
      break;
  }
  counters_.add(metrics::kAmqpAnsweredFromStore);
  idempotency::ResultRecord& record = *recorded.record;
  CachedDelivery& cached = delivery_cache_.insert(pending.call_key, true, pending.publication);
  cached.find(pending.publication)->confirmed =
      record.stage == ResultStage::confirmed && record.address == pending.publication.address.text();
  delivery_cache_.complete(pending.call_key, std::move(record.answer));
  publisher_.reply(pending);
  return true;
}

void FrontEnd::begin_call(core::Call&& call, const PendingDelivery& pending, bool non_idempotent) {
  // Hosts require a reference of 16 hexadecimal digits that no other open call has; a message id may be
  // anything.
  call.ref = refs_.next();
  CachedDelivery& cached = delivery_cache_.insert(pending.call_key, non_idempotent, pending.publication);
  cached.waiters.push_back({pending.tag, pending.publication});
  const core::CallId id = dispatcher_.allocate_call_id();
  open_calls_[id] = {pending.call_key, non_idempotent, false};
  const auto rejection = dispatcher_.admit(id, std::move(call), *this);
  if (rejection)
    answer(id, core::Answer());
}

void FrontEnd::reject(const PendingDelivery& pending, Rejection rejection, bool non_idempotent) {
  const RejectionResult result = result_of(rejection);
  counters_.add(result.counter);
  delivery_cache_.insert(pending.call_key, non_idempotent, pending.publication);
  delivery_cache_.complete(pending.call_key, {result.status, Millis(0), {}});
  publisher_.reply(pending);
}

void FrontEnd::fail_may_have_run(const PendingDelivery& pending) {
  recorder_.replace_rejection(pending.call_key, core::Answer());
  reject(pending, Rejection::may_have_run, true);
}

FrontEnd::OpenCall* FrontEnd::find_open_call(core::CallId call) {
  const auto found = open_calls_.find(call);
  return found == open_calls_.end() ? nullptr : &found->second;
}

bool FrontEnd::before_attempt(core::CallId call) {
  OpenCall* const open = find_open_call(call);
  if (!recorder_.is_enabled() || open == nullptr || !open->non_idempotent)
    return true;
  if (!recorder_.record(open->call_key, ResultStage::sent, core::Answer()))
    return false;
  open->recorded = true;
  return true;
}

void FrontEnd::proved_not_run(core::CallId call) {
  const OpenCall* const open = find_open_call(call);
  if (open == nullptr || !open->recorded)
    return;
  // If this is not stored the call counts as one that may have run, which is safe.
  recorder_.record(open->call_key, ResultStage::cleared, core::Answer());
}

// With its connection a delivery returns to its queue, and may be delivered to another consumer: no attempt
// starts until it is delivered to this process again.
core::FrontEnd::ClientState FrontEnd::client_state(core::CallId call, core::Millis) {
  const OpenCall* const open = find_open_call(call);
  if (open == nullptr)
    return ClientState::disconnected;
  const bool is_connected = connection_.is_connected();
  const CachedDelivery* const cached = delivery_cache_.find(open->call_key);
  const bool has_waiters = cached != nullptr && !cached->waiters.empty();
  return is_connected && has_waiters ? ClientState::waiting : ClientState::has_unread_input;
}

void FrontEnd::answer(core::CallId call, core::Answer&& answer) {
  const auto found = open_calls_.find(call);
  if (found == open_calls_.end())
    return;
  const OpenCall open = std::move(found->second);
  open_calls_.erase(found);
  CachedDelivery* const cached = delivery_cache_.find(open.call_key);
  if (cached != nullptr && cached->may_have_run_elsewhere && answer.status == core::CallStatus::rejected)
    answer = core::Answer();
  // Recorded before it is published: an answer that the broker holds must be in the store too.
  if (open.recorded)
    recorder_.record(open.call_key, ResultStage::answered, answer);
  if (cached == nullptr)
    return;
  const auto waiters = std::exchange(cached->waiters, {});
  delivery_cache_.complete(open.call_key, std::move(answer));
  if (waiters.empty())
    counters_.add(metrics::kAmqpAnswersKept);  // until the message is delivered again
  for (const WaitingDelivery& waiter : waiters)
    publisher_.reply({open.call_key, waiter.tag, waiter.publication, true});
}

}  // namespace lotusyard::amqp
