// The members of a group as real processes, with stand-in hosts and clients, and a relay in front of each
// member that cuts and resets connections.
#pragma once

#include "maintenance/maintenance_harness.h"
#include "raft/group_relay.h"

namespace lotusyard::test {

struct Cluster : MaintenanceHarness {
  struct Member : ManagedProcess {
    std::string listen;
    std::unique_ptr<GroupRelay> relay;
  };
  std::vector<std::unique_ptr<Member>> members;

  Cluster(std::uint64_t seed, int count, int hosts, std::string fault = {}, int voters = 7,
          double lease = 600, double election = 200, double view_period = 0)
      : MaintenanceHarness(seed, hosts, std::move(fault)) {
    nlohmann::json peers = nlohmann::json::array();
    for (int i = 0; i < count; ++i) {
      auto m = std::make_unique<Member>();
      m->name = i < 26 ? std::string(1, static_cast<char>('a' + i)) : "m" + std::to_string(i);
      m->listen = free_address();
      m->admin_endpoint = free_address();
      m->clients = free_address();
      m->config = service.folder.path + "/" + m->name + ".json";
      m->relay = std::make_unique<GroupRelay>(fixture, m->listen);
      peers.push_back({{"name", m->name}, {"address", m->relay->server.address()}, {"votes", i < voters}});
      for (auto* list : {&processes, &call_targets, &operator_targets})
        list->push_back(m.get());
      members.push_back(std::move(m));
    }
    for (auto& m : members) {
      auto file = config_for(*m, count);
      file["group"] = {{"cluster", "yard"},   {"store", service.folder.path + "/" + m->name + ".db"},
                       {"listen", m->listen}, {"members", peers},
                       {"lease_ms", lease},   {"election_ms", election}};
      if (view_period > 0)
        file["group"]["view"] = {{"period_ms", view_period}};
      std::ofstream(m->config) << file.dump();
      const std::string init = std::string(LOTUSYARD_CLUSTER) + " group init " + m->config + " >/dev/null";
      REQUIRE(std::system(init.c_str()) == 0);
      start(*m);
    }
  }
  void disturb() override {
    Member& m = *members[below(random, members.size())];
    const Member& other = *members[below(random, members.size())];
    const double span = 200 + static_cast<double>(below(random, 1500));
    switch (below(random, 6)) {
      case 0:
        kill_for(m, span);
        break;
      case 1:
        stop_for(m, span);
        break;
      case 2:
        m.relay->cut.insert(other.name);
        break;
      case 3:
        for (const auto& one : members) {  // cut off from all others in both directions
          m.relay->cut.insert(one->name);
          one->relay->cut.insert(m.name);
        }
        break;
      case 4:
        m.relay->reset();
        break;
      default:
        heal();
        break;
    }
  }
  void heal() override {
    for (auto& m : members) {
      for (const auto& from : members)
        m->relay->heal(from->name);
    }
  }
};

}  // namespace lotusyard::test
