#include "amqp/result_recorder.h"

namespace lotusyard::amqp {
namespace {

using core::Millis;
using idempotency::ResultStage;

constexpr Millis kPruneInterval{10000};
constexpr double kMillisPerSecond = 1000;

idempotency::DeliveryFacts facts_of(const Delivery& delivery) {
  idempotency::DeliveryFacts facts;
  facts.redelivered = delivery.redelivered;
  if (const auto& timestamp = delivery.properties.timestamp)
    facts.published = Millis(static_cast<double>(*timestamp) * kMillisPerSecond);
  return facts;
}

}  // namespace

ResultRecorder::ResultRecorder(net::EventLoop& loop, idempotency::ResultStore* store, bool sole_consumer)
    : loop_(loop), store_(store), sole_consumer_(sole_consumer) {
  if (is_enabled())
    prune();
}

void ResultRecorder::prune() {
  store_->prune(loop_.now());
  prune_timer_ = loop_.schedule_at(loop_.now() + kPruneInterval, [this] { prune(); });
}

RecordedDecision ResultRecorder::decide(const std::string& call_key, const Delivery& delivery,
                                        const ReplyAddress& address) {
  RecordedDecision out;
  idempotency::StoreTrust trust;
  trust.healthy = store_->find(call_key, out.record);
  trust.sole_consumer = sole_consumer_;
  trust.complete_from = store_->complete_from();
  trust.now = loop_.now();
  idempotency::DeliveryFacts facts = facts_of(delivery);
  facts.same_publication =
      out.record && out.record->stage == ResultStage::confirmed && out.record->address == address.text();
  out.decision = idempotency::decide(out.record, facts, trust);
  return out;
}

bool ResultRecorder::record(const std::string& call_key, ResultStage stage, const core::Answer& answer) {
  idempotency::ResultRecord record;
  record.stage = stage;
  record.answer = answer;
  record.updated_at = loop_.now();
  return store_->put(call_key, record);
}

void ResultRecorder::replace_rejection(const std::string& call_key, const core::Answer& answer) {
  std::optional<idempotency::ResultRecord> known;
  if (!is_enabled() || !store_->find(call_key, known) || !known || !idempotency::proves_not_run(*known))
    return;
  // If this is not stored, a redelivery is decided in the same way again.
  record(call_key, ResultStage::answered, answer);
}

void ResultRecorder::record_answer_confirmed(const std::string& call_key, const ReplyAddress& address) {
  if (!is_enabled())
    return;
  std::optional<idempotency::ResultRecord> record;
  if (!store_->find(call_key, record) || !record || record->stage < ResultStage::answered)
    return;
  record->stage = ResultStage::confirmed;
  record->updated_at = loop_.now();
  record->address = address.text();
  // A failure is harmless: the answer is published once more if its message is delivered again.
  store_->put(call_key, *record);
}

}  // namespace lotusyard::amqp
