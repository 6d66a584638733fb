#include "gossip/member_record.h"

#include <cstddef>

namespace lotusyard::gossip {

const char* name_of(MemberStatus status) {
  static const char* const names[] = {"joining", "alive", "suspect", "dead", "left"};
  return names[static_cast<std::size_t>(status)];
}

}  // namespace lotusyard::gossip
