#include "core/host_locations.h"

namespace lotusyard::core {

void HostLocations::apply(const HostList& list) {
  if (list.kind != ListKind::delta)
    locations_.clear();
  for (const auto& entry : list.entries) {
    if (entry.state == policy::HostState::removed) {
      locations_.erase(entry.host);
    } else {
      locations_[entry.host] = {entry.zone, entry.cell};
    }
  }
}

const HostLocation* HostLocations::find(const std::string& host) const {
  const auto found = locations_.find(host);
  return found == locations_.end() ? nullptr : &found->second;
}

}  // namespace lotusyard::core
