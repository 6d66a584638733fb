// A fleet of members' views on a virtual clock: a scripted network among them, and what comes of it drawn as
// text, one column a node, a row a moment.
#pragma once

#include <catch2/catch.hpp>
#include <cstdio>
#include <queue>
#include <sstream>

#include "gossip/swim_protocol.h"

namespace lotusyard::test {

using gossip::MemberRecord;
using gossip::MemberStatus;
using gossip::Millis;
using gossip::SwimProtocol;

struct ViewNet {
  struct Node {
    std::string name, address;
    std::unique_ptr<SwimProtocol> swim;  // none: it is down
    std::uint64_t life = 0;
    double stalled_until = 0;
    std::vector<gossip::Message> while_stalled;
    std::uint64_t sent = 0, bytes = 0;
    double due = 0;  // when its swim wants to be ticked
  };
  struct Flight {
    double at;
    std::uint64_t order;
    std::size_t from, to;
    gossip::Message message;
    bool operator>(const Flight& o) const { return std::tie(at, order) > std::tie(o.at, o.order); }
  };
  std::vector<Node> nodes;
  std::map<std::string, std::size_t> by_address;
  std::priority_queue<Flight, std::vector<Flight>, std::greater<>> flights;
  std::set<std::pair<std::size_t, std::size_t>> cut;  // from, to
  std::mt19937_64 random;
  gossip::GossipTiming pace;
  double now = 1000, loss = 0, delay = 20;
  std::uint64_t order = 0;
  bool measure_bytes = false;
  std::vector<std::pair<double, std::string>> events;
  std::set<std::pair<std::string, std::uint64_t>> really_down;  // name and life
  std::uint64_t false_deaths = 0, changes = 0;
  std::string drawing;

  ViewNet(std::uint64_t seed, std::size_t count) : random(seed) {
    for (std::size_t i = 0; i < count; ++i) {
      Node n;
      n.name = count <= 26 ? std::string(1, static_cast<char>('a' + i)) : "m" + std::to_string(i);
      n.address = "127.0.0.1:" + std::to_string(1000 + i);
      by_address[n.address] = i;
      nodes.push_back(std::move(n));
    }
  }
  double chance() { return static_cast<double>(random() % 100000) / 100000; }
  void start(std::size_t i, bool serves = true) {
    Node& n = nodes[i];
    n.life = std::max<std::uint64_t>(n.life + 1, 1);
    std::vector<std::string> seed_addresses;
    for (std::size_t k = 0; k < std::min<std::size_t>(nodes.size(), 3); ++k)
      seed_addresses.push_back(nodes[k].address);
    n.swim =
        std::make_unique<SwimProtocol>(MemberRecord{n.name, n.address, n.life, 0, MemberStatus::joining, {}},
                                       seed_addresses, pace, random(), Millis(now));
    n.due = now;
    if (serves)
      n.swim->serve(Millis(now));
    say(n.name + " starts");
  }
  void start_all() {
    for (std::size_t i = 0; i < nodes.size(); ++i)
      start(i);
    events.clear();
    say("all start");
  }
  void crash(std::size_t i) {
    really_down.insert({nodes[i].name, nodes[i].life});
    nodes[i].swim.reset();
    say(nodes[i].name + " crashes");
  }
  void leave(std::size_t i) {
    nodes[i].swim->leave(Millis(now));
    carry(i);
    nodes[i].swim.reset();
    say(nodes[i].name + " leaves");
  }
  void stall(std::size_t i, double span) {
    nodes[i].stalled_until = now + span;
    say(nodes[i].name + " stands still");
  }
  // Both ways, between those of one side and all others.
  void part(const std::set<std::size_t>& side, const std::string& what = "a cut") {
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      for (std::size_t k = 0; k < nodes.size(); ++k) {
        if (side.count(i) != side.count(k))
          cut.insert({i, k});
      }
    }
    say(what);
  }
  void heal() {
    cut.clear();
    say("links are back");
  }
  void say(const std::string& what) { events.emplace_back(now, what); }

