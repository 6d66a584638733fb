#include "control/change.h"

#include <utility>

#include "control/field_codec.h"

namespace lotusyard::control {
namespace {

enum class Operation : std::uint8_t { set = 1, remove = 2 };

void write(FieldWriter& out, const RecordChange& change) {
  out.u8(static_cast<unsigned>(change.value ? Operation::set : Operation::remove));
  out.text(change.key);
  if (change.value)
    out.text(*change.value);
}
void read(FieldReader& in, RecordChange& change) {
  const auto operation = static_cast<Operation>(in.u8());
  if (operation != Operation::set && operation != Operation::remove)
    return in.reject();
  change.key = in.text();
  if (operation == Operation::set)
    change.value = in.text();
}

}  // namespace

std::string encode_change(const Change& change) {
  std::string bytes;
  FieldWriter out(bytes);
  out.u32(static_cast<std::uint32_t>(change.size()));
  for (const RecordChange& record : change)
    write(out, record);
  return bytes;
}

std::optional<Change> decode_change(const std::string& bytes) {
  if (bytes.size() > kMaxChangeBytes)
    return std::nullopt;
  FieldReader in(bytes);
  const std::uint32_t count = in.u32();
  Change change;
  // The count is untrusted input: memory grows only with what is read.
  for (std::uint32_t i = 0; in.sound() && i < count; ++i)
    read(in, change.emplace_back());
  if (!in.finished())
    return std::nullopt;
  return change;
}

std::string encode_records(const Records& records) {
  std::string bytes;
  FieldWriter out(bytes);
  out.u32(static_cast<std::uint32_t>(records.size()));
  for (const auto& [key, value] : records) {
    out.text(key);
    out.text(value);
  }
  return bytes;
}

std::optional<Records> decode_records(const std::string& bytes) {
  if (bytes.size() > kMaxSnapshotBytes)
    return std::nullopt;
  FieldReader in(bytes);
  const std::uint32_t count = in.u32();
  Records records;
  for (std::uint32_t i = 0; in.sound() && i < count; ++i) {
    std::string key = in.text();
    std::string value = in.text();
    if (in.sound())
      records.emplace_hint(records.end(), std::move(key), std::move(value));
  }
  const bool has_duplicate_keys = records.size() != count;
  if (!in.finished() || has_duplicate_keys)
    return std::nullopt;
  return records;
}

Change difference(const Records& before, const Records& after) {
  Change change;
  auto old_record = before.begin();
  auto new_record = after.begin();
  while (old_record != before.end() || new_record != after.end()) {
    const bool has_old = old_record != before.end();
    const bool is_removed = new_record == after.end() || (has_old && old_record->first < new_record->first);
    if (is_removed) {
      change.push_back({old_record->first, std::nullopt});
      ++old_record;
      continue;
    }
    const bool is_added = !has_old || new_record->first < old_record->first;
    if (is_added || old_record->second != new_record->second)
      change.push_back({new_record->first, new_record->second});
    if (!is_added)
      ++old_record;
    ++new_record;
  }
  return change;
}

void apply(Records& records, const Change& change) {
  for (const RecordChange& record : change) {
    if (record.value) {
      records[record.key] = *record.value;
    } else {
      records.erase(record.key);
    }
  }
}

}  // namespace lotusyard::control
