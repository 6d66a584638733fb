#include "compliance/log_entry.h"

namespace lotusyard::compliance {

bool is_operator_command(const Command& command) {
  return !std::holds_alternative<Acknowledge>(command) && !std::holds_alternative<FinishRevocation>(command);
}

}  // namespace lotusyard::compliance
