#include "gossip/absent_members.h"

#include <algorithm>

namespace lotusyard::gossip {
namespace {

void remove_address(std::vector<std::string>& addresses, const std::string& address) {
  addresses.erase(std::remove(addresses.begin(), addresses.end(), address), addresses.end());
}

}  // namespace

std::vector<std::string> absent_addresses(const MemberTable& members,
                                          const std::vector<std::string>& seed_addresses,
                                          const std::string& self_address) {
  std::vector<std::string> addresses = seed_addresses;
  for (const auto& [name, member] : members.all()) {
    const MemberRecord& record = member.record;
    if (is_present(record.status)) {
      remove_address(addresses, record.address);
    } else if (record.status == MemberStatus::dead) {
      addresses.push_back(record.address);
    }
  }
  remove_address(addresses, self_address);
  return addresses;
}

}  // namespace lotusyard::gossip
