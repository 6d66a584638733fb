#include "config/json_read.h"
#include "config/sections.h"

namespace lotusyard::config {

void read_known_events(const Section& known, Config& config) {
  if (known.value().is_null())
    return;
  if (!known["seq"].is_number_unsigned())
    known.fail("seq", "a whole number is needed");
  if (!known["results"].is_array())
    known.fail("results", "an array is needed");
  config.known_seq = integer64(known["seq"]);
  config.known_events = known["results"];
}

}  // namespace lotusyard::config