  void carry(std::size_t i) {
    nodes[i].due = nodes[i].swim->next_deadline().count();
    for (auto& out : nodes[i].swim->take_outgoing()) {
      ++nodes[i].sent;
      if (measure_bytes)
        nodes[i].bytes += gossip::encode_message(out.message).size();
      const auto to = by_address.find(out.address);
      if (to == by_address.end() || cut.count({i, to->second}) != 0 || chance() < loss)
        continue;
      flights.push({now + delay * (0.5 + chance()), ++order, i, to->second, std::move(out.message)});
    }
    for (const auto& change : nodes[i].swim->take_changes()) {
      ++changes;
      if (change.status == MemberStatus::dead && really_down.count({change.name, change.incarnation}) == 0) {
        // What is cut off for longer than a suspicion lasts is rightly held for dead.
        if (cut.empty())
          ++false_deaths;
      }
    }
  }
  bool runs(std::size_t i) const { return nodes[i].swim != nullptr && now >= nodes[i].stalled_until; }
  // One step: the next flight or tick; at most to `until`.
  void step(double until) {
    double next = until;
    for (const auto& n : nodes) {
      if (n.swim)
        next = std::min(next, std::max(n.due, n.stalled_until));
    }
    if (!flights.empty())
      next = std::min(next, flights.top().at);
    now = std::max(now, next);
    while (!flights.empty() && flights.top().at <= now) {
      Flight f = flights.top();
      flights.pop();
      if (!nodes[f.to].swim || cut.count({f.from, f.to}) != 0)
        continue;
      if (!runs(f.to)) {
        nodes[f.to].while_stalled.push_back(std::move(f.message));
        continue;
      }
      nodes[f.to].swim->receive(Millis(now), f.message);
      carry(f.to);
    }
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      if (!runs(i))
        continue;
      if (nodes[i].due > now && nodes[i].while_stalled.empty())
        continue;
      if (nodes[i].due <= now)
        nodes[i].swim->tick(Millis(now));
      for (const auto& m : std::exchange(nodes[i].while_stalled, {}))
        nodes[i].swim->receive(Millis(now), m);
      carry(i);
    }
  }
  void run(double span, bool draws = false) {
    const double until = now + span;
    while (now < until) {
      step(until);
      if (draws)
        draw();
    }
  }
  char mark(std::size_t at, std::size_t of) const {
    const MemberRecord* peer = nodes[at].swim->member_table().find(nodes[of].name);
    return peer == nullptr ? '.' : "~+?x<"[static_cast<std::size_t>(peer->status)];
  }
  std::string cell(std::size_t at) const {
    if (!nodes[at].swim)
      return std::string(nodes.size(), ' ');
    std::string out;
    for (std::size_t of = 0; of < nodes.size(); ++of)
      out += mark(at, of);
    return out;
  }
  // A row whenever what somebody believes is another, or something happens: time since the start in periods.
  void draw() {
    std::string row;
    for (std::size_t i = 0; i < nodes.size(); ++i)
      row += "  " + cell(i);
    if (row == last_row_ && events.empty())
      return;
    last_row_ = row;
    char at[16];
    std::snprintf(at, sizeof at, "%5.1f", (now - 1000) / pace.period.count());
    std::string said;
    for (const auto& [when, what] : std::exchange(events, {}))
      said += (said.empty() ? "   " : ", ") + what;
    drawing += at + row + said + "\n";
  }
  std::string head() const {
    std::string out = "     ";
    for (const auto& n : nodes)
      out += "  " + n.name + std::string(nodes.size() - n.name.size(), ' ');
    return out + "\n";
  }
  // Every node that runs believes of every other what is true.
  bool settled() const {
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      if (!nodes[i].swim)
        continue;
      for (std::size_t k = 0; k < nodes.size(); ++k) {
        const MemberRecord* peer = nodes[i].swim->member_table().find(nodes[k].name);
        const bool up =
            peer != nullptr && peer->status <= MemberStatus::alive && peer->incarnation == nodes[k].life;
        if (up != (nodes[k].swim != nullptr))
          return false;
      }
    }
    return true;
  }
  // Milliseconds until all agree; -1: not within the span.
  double settles(double span) {
    const double began = now;
    while (now < began + span) {
      if (settled())
        return now - began;
      run(20);
    }
    return settled() ? now - began : -1;
  }

 private:
  std::string last_row_;
};

}  // namespace lotusyard::test
