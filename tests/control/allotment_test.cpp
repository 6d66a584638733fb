// Division of a node's budget among its sessions: the shares in use never exceed the budget.
#include "control/allotment.h"

#include <catch2/catch.hpp>
#include <map>
#include <random>

using lotusyard::control::Allotment;
using lotusyard::control::Index;
using lotusyard::control::Millis;

TEST_CASE("a budget is divided evenly once earlier, larger shares have expired") {
  Allotment allotment;
  allotment.set_budget(0.4, 1);
  CHECK(allotment.grant(1, 1, Millis(100), Millis(0)) == Approx(0.4));
  CHECK(allotment.grant(2, 2, Millis(150), Millis(10)) == Approx(0));  // the first session has all of it
  CHECK(allotment.grant(1, 2, Millis(160), Millis(60)) == Approx(0.2));
  CHECK(allotment.outstanding(Millis(60)) == Approx(0.4));  // the first grant may still be used
  CHECK(allotment.grant(2, 2, Millis(200), Millis(101)) == Approx(0.2));
  CHECK(allotment.outstanding(Millis(101)) == Approx(0.4));
  CHECK(allotment.outstanding(Millis(200)) == Approx(0));
}

TEST_CASE("a reduced budget is respected only once the sessions hold no more than it") {
  Allotment allotment;
  allotment.set_budget(0.5, 5);
  allotment.grant(1, 1, Millis(100), Millis(0));
  CHECK(allotment.respected(9, Millis(1)) == 9);
  allotment.set_budget(0.2, 10);
  CHECK(allotment.respected(12, Millis(1)) == 9);
  CHECK(allotment.grant(1, 1, Millis(300), Millis(50)) == Approx(0.2));
  CHECK(allotment.respected(12, Millis(99)) == 9);
  CHECK(allotment.respected(12, Millis(100)) == 12);
}

TEST_CASE("a budget reduced to zero is respected once the last share has expired") {
  Allotment allotment;
  allotment.set_budget(0.5, 5);
  allotment.grant(1, 1, Millis(100), Millis(0));
  allotment.set_budget(0, 8);
  CHECK(allotment.grant(2, 2, Millis(200), Millis(10)) == 0);
  CHECK(allotment.respected(20, Millis(99)) == 7);
  CHECK(allotment.respected(20, Millis(100)) == 20);
}

// An independent model records every grant and adds up what each session may use.
TEST_CASE("in random scenarios the shares in use never exceed the budget they were granted from") {
  struct Granted {
    double share = 0;
    Millis until{0};
  };
  for (unsigned seed = 1; seed <= 200; ++seed) {
    std::mt19937 random(seed);
    const auto below = [&random](unsigned bound) { return random() % bound; };
    Allotment allotment;
    std::multimap<std::uint64_t, Granted> granted;
    double budget = 0, largest_budget = 0;  // the largest one from which shares can be in use
    Millis larger_until{0}, now{0};
    Index index = 0;
    for (int step = 0; step < 300; ++step) {
      now += Millis(below(40));
      if (below(10) == 0) {
        if (now >= larger_until)
          largest_budget = budget;
        budget = static_cast<double>(below(100)) / 100;
        largest_budget = std::max(largest_budget, budget);
        larger_until = now + Millis(300);
        allotment.set_budget(budget, ++index);
      }
      const std::uint64_t session = below(8);
      const Millis until = now + Millis(below(300));
      granted.emplace(session, Granted{allotment.grant(session, 1 + below(8), until, now), until});
      std::map<std::uint64_t, double> shares;
      for (const auto& [id, one] : granted) {
        if (one.until > now)
          shares[id] = std::max(shares[id], one.share);
      }
      double total = 0;
      for (const auto& [id, share] : shares)
        total += share;
      INFO("seed " << seed << ", step " << step);
      REQUIRE(total <= largest_budget + 1e-9);
      REQUIRE(allotment.outstanding(now) == Approx(total).margin(1e-9));
      if (allotment.respected(index, now) == index)
        REQUIRE(total <= budget + 1e-9);
    }
  }
}
