#include "works/gather.h"

#include <utility>

namespace lotusyard::works {
namespace {

Entry entry_with(const std::string& reason) {
  Entry out;
  out.kind = Entry::Kind::beats;
  out.reason = reason;
  return out;
}

}  // namespace

// Danger: an entry over the bound is refused by every member that reads it, and each stands aside for good.
Gathered gather(std::map<std::string, Beat>&& heard, const std::string& reason) {
  Gathered out;
  out.entries.push_back(entry_with(reason));
  const std::size_t empty = worded(out.entries.back()).size();
  std::size_t length = empty;
  for (auto& [member, beat] : heard) {
    const std::size_t more = worded_beat(beat).dump().size() + 1;  // and the comma before it
    if (empty + more > longest_entry) {
      ++out.left_out;
      continue;
    }
    if (length + more > longest_entry) {
      out.entries.push_back(entry_with(reason));
      length = empty;
    }
    length += more;
    out.entries.back().beats.push_back(std::move(beat));
  }
  heard.clear();
  return out;
}

}  // namespace lotusyard::works
