#include "config/sections.h"
#include "hot_restart/shares.h"

namespace lotusyard::config {
namespace {

constexpr Range kMemoryMb{hot_restart::kMinMemoryMb, 1e6};
constexpr Range kSockets{hot_restart::kMinSockets, 1e6};

}  // namespace

void read_limits(const Section& limits, Config& config) {
  limits.require_object_or_null();
  config.memory_mb = limits.whole_number("memory_mb", config.memory_mb, kMemoryMb);
  config.sockets = limits.whole_number("sockets", config.sockets, kSockets);
}

}  // namespace lotusyard::config
