// A host that has just started, and what twenty or thirty routers that share nothing send it together.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <random>

#include "policy/router_rig.h"

namespace lotusyard::policy::test {
namespace {

constexpr double kWork = 100, kCores = 2, kStart = 4000, kEnd = 16000;

// Requests by all routers in excess of what one host may get, in units of the root of that; over all windows.
struct Fleet {
  int routers;
  double slow_start_factor, slow_start_window,
      load;    // load: calls that come, as part of what the warm hosts can do
  bool known;  // the copies stand at the host that starts, too
  std::uint64_t seed;
  std::vector<double> sent{};  // when, to the host that started

  void play() {
    Settings s = settings();
    s.routers = routers;
    s.host_protocol.answers_misses = true;
    s.slow_start.factor = slow_start_factor;
    s.slow_start.window = Millis(slow_start_window);
    s.slow_start.initial = 0.25;
    s.slow_start.duration = Millis(10000);
    s.load_orders.floor = 6;
    s.load_orders.ratio = 0.2;
    s.load_orders.window = Millis(10000);
    std::mt19937_64 random(seed);
    const auto chance = [&] { return static_cast<double>(random() >> 11) / 9007199254740992.0; };
    struct Answer {
      std::size_t router;
      action::Send send;
      Outcome outcome;
      double began;
    };
    std::multimap<double, Answer> answers;
    std::multimap<double, std::tuple<std::size_t, std::string, std::uint64_t>> loaded;
    std::map<std::string, std::set<std::uint64_t>> copies;
    std::map<std::string, int> held;
    std::map<std::string, std::uint64_t> functions;
    std::vector<Router> all;
    for (int i = 0; i < routers; ++i) {
      s.rank = i;
      s.seed = random();
      all.emplace_back(s);
      all.back().now = Millis(0);
      std::vector<HostEntry> hosts;
      for (int h = 0; h < 6; ++h)
        hosts.push_back(entry("h" + std::to_string(h)));
      for (auto& h : hosts)
        h.weight = kCores;
      all.back().list(hosts);
    }
    for (int h = 0; h < 6; ++h) {
      for (std::uint64_t f = 1; f <= 30; ++f) {
        if (h > 0 || known)
          copies["h" + std::to_string(h)].insert(f);
      }
    }
    const double pace = load * 5 * kCores / kWork / routers;  // of one router, for each millisecond
    std::vector<double> next(all.size());
    for (auto& at : next)
      at = -std::log(1 - chance()) / pace;
    int ids = 0;
    for (double now = 0; now < kEnd; now += 4) {
      for (std::size_t i = 0; i < all.size(); ++i) {
        Router& r = all[i];
        r.pass(now - r.now.count());
        if (now >= kStart && now < kStart + 4) {
          HostEntry fresh = entry("h0", HostState::ready, kStart);
          fresh.weight = kCores;
          r.list({fresh}, ListKind::delta);
        }
        for (; next[i] <= now; next[i] += -std::log(1 - chance()) / pace) {
          const std::uint64_t f = 1 + static_cast<std::uint64_t>(30 * chance() * chance());
          const std::string id = std::to_string(++ids);
          functions[id] = f;
          r.request(id, f, f % 3 == 0 ? "unsafe" : "safe", 2000, 4);
        }
      }
      while (!answers.empty() && answers.begin()->first <= now) {
        const Answer a = answers.begin()->second;
        answers.erase(answers.begin());
        --held[a.send.host];
        all[a.router].answer(a.send, a.outcome, now - a.began, Warmth::unknown);
      }
      while (!loaded.empty() && loaded.begin()->first <= now) {
        const auto [router, host, f] = loaded.begin()->second;
        loaded.erase(loaded.begin());
        copies[host].insert(f);
        all[router].loaded(host, f, 1);
      }
      for (std::size_t i = 0; i < all.size(); ++i) {
        for (const auto& send : std::exchange(all[i].sends, {})) {
          if (send.host == "h0" && now >= kStart)
            sent.push_back(now);
          const bool stands = copies[send.host].count(functions[send.id]) != 0;
          const int beside = ++held[send.host];
          const double took = !stands ? 1 : kWork * std::max(1.0, beside / kCores) * (0.5 + chance());
          answers.emplace(now + took, Answer{i, send, stands ? Outcome::ok : Outcome::no_instance, now});
        }
        for (const auto& order : std::exchange(all[i].loads, {}))
          loaded.emplace(now + 500, std::tuple(i, order.host, order.function));
      }
    }
  }
  double worst() const {
    double most = -1e9;
    for (std::size_t i = 0, first = 0; i < sent.size(); ++i) {
      while (sent[first] <= sent[i] - slow_start_window)
        ++first;
      // Judged by what it could do when the window began: the least of it.
      const double age = std::max(0.0, sent[i] - slow_start_window - kStart) / 10000;
      const double n =
          slow_start_factor * (0.25 + 0.75 * std::min(1.0, age)) * kCores * slow_start_window / kWork;
      most = std::max(most, (static_cast<double>(i - first + 1) - n - 2) / std::sqrt(n));
    }
    return most;
  }
};

// Rule: beyond what one host may get, N calls, only 2 x root of N + 2 are chance, from all routers together.
TEST(ColdHost, WhatAllRoutersSendStaysWithinChanceOfWhatItMayGet) {
  const Fleet cases[] = {{19, 2.5, 500, 1.6, false, 1},
                         {20, 2.0, 3000, 1.6, true, 2},
                         {20, 3.0, 1000, 1.6, true, 3},
                         {30, 2.0, 3000, 1.6, true, 4},
                         {30, 2.5, 500, 1.6, true, 5}};
  for (Fleet fleet : cases) {
    fleet.play();
    EXPECT_GT(fleet.sent.size(), 25U);  // it is wanted
    EXPECT_LE(fleet.worst(), 2) << fleet.routers << " routers, seed " << fleet.seed;
  }
}

}  // namespace
}  // namespace lotusyard::policy::test
