// Whole members of a group as real processes, with stand-in hosts and clients, and a relay before each that
// cuts and resets.
#pragma once

#include "maintenance/maintenance_rig.h"
#include "raft/group_relay.h"

namespace lotusyard::test {

struct Cluster : WorkRig {
  struct Member : ServedProcess {
    std::string listen;
    std::unique_ptr<GroupRelay> relay;
  };
  std::vector<std::unique_ptr<Member>> members;

  Cluster(std::uint64_t seed, int count, int hosts, std::string broken = {}, int voters = 7,
          double lease = 600, double election = 200, double view_period = 0)
      : WorkRig(seed, hosts, std::move(broken)) {
    nlohmann::json peers = nlohmann::json::array();
    for (int i = 0; i < count; ++i) {
      auto m = std::make_unique<Member>();
      m->name = i < 26 ? std::string(1, static_cast<char>('a' + i)) : "m" + std::to_string(i);
      m->listen = free_address();
      m->admin_endpoint = free_address();
      m->clients = free_address();
      m->config = s.folder.path + "/" + m->name + ".json";
      m->relay = std::make_unique<GroupRelay>(world, m->listen);
      peers.push_back({{"name", m->name}, {"address", m->relay->server.address()}, {"votes", i < voters}});
      for (auto* list : {&processes, &called, &operated})
        list->push_back(m.get());
      members.push_back(std::move(m));
    }
    for (auto& m : members) {
      auto file = file_of(*m, count);
      file["group"] = {{"cluster", "yard"},   {"store", s.folder.path + "/" + m->name + ".db"},
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
        for (const auto& one : members) {  // cut off from all, both ways
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
