// The division of the slow-start budget among members: log entries and the state's snapshot.
#include "golden/golden_file.h"
#include "quota/log_entry_codec.h"
#include "quota/quota_epochs.h"

namespace lotusyard::golden {
namespace {

using quota::BeginEpoch;
using quota::LogEntry;
using quota::OpenEpoch;
using quota::QuotaEpochs;

std::string reencode_entry(const std::string& bytes) {
  return quota::encode_entry(decoded(quota::parse_entry(bytes)));
}

std::string reencode_snapshot(const std::string& bytes) {
  QuotaEpochs state;
  if (!state.restore(nlohmann::json::parse(bytes)))
    throw std::runtime_error("the snapshot can't be restored");
  return state.snapshot().dump();
}

const LogEntry kFirst{BeginEpoch{{{"member-1", 1ULL << 60}}}};
const LogEntry kSecond{BeginEpoch{{{"member-1", 1ULL << 60}, {"member-2", 3}}}};
const LogEntry kOpen{OpenEpoch{5}};

}  // namespace

GoldenFile quota_golden() {
  QuotaEpochs state;
  const std::string empty = state.snapshot().dump();
  state.apply(5, kFirst);
  state.apply(6, kOpen);
  state.apply(7, kSecond);
  return {"quota",
          {{"entry part", quota::encode_entry(kSecond), reencode_entry},
           {"entry open", quota::encode_entry(kOpen), reencode_entry},
           {"snapshot empty", empty, reencode_snapshot},
           {"snapshot", state.snapshot().dump(), reencode_snapshot}}};
}

}  // namespace lotusyard::golden
