#include "amqp/memory.h"

namespace lotusyard::amqp {
namespace {

constexpr std::size_t kEntryBytes = 512;  // about what an entry takes beside its texts

}  // namespace

std::size_t Memory::cost(const std::string& id, const core::Answer& answer) {
  return kEntryBytes + 2 * id.size() + answer.body.size();
}

Remembered* Memory::find(const std::string& id) {
  const auto found = entries_.find(id);
  return found == entries_.end() ? nullptr : &found->second.remembered;
}

Remembered& Memory::begin(const std::string& id, bool once) {
  forget(id);
  Entry& entry = entries_[id];
  entry.remembered.once = once;
  return entry.remembered;
}

void Memory::end(const std::string& id, core::Answer&& answer) {
  const auto found = entries_.find(id);
  if (found == entries_.end() || found->second.remembered.answer)
    return;
  bytes_ += cost(id, answer);
  found->second.remembered.answer = std::make_shared<const core::Answer>(std::move(answer));
  found->second.place = ended_.insert(ended_.end(), id);
  // The one that has just ended stays in any case: its waiters are yet to be answered.
  while (ended_.size() > 1 && (ended_.size() > most_ || bytes_ > most_bytes_))
    forget(std::string(ended_.front()));
}

void Memory::forget(const std::string& id) {
  const auto found = entries_.find(id);
  if (found == entries_.end())
    return;
  if (found->second.remembered.answer) {
    bytes_ -= cost(id, *found->second.remembered.answer);
    ended_.erase(found->second.place);
  }
  entries_.erase(found);
}

void Memory::forget_waiters() {
  for (auto& [id, entry] : entries_)
    entry.remembered.waiters.clear();
}

}  // namespace lotusyard::amqp
