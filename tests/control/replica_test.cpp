// An invoker's replica: snapshots in chunks, deltas applied once and in order, and random scenarios of faults
// against an independent model.
#include "control/replica.h"

#include <catch2/catch.hpp>

#include "control/history.h"

namespace lotusyard::test {
namespace {

using control::Delta;
using control::Index;
using control::Replica;
using control::SnapshotChunk;
using Outcome = Replica::Outcome;

constexpr std::size_t kChunk = 16;

Outcome apply_all(Replica& replica, const std::vector<SnapshotChunk>& chunks) {
  Outcome out = Outcome::malformed;
  for (const SnapshotChunk& chunk : chunks)
    out = replica.apply(chunk);
  return out;
}

TEST_CASE(
    "replica: a delta is a gap until a complete snapshot has arrived, then is applied once and in order") {
  const History history(1, 8);
  Replica replica;
  CHECK(replica.apply(history.delta(0)) == Outcome::gap);
  const auto chunks = history.snapshot(history.steps[3].index, kChunk);
  REQUIRE(chunks.size() > 2);
  CHECK(replica.apply(chunks[0]) == Outcome::incomplete);
  CHECK(replica.apply(history.delta(4)) == Outcome::gap);
  CHECK_FALSE(replica.complete());
  CHECK(apply_all(replica, chunks) == Outcome::applied);
  CHECK(replica.complete());
  CHECK(replica.apply(history.delta(3)) == Outcome::duplicate);
  CHECK(replica.apply(history.delta(5)) == Outcome::gap);
  CHECK(replica.apply(history.delta(4)) == Outcome::applied);
  CHECK(replica.apply(history.delta(4)) == Outcome::duplicate);
  CHECK(replica.position() == history.steps[4].index);
  CHECK(replica.records() == history.at(replica.position()));
}

TEST_CASE("replica: a delta that starts before the position and ends after it is applied") {
  const History history(1, 8);
  Replica replica;
  apply_all(replica, history.snapshot(history.steps[3].index, kChunk));
  Delta delta = history.delta(4);
  delta.after = 0;  // the replica has every change between 0 and it
  CHECK(replica.apply(delta) == Outcome::applied);
  CHECK(replica.records() == history.at(delta.index));
}

TEST_CASE("replica: chunks must come strictly in order, and from one snapshot") {
  const History history(2, 30);
  const auto older = history.snapshot(history.steps[20].index, kChunk);
  const auto newer = history.snapshot(history.steps[29].index, kChunk);
  REQUIRE(newer.size() > 2);
  Replica replica;
  CHECK(replica.apply(newer[1]) == Outcome::malformed);  // not from the start
  CHECK(replica.apply(newer[0]) == Outcome::incomplete);
  CHECK(replica.apply(newer[2]) == Outcome::malformed);  // one is missing
  CHECK(replica.apply(newer[1]) == Outcome::malformed);  // the snapshot must be restarted
  CHECK(replica.apply(newer[0]) == Outcome::incomplete);
  CHECK(replica.apply(older[1]) == Outcome::malformed);  // of another index
  SnapshotChunk other_total = newer[1];
  ++other_total.total;
  CHECK(replica.apply(newer[0]) == Outcome::incomplete);
  CHECK(replica.apply(other_total) == Outcome::malformed);
  CHECK(replica.apply(newer[0]) == Outcome::incomplete);
  replica.abandon_snapshot();
  CHECK(replica.apply(newer[1]) == Outcome::malformed);
  CHECK(replica.apply(newer[0]) == Outcome::incomplete);
  CHECK(apply_all(replica, older) == Outcome::applied);  // another snapshot from its start
  CHECK(apply_all(replica, newer) == Outcome::applied);
  CHECK(apply_all(replica, older) == Outcome::duplicate);
  CHECK(apply_all(replica, newer) == Outcome::duplicate);
  CHECK(replica.position() == history.last());
  CHECK(replica.records() == history.at(history.last()));
}

TEST_CASE("replica: an invalid snapshot or change is malformed and changes nothing") {
  const History history(3, 4);
  Replica replica;
  const std::string bytes = control::encode_records(history.at(history.last()));
  const Index index = history.last();
  CHECK(replica.apply(SnapshotChunk{index, 0, control::kMaxSnapshotBytes + 1, bytes}) == Outcome::malformed);
  CHECK(replica.apply(SnapshotChunk{index, 0, bytes.size() - 1, bytes}) == Outcome::malformed);
  CHECK(replica.apply(SnapshotChunk{index, 0, 0, ""}) == Outcome::malformed);
  CHECK(replica.apply(SnapshotChunk{index, 0, bytes.size(), ""}) == Outcome::malformed);
  CHECK(replica.apply(SnapshotChunk{index, 0, bytes.size() + 1, bytes + "x"}) == Outcome::malformed);
  CHECK_FALSE(replica.complete());
  CHECK(replica.apply(SnapshotChunk{index, 0, bytes.size(), bytes}) == Outcome::applied);
  CHECK(replica.apply(Delta{index, index, history.delta(0).change}) == Outcome::malformed);
  CHECK(replica.apply(Delta{index, index + 1, "spoilt"}) == Outcome::malformed);
  CHECK(replica.position() == index);
  CHECK(replica.records() == history.at(index));
}

TEST_CASE("replica: the listener is called once for each update") {
  const History history(4, 6);
  Replica replica;
  std::vector<std::pair<Index, bool>> updates;  // the position, and whether by a snapshot
  replica.set_update_listener([&](const control::Change* change) {
    updates.emplace_back(replica.position(), change == nullptr);
    if (change != nullptr)
      CHECK(*change == history.steps[4].change);
  });
  const Index first = history.steps[3].index;
  apply_all(replica, history.snapshot(first, kChunk));
  replica.apply(history.delta(3));
  replica.apply(history.delta(5));
  replica.apply(history.delta(4));
  CHECK(updates == std::vector<std::pair<Index, bool>>{{first, true}, {history.steps[4].index, false}});
}

// ---- Random scenarios ----

// A faulty sender, a replica, and a model of the state that the replica must have.
struct Scenario {
  History history;
  std::mt19937_64 random;
  Replica replica;
  Index position = 0;        // of the model
  Index snapshot_index = 0;  // of the snapshot in progress, by the model; 0: none
  std::size_t chunks = 0;    // of it that were accepted
  std::size_t cursor = 0;    // the next step to send

