// Records, a key and a value each, and changes to them. The replicated state machines define the records;
// sessions only transport them.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lotusyard::control {

using Records = std::map<std::string, std::string>;

// The new value of one record. Empty: the record is removed.
struct RecordChange {
  std::string key;
  std::optional<std::string> value;
};
inline bool operator==(const RecordChange& a, const RecordChange& b) {
  return a.key == b.key && a.value == b.value;
}

// Everything that one entry of the log changes.
using Change = std::vector<RecordChange>;

constexpr std::size_t kMaxChangeBytes = 512U << 10;   // serialized
constexpr std::size_t kMaxSnapshotBytes = 64U << 20;  // serialized

// The decoders return nothing if the input is malformed or too long.
std::string encode_change(const Change& change);
std::optional<Change> decode_change(const std::string& bytes);
std::string encode_records(const Records& records);
std::optional<Records> decode_records(const std::string& bytes);

// The change that turns `before` into `after`, in the order of the keys.
Change difference(const Records& before, const Records& after);
void apply(Records& records, const Change& change);

}  // namespace lotusyard::control
