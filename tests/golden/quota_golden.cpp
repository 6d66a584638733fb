// The split of the slow-start budget: log entries and the state's snapshot.
#include "golden_part.h"
#include "shares/epochs.h"

namespace lotusyard::golden {
namespace {

using shares::Entry;
using shares::Epochs;

std::string reencode_entry(const std::string& bytes) {
  return shares::worded(decoded(shares::read_entry(bytes)));
}

std::string reencode_snapshot(const std::string& bytes) {
  Epochs state;
  if (!state.restore(nlohmann::json::parse(bytes)))
    throw std::runtime_error("the snapshot can't be restored");
  return state.snapshot().dump();
}

const Entry kFirst{Entry::Kind::part, {{"member-1", 1ULL << 60}}, 0};
const Entry kSecond{Entry::Kind::part, {{"member-1", 1ULL << 60}, {"member-2", 3}}, 0};
const Entry kOpen{Entry::Kind::open, {}, 5};

}  // namespace

Part quota_part() {
  Epochs state;
  const std::string empty = state.snapshot().dump();
  state.apply(5, kFirst);
  state.apply(6, kOpen);
  state.apply(7, kSecond);
  return {"quota",
          {{"entry part", shares::worded(kSecond), reencode_entry},
           {"entry open", shares::worded(kOpen), reencode_entry},
           {"snapshot empty", empty, reencode_snapshot},
           {"snapshot", state.snapshot().dump(), reencode_snapshot}}};
}

}  // namespace lotusyard::golden
