// Measures the SWIM protocol on a simulated network. Run by hand: lotusyard_fleet_tests "[view-measure]".
#include <iostream>

#include "gossip/gossip_network.h"

namespace lotusyard::test {
namespace {

struct Samples {
  std::vector<double> values;
  std::string min_median_max() {
    std::sort(values.begin(), values.end());
    const auto at = [&](double fraction) {
      return std::to_string(static_cast<int>(
          values[static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1))]));
    };
    return at(0) + "/" + at(0.5) + "/" + at(1);
  }
};

TEST_CASE("dissemination times and message rates", "[.][view-measure]") {
  std::cout
      << "members: ms until all tables match (min/median/max of 10): a join, a crash, a healed partition; "
         "messages and bytes per member and second at rest\n";
  for (const std::size_t n : {3, 30, 100, 300}) {
    Samples join, crash, heal, sent, bytes;
    for (std::uint64_t seed = 1; seed <= (n > 100 ? 3 : 10); ++seed) {
      GossipNetwork network(seed, n);
      for (std::size_t i = 0; i + 1 < n; ++i)
        network.start(i);
      network.run(20000);
      network.start(n - 1);
      join.values.push_back(network.time_until_settled(60000));
      network.run(5000);
      network.crash(n / 2);
      crash.values.push_back(network.time_until_settled(60000));
      network.run(10000);
      std::set<std::size_t> side;
      for (std::size_t i = 0; i < n / 2; ++i)
        side.insert(i);
      network.cut_off(side);
      network.run(30000);
      network.heal();
      heal.values.push_back(network.time_until_settled(60000));
      network.run(20000);
      network.measure_bytes = true;
      std::uint64_t before = 0, after = 0, bytes_sent = 0;
      for (const auto& node : network.nodes)
        before += node.sent;
      network.run(30000);
      for (const auto& node : network.nodes) {
        after += node.sent;
        bytes_sent += node.bytes;
      }
      sent.values.push_back(static_cast<double>(after - before) / static_cast<double>(n) / 30 * 10);
      bytes.values.push_back(static_cast<double>(bytes_sent) / static_cast<double>(n) / 30);
    }
    std::cout << n << ": " << join.min_median_max() << "  " << crash.min_median_max() << "  "
              << heal.min_median_max() << "  tenths of messages " << sent.min_median_max() << "  bytes "
              << bytes.min_median_max() << std::endl;
  }
}

TEST_CASE("false deaths under loss and stalls", "[.][view-measure]") {
  std::cout << "members, loss, stalled: false deaths and suspicions in an hour\n";
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
