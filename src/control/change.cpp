#include "control/change.h"

#include "raft/bytes.h"

namespace lotusyard::control {
namespace {

using raft::put32;
using raft::put8;
using raft::put_bytes;
using raft::Reader;

enum class Operation : std::uint8_t { set = 1, remove = 2 };

void put_text(std::string& out, const std::string& text) { put_bytes(out, text.data(), text.size()); }

}  // namespace

std::string encode_change(const Change& change) {
  std::string out;
  put32(out, static_cast<std::uint32_t>(change.size()));
  for (const RecordChange& one : change) {
    put8(out, static_cast<unsigned>(one.value ? Operation::set : Operation::remove));
    put_text(out, one.key);
    if (one.value)
      put_text(out, *one.value);
  }
  return out;
}

std::optional<Change> decode_change(const std::string& bytes) {
  if (bytes.size() > longest_change)
    return std::nullopt;
  Reader reader(bytes);
  const std::uint64_t count = reader.number(4);
  Change out;
  for (std::uint64_t i = 0; reader.sound() && i < count; ++i) {
    const auto operation = static_cast<Operation>(reader.number(1));
    if (operation != Operation::set && operation != Operation::remove)
      return std::nullopt;
    RecordChange one;
    one.key = reader.bytes();
    if (operation == Operation::set)
      one.value = std::string(reader.bytes());
    out.push_back(std::move(one));
  }
  if (!reader.ended())
    return std::nullopt;
  return out;
}

std::string encode_records(const Records& records) {
  std::string out;
  put32(out, static_cast<std::uint32_t>(records.size()));
  for (const auto& [key, value] : records) {
    put_text(out, key);
    put_text(out, value);
  }
  return out;
}

std::optional<Records> decode_records(const std::string& bytes) {
  if (bytes.size() > longest_snapshot)
    return std::nullopt;
  Reader reader(bytes);
  const std::uint64_t count = reader.number(4);
  Records out;
  for (std::uint64_t i = 0; reader.sound() && i < count; ++i) {
    std::string key(reader.bytes());
    std::string value(reader.bytes());
    if (reader.sound())
      out.emplace_hint(out.end(), std::move(key), std::move(value));
  }
  if (!reader.ended() || out.size() != count)
    return std::nullopt;
  return out;
}

Change difference(const Records& before, const Records& after) {
  Change out;
  auto old_one = before.begin();
  auto new_one = after.begin();
  while (old_one != before.end() || new_one != after.end()) {
    const bool removed =
        new_one == after.end() || (old_one != before.end() && old_one->first < new_one->first);
    if (removed) {
      out.push_back({old_one->first, std::nullopt});
      ++old_one;
      continue;
    }
    const bool added = old_one == before.end() || new_one->first < old_one->first;
    if (added || old_one->second != new_one->second)
      out.push_back({new_one->first, new_one->second});
    if (!added)
      ++old_one;
    ++new_one;
  }
  return out;
}

void apply(Records& records, const Change& change) {
  for (const RecordChange& one : change) {
    if (one.value) {
      records[one.key] = *one.value;
    } else {
      records.erase(one.key);
    }
  }
}

}  // namespace lotusyard::control
