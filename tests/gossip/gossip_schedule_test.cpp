// Random sequences of faults, after which all members agree again, and planted faults that the checks find.
#include <rapidcheck.h>

#include <string>
#include <vector>

#include "gossip/gossip_network.h"
#include "gossip/property_check.h"
#include "support/fault_injection.h"

namespace lotusyard::test {
namespace {

std::string drawing_of(const GossipNetwork& network) { return "\n" + network.head() + network.drawing; }

constexpr std::size_t kNodes = 5;

// Each number is one fault: what happens, to which node, and how long it lasts.
void apply_fault(GossipNetwork& network, int fault) {
  const auto node = static_cast<std::size_t>(fault % 5);
  switch (fault / 5 % 6) {
    case 0:
      network.nodes[node].swim ? network.crash(node) : network.start(node);
      break;
    case 1:
      network.stall(node, 1000 + 400 * (fault % 7));
      break;
    case 2:
      network.cut_off({node, (node + 2) % kNodes});
      break;
    case 3:
      network.heal();
      break;
    case 4:
      network.cut.insert({node, (node + 1) % kNodes});
      break;
    default:
      network.loss = network.loss > 0 ? 0 : 0.2;
      break;
  }
}

void end_faults(GossipNetwork& network) {
  network.loss = 0;
  network.heal();
  for (std::size_t i = 0; i < kNodes; ++i) {
    if (!network.nodes[i].swim)
      network.start(i);
  }
}

// Plays the faults. Returns the rule that was broken, or nothing. `drawing` may be null.
std::string broken_rule_after(std::uint64_t seed, const std::vector<int>& faults,
                              std::string* drawing = nullptr) {
  const bool draws = drawing != nullptr;
  GossipNetwork network(seed, kNodes);
  network.start_all();
  network.run(4000, draws);
  for (const int fault : faults) {
    apply_fault(network, fault);
    network.run(300 + 150 * (fault % 11), draws);
  }
  end_faults(network);
  const double settled_after = network.time_until_settled(25000);
  if (draws)
    *drawing = drawing_of(network);
  return settled_after < 0 ? "views differ 25 s after the last fault" : std::string();
}

// Whether a random sequence of faults is found after which the members do not agree.
bool finds_disagreement(int cases) {
  return !property_holds("all agree again after the last fault", cases, [] {
    const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1000000);
    const auto faults = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 330));
    const std::string broken = broken_rule_after(seed, faults);
    if (broken.empty())
      return;
    std::string drawing;  // of the faults as they are once shrunk
    broken_rule_after(seed, faults, &drawing);
    RC_FAIL(broken + drawing);
  });
}

TEST_CASE("after any sequence of crashes, pauses, cuts and losses all agree again, once faults end") {
  CHECK_FALSE(finds_disagreement(3000));
}

TEST_CASE("a suspicion that cannot be refuted is found") {
  FaultInjection::Scope broken("refute");
  CHECK(finds_disagreement(50));
}

// Suspicions by a member that was paused itself, of others that ran all the time.
std::uint64_t count_suspicions_by_paused_member(int seeds) {
  std::uint64_t suspicions = 0;
  for (int seed = 1; seed <= seeds; ++seed) {
    GossipNetwork network(static_cast<std::uint64_t>(seed), 3);
    network.start_all();
    network.run(5000);
    network.stall(1, 60000);
    network.run(70000);
    suspicions += network.nodes[1].swim->counts().suspected;
  }
  return suspicions;
}

TEST_CASE("a member that takes its own pause for others' silence is found") {
  CHECK(count_suspicions_by_paused_member(40) == 0);
  FaultInjection::Scope broken("stall");
  CHECK(count_suspicions_by_paused_member(40) > 0);
}

TEST_CASE("a forgotten member is not brought back by one that was cut off for longer") {
  GossipNetwork network(9, 4);
  network.timing.forget_dead_after = Millis(30000);
  network.start_all();
  network.run(5000);
  network.cut_off({0});
  network.crash(3);
  network.run(100000);
  CHECK(network.nodes[1].swim->member_table().find("d") == nullptr);
  network.heal();
  network.run(5000);
  for (std::size_t i = 0; i < 3; ++i)
    CHECK(network.nodes[i].swim->member_table().find("d") == nullptr);
}

}  // namespace
}  // namespace lotusyard::test
