#include "control/message.h"

namespace lotusyard::control {

const char* name_of(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::other_version:
      return "other_version";
    case RefusalReason::other_cluster:
      return "other_cluster";
    case RefusalReason::other_terms:
      return "other_terms";
    case RefusalReason::full:
      return "full";
    case RefusalReason::busy:
      return "busy";
    case RefusalReason::node_behind:
      return "node_behind";
    case RefusalReason::draining:
      return "leaving";  // the name of the printed counter
  }
  return "unknown";
}

}  // namespace lotusyard::control
