#include "amqp/delivery_cache.h"

#include <algorithm>
#include <utility>

namespace lotusyard::amqp {
namespace {

// The estimated memory of an entry besides its key and body.
constexpr std::size_t kEntryBytes = 1024;
// The key is held by the map and by the list.
constexpr std::size_t kKeyCopies = 2;
// Publications known of one call; messages are seldom published again more often.
constexpr std::size_t kMaxPublications = 8;

std::size_t size_of(const std::string& call_key, const core::Answer& answer) {
  return kEntryBytes + kKeyCopies * call_key.size() + answer.body.size();
}

}  // namespace

ReceivedPublication* CachedDelivery::find(const Publication& publication) {
  const auto found = std::find_if(publications.begin(), publications.end(),
                                  [&](const auto& received) { return received.publication == publication; });
  return found == publications.end() ? nullptr : &*found;
}

ReceivedPublication& CachedDelivery::add(const Publication& publication) {
  if (ReceivedPublication* known = find(publication))
    return *known;
  if (publications.size() >= kMaxPublications)
    publications.erase(publications.begin());
  return publications.emplace_back(ReceivedPublication{publication});
}

CachedDelivery* DeliveryCache::find(const std::string& call_key) {
  const auto found = entries_.find(call_key);
  return found == entries_.end() ? nullptr : &found->second.delivery;
}

CachedDelivery& DeliveryCache::insert(const std::string& call_key, bool non_idempotent,
                                      const Publication& publication) {
  std::vector<ReceivedPublication> superseded = take_rejected_publications(call_key);
  erase(call_key);
  CachedDelivery& delivery = entries_[call_key].delivery;
  delivery.non_idempotent = non_idempotent;
  delivery.publications = std::move(superseded);
  delivery.add(publication) = {publication};
  return delivery;
}

std::vector<ReceivedPublication> DeliveryCache::take_rejected_publications(const std::string& call_key) {
  CachedDelivery* const earlier = find(call_key);
  if (earlier == nullptr || !earlier->answer || earlier->answer->status != core::CallStatus::rejected)
    return {};
  for (auto& received : earlier->publications)
    received.superseded = true;
  return std::exchange(earlier->publications, {});
}

void DeliveryCache::complete(const std::string& call_key, core::Answer&& answer) {
  const auto found = entries_.find(call_key);
  if (found == entries_.end() || found->second.delivery.answer)
    return;
  bytes_ += size_of(call_key, answer);
  found->second.delivery.answer = std::make_shared<const core::Answer>(std::move(answer));
  found->second.completed_position = completed_.insert(completed_.end(), call_key);
  while (is_over_limit())
    erase(std::string(completed_.front()));
}

// The newest answer is never evicted: its waiters have not been answered yet.
bool DeliveryCache::is_over_limit() const {
  return completed_.size() > 1 && (completed_.size() > max_answers_ || bytes_ > max_bytes_);
}

void DeliveryCache::erase(const std::string& call_key) {
  const auto found = entries_.find(call_key);
  if (found == entries_.end())
    return;
  if (const auto& answer = found->second.delivery.answer) {
    bytes_ -= size_of(call_key, *answer);
    completed_.erase(found->second.completed_position);
  }
  entries_.erase(found);
}

void DeliveryCache::on_channel_closed() {
  for (auto& [call_key, entry] : entries_) {
    entry.delivery.waiters.clear();
    for (auto& received : entry.delivery.publications)
      received.acknowledged = false;
  }
}

}  // namespace lotusyard::amqp
