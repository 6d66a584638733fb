#include "maintenance/timeline.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <optional>
#include <set>

namespace lotusyard::maintenance {
namespace {

using FieldMap = std::map<std::string, std::string>;

// Adds a word without a key to the entry's kind: only the first such word and "refused" belong to it.
void add_word(const std::string& word, FieldMap& fields) {
  std::string& kind = fields[""];
  if (kind.empty())
    kind = word;
  else if (word == "refused")
    kind += " " + word;
}

// Reads the field whose '=' is at `equals`, and returns where the next one begins; nothing if its quote is
// not closed.
std::optional<std::size_t> add_field(const std::string& line, std::size_t at, std::size_t equals,
                                     FieldMap& fields) {
  const bool quoted = equals + 1 < line.size() && line[equals + 1] == '"';
  const std::size_t from = equals + (quoted ? 2 : 1);
  const std::size_t to = quoted ? line.rfind('"') : line.find(' ', from);
  if (quoted && to < from)
    return std::nullopt;
  const bool is_last = to == std::string::npos;
  fields[line.substr(at, equals - at)] = line.substr(from, is_last ? to : to - from);
  return is_last ? line.size() : to + 1;
}

// Splits a line into key=value fields; quoted values may contain blanks. The entry's kind, which has no key,
// is stored under the empty key.
FieldMap parse_fields(const std::string& line) {
  FieldMap fields;
  for (std::size_t at = 0; at < line.size();) {
    if (line[at] == ' ') {
      ++at;
      continue;
    }
    const std::size_t equals = line.find('=', at);
    const std::size_t blank = line.find(' ', at);
    if (equals == std::string::npos || blank < equals) {
      add_word(line.substr(at, blank - at), fields);
      at = blank == std::string::npos ? line.size() : blank;
      continue;
    }
    const auto next = add_field(line, at, equals, fields);
    if (!next)
      break;
    at = *next;
  }
  return fields;
}

}  // namespace

Timeline parse_timeline(const std::vector<std::string>& lines) {
  static const std::set<std::string> kinds = {"add",      "alter", "bounds", "name", "take", "touch",
                                              "returned", "back",  "late",   "join", "leave"};
  Timeline out;
  std::map<std::uint64_t, AppliedEntry> by_index;
  const std::string prefix = "works at=";
  for (const auto& line : lines) {
    if (line.compare(0, prefix.size(), prefix) != 0)
      continue;
    auto fields = parse_fields(line.substr(6));
    const double at = std::atof(fields["at"].c_str());
    const std::string& kind = fields[""];
    if (kind == "calls") {
      out.call_rates.push_back(
          {at, std::atof(fields["asked"].c_str()), std::atof(fields["lost"].c_str()), fields["member"]});
      continue;
    }
    if (kinds.count(kind.substr(0, kind.find(' '))) == 0)
      continue;
    const std::uint64_t index = std::strtoull(fields["index"].c_str(), nullptr, 10);
    const auto [found, inserted] = by_index.try_emplace(index);
    AppliedEntry& entry = found->second;
    if (!inserted && (entry.kind != kind || entry.host != fields["host"] || entry.job != fields["work"]) &&
        out.fault.empty())
      out.fault = "index " + std::to_string(index) + ": " + entry.kind + ' ' + entry.host + " and " + kind +
                  ' ' + fields["host"];
    if (inserted)
      entry = {at, index, kind, fields["work"], fields["host"], fields["reason"], {}};
    entry.at = std::min(entry.at, at);
    entry.members.emplace(fields["member"], at);
  }
  for (auto& [index, entry] : by_index)
    out.entries.push_back(std::move(entry));
  const auto earlier = [](const auto& a, const auto& b) { return a.at < b.at; };
  std::stable_sort(out.call_rates.begin(), out.call_rates.end(), earlier);
  return out;
}

std::string render_table(const Timeline& timeline) {
  std::string out;
  if (!timeline.fault.empty())
    out += "members disagree: " + timeline.fault + "\n";
  if (timeline.entries.empty())
    return out + "no entries\n";
  const double started_at = timeline.entries.front().at;
  out += "   seconds   index  what      host            members  reason\n";
  for (const auto& entry : timeline.entries) {
    char head[160];
    std::snprintf(head, sizeof head, "%10.3f  %6llu  %-9s %-15s %7zu  ", (entry.at - started_at) / 1000,
                  static_cast<unsigned long long>(entry.index), entry.kind.c_str(),
                  (entry.host.empty() ? entry.job : entry.host).c_str(), entry.members.size());
    out += head + entry.reason + "\n";
  }
  return out;
}

}  // namespace lotusyard::maintenance
