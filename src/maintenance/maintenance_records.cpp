#include "maintenance/maintenance_records.h"

#include <array>

namespace lotusyard::maintenance {
namespace {

constexpr std::array<const char*, 6> kStageNames{"waiting", "named", "leaving", "out", "warming", "back"};

}  // namespace

const char* name_of(HostStage stage) { return kStageNames[static_cast<std::size_t>(stage)]; }

bool counts_against_bounds(HostStage stage) {
  return stage == HostStage::draining || stage == HostStage::out_of_service || stage == HostStage::slow_start;
}

}  // namespace lotusyard::maintenance