  explicit Scenario(std::uint64_t seed) : history(seed, 30), random(seed + 1) {}

  Outcome expected(const Delta& delta) {
    if (position == 0)
      return Outcome::gap;
    if (delta.index <= position)
      return Outcome::duplicate;
    if (delta.after > position)
      return Outcome::gap;
    position = delta.index;
    return Outcome::applied;
  }
  Outcome expected(Index index, std::size_t number, std::size_t count) {
    if (index <= position)
      return Outcome::duplicate;
    const bool next = number == 0 || (index == snapshot_index && number == chunks);
    snapshot_index = next ? index : 0;
    chunks = next ? number + 1 : 0;
    if (!next)
      return Outcome::malformed;
    if (chunks < count)
      return Outcome::incomplete;
    snapshot_index = 0;
    position = index;
    return Outcome::applied;
  }
  void send_delta(std::size_t number) {
    const Delta delta = history.delta(std::min(number, history.steps.size() - 1));
    const Outcome outcome = replica.apply(delta);
    RC_ASSERT(outcome == expected(delta));
    check();
  }
  void send_chunks(Index index, std::size_t from, std::size_t most) {
    const auto all = history.snapshot(index, kChunk);
    for (std::size_t i = from; i < std::min(all.size(), from + most); ++i) {
      const Outcome outcome = replica.apply(all[i]);
      RC_ASSERT(outcome == expected(index, i, all.size()));
      check();
    }
  }
  void check() {
    RC_ASSERT(replica.position() == position);
    RC_ASSERT(replica.records() == (position == 0 ? control::Records() : history.at(position)));
  }
  void reconnect() {
    replica.abandon_snapshot();
    snapshot_index = 0;
    cursor = history.next_after(position);
  }
  void step(int what) {
    const Index some_index = 1 + random() % history.last();
    switch (what) {
      case 0:
        cursor += 1 + random() % 3;
        break;  // a loss
      case 1:
        cursor -= std::min<std::size_t>(cursor, random() % 5);
        break;  // sent again
      case 2:
        send_delta(cursor + 1);
        break;  // out of order
      case 3:
        reconnect();
        break;  // and continues from its position
      case 4:
        send_chunks(some_index, 0, 1 + random() % 8);
        break;  // perhaps incomplete
      case 5:
        send_chunks(snapshot_index == 0 ? some_index : snapshot_index, random() % 4, 2);
        break;
      case 6:
        send_chunks(some_index, 0, history.steps.size());
        break;
      default:
        send_delta(cursor++);
        break;
    }
  }
  void finish() {
    reconnect();
    if (position == 0)
      send_chunks(history.steps[9].index, 0, history.steps.size());
    for (cursor = history.next_after(position); cursor < history.steps.size(); ++cursor)
      send_delta(cursor);
    RC_ASSERT(replica.position() == history.last());
  }
};

bool scenarios_hold() {
  return property_holds(
      "a replica has exactly the state at its position", 2000,
      [] {
        Scenario scenario(*rc::gen::inRange<std::uint64_t>(1, 1000000));
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 12));
        for (const int step : steps)
          scenario.step(step);
        scenario.finish();
      },
      kHistorySeed);
}

TEST_CASE(
    "replica: losses, repeats, disorder and reconnects never lead to a state other than its position's") {
  CHECK(scenarios_hold());
}

TEST_CASE("replica: a change that is applied twice is detected") {
  FaultInjection::Scope injected("apply-twice");
  CHECK_FALSE(scenarios_hold());
}

TEST_CASE("replica: a change that is applied after a gap is detected") {
  FaultInjection::Scope injected("accept-gap");
  CHECK_FALSE(scenarios_hold());
}

}  // namespace
}  // namespace lotusyard::test
