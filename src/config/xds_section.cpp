#include "config/sections.h"

namespace lotusyard::config {

XdsConfig read_xds(const Section& xds) {
  xds.require_object();
  XdsConfig config;
  config.file = xds.required_text("file");
  config.cluster = xds.required_text("cluster");
  config.reread = policy::Millis(xds.number("reread_ms", config.reread.count(), {10, 1500}));
  return config;
}

}  // namespace lotusyard::config
