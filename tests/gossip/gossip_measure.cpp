// Figures of the SWIM protocol on a simulated network, by hand: lotusyard_fleet_tests "[view-measure]".
#include <iostream>

#include "gossip/gossip_network.h"

namespace lotusyard::test {
namespace {

struct Spread {
  std::vector<double> all;
  std::string text() {
    std::sort(all.begin(), all.end());
    const auto at = [&](double part) {
      return std::to_string(
          static_cast<int>(all[static_cast<std::size_t>(part * static_cast<double>(all.size() - 1))]));
    };
    return at(0) + "/" + at(0.5) + "/" + at(1);
  }
};

TEST_CASE("times until all know, and what it costs", "[.][view-measure]") {
  std::cout << "members: ms until all know (least/median/most of 10): a join, a crash, a healed partition; "
               "messages and bytes a member and second at rest\n";
  for (const std::size_t n : {3, 30, 100, 300}) {
    Spread join, crash, heal, sent, bytes;
    for (std::uint64_t seed = 1; seed <= (n > 100 ? 3 : 10); ++seed) {
      GossipNetwork network(seed, n);
      for (std::size_t i = 0; i + 1 < n; ++i)
        network.start(i);
      network.run(20000);
      network.start(n - 1);
      join.all.push_back(network.time_until_settled(60000));
      network.run(5000);
      network.crash(n / 2);
      crash.all.push_back(network.time_until_settled(60000));
      network.run(10000);
      std::set<std::size_t> side;
      for (std::size_t i = 0; i < n / 2; ++i)
        side.insert(i);
      network.cut_off(side);
      network.run(30000);
      network.heal();
      heal.all.push_back(network.time_until_settled(60000));
      network.run(20000);
      network.measure_bytes = true;
      std::uint64_t before = 0, after = 0, weight = 0;
      for (const auto& node : network.nodes)
        before += node.sent;
      network.run(30000);
      for (const auto& node : network.nodes) {
        after += node.sent;
        weight += node.bytes;
      }
      sent.all.push_back(static_cast<double>(after - before) / static_cast<double>(n) / 30 * 10);
      bytes.all.push_back(static_cast<double>(weight) / static_cast<double>(n) / 30);
    }
    std::cout << n << ": " << join.text() << "  " << crash.text() << "  " << heal.text()
              << "  tenths of messages " << sent.text() << "  bytes " << bytes.text() << std::endl;
  }
}

TEST_CASE("false deaths under loss and stalls", "[.][view-measure]") {
  std::cout << "members, loss, stalled: deaths declared of members that were well, suspicions, in an hour\n";
  for (const std::size_t n : {30, 100}) {
    for (const double loss : {0.0, 0.05, 0.2}) {
      for (const bool stalls : {false, true}) {
        GossipNetwork network(11, n);
        network.start_all();
        network.run(10000);
        network.loss = loss;
        network.false_deaths = 0;
        for (int minute = 0; minute < 60; ++minute) {
          for (int second = 0; second < 60; second += 5) {
            for (std::size_t i = 0; stalls && i < n; i += 10)
              network.stall((i + static_cast<std::size_t>(minute)) % n, 1000);
            network.run(5000);
          }
        }
        std::uint64_t suspected = 0;
        for (const auto& node : network.nodes)
          suspected += node.swim->counts().suspected;
        std::cout << n << ' ' << loss << ' ' << (stalls ? "stalls" : "-") << ": " << network.false_deaths
                  << ' ' << suspected << std::endl;
      }
    }
  }
}

}  // namespace
}  // namespace lotusyard::test
