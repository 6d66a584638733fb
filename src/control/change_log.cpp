#include "control/change_log.h"

#include <algorithm>

#include "control/message_codec.h"

namespace lotusyard::control {

void ChangeLog::reset(Index index, Records records) {
  records_ = std::move(records);
  applied_ = index;
  restart_at(index);
}

void ChangeLog::append(Index index, const Change& change) {
  if (index <= applied_)
    return;
  applied_ = index;
  if (change.empty())
    return;
  apply(records_, change);
  std::string encoded = encode_change(change);
  if (encoded.size() > kMaxChangeBytes) {
    restart_at(index);
    return;
  }
  const Index after = entries_.empty() ? first_ : entries_.back().index;
  entries_.push_back({after, index, encode(Delta{after, index, std::move(encoded)})});
  const std::size_t size = entries_.back().frame.size();
  bytes_ += size;
  bytes_since_snapshot_ += size;
  ++changes_since_snapshot_;
  trim();
}

const ChangeLog::Entry* ChangeLog::next_after(Index position) const {
  const auto is_before = [](Index wanted, const Entry& entry) { return wanted < entry.index; };
  const auto found = std::upper_bound(entries_.begin(), entries_.end(), position, is_before);
  return found == entries_.end() ? nullptr : &*found;
}

Index ChangeLog::covered(Index position) const {
  if (position < first_ || position > applied_)
    return position;
  const Entry* next = next_after(position);
  return next == nullptr ? applied_ : next->index - 1;
}

std::shared_ptr<const ChangeLog::Snapshot> ChangeLog::snapshot() {
  if (!is_snapshot_usable()) {
    snapshot_ = std::make_shared<const Snapshot>(Snapshot{applied_, encode_records(records_)});
    changes_since_snapshot_ = 0;
    bytes_since_snapshot_ = 0;
  }
  return snapshot_;
}

// The changes after it must also remain in the log for a while.
bool ChangeLog::is_snapshot_usable() const {
  if (snapshot_ == nullptr || snapshot_->index == 0)
    return false;
  if (changes_since_snapshot_ == 0)
    return true;
  const bool is_log_half_free =
      changes_since_snapshot_ <= limits_.changes / 2 && bytes_since_snapshot_ <= limits_.bytes / 2;
  return is_log_half_free && bytes_since_snapshot_ < snapshot_->bytes.size();
}

// Drops all changes and the snapshot.
void ChangeLog::restart_at(Index index) {
  entries_.clear();
  bytes_ = 0;
  first_ = index;
  snapshot_.reset();
}

void ChangeLog::trim() {
  while (entries_.size() > limits_.changes || bytes_ > limits_.bytes) {
    first_ = entries_.front().index;
    bytes_ -= entries_.front().frame.size();
    entries_.pop_front();
  }
}

}  // namespace lotusyard::control
