// What the control tier replicates: records, a key and a value each, and the changes to them. The parts of
// the agreed log decide what their records are; this tier only carries them.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lotusyard::control {

using Records = std::map<std::string, std::string>;

// One record's new value; nothing: the record is removed.
struct RecordChange {
  std::string key;
  std::optional<std::string> value;
};
inline bool operator==(const RecordChange& a, const RecordChange& b) {
  return a.key == b.key && a.value == b.value;
}

// All that one entry of the log changes; applied as a whole.
using Change = std::vector<RecordChange>;

constexpr std::size_t longest_change = 512U << 10;   // encoded
constexpr std::size_t longest_snapshot = 64U << 20;  // encoded

std::string encode_change(const Change& change);
std::optional<Change> decode_change(const std::string& bytes);
std::string encode_records(const Records& records);
std::optional<Records> decode_records(const std::string& bytes);

// What turns `before` into `after`, by key.
Change difference(const Records& before, const Records& after);
void apply(Records& records, const Change& change);

}  // namespace lotusyard::control
