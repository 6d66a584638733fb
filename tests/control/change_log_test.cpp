// The shared log of changes: which deltas and snapshots it offers, and up to where a replica is up to date.
#include "control/change_log.h"

#include "catch2/catch.hpp"
#include "control/message_codec.h"
#include "control/property.h"

namespace lotusyard::test {
namespace {

using control::Change;
using control::ChangeLog;
using control::Delta;
using control::Index;
using control::Records;

Change set(const std::string& key, const std::string& value) { return {{key, value}}; }

Delta delta_of(const ChangeLog::Entry& entry) {
  control::MessageReader reader(control::kMaxFrameBytesToInvoker);
  std::vector<control::Message> messages;
  REQUIRE(reader.parse(entry.frame, messages));
  REQUIRE(messages.size() == 1);
  return std::get<Delta>(messages[0]);
}

TEST_CASE("changes form one chain, and indexes without a change are covered") {
  ChangeLog log({});
  log.reset(10, {{"a", "1"}});
  log.append(11, {});
  log.append(12, set("a", "2"));
  log.append(15, set("b", "1"));
  log.append(17, {});
  CHECK(log.applied() == 17);
  CHECK(log.first() == 10);
  CHECK(log.records() == Records{{"a", "2"}, {"b", "1"}});

  REQUIRE(log.next_after(10) != nullptr);
  const Delta first = delta_of(*log.next_after(10));
  CHECK((first.after == 10 && first.index == 12));
  const Delta second = delta_of(*log.next_after(12));
  CHECK((second.after == 12 && second.index == 15));
  CHECK(control::decode_change(second.change) == set("b", "1"));
  CHECK(log.next_after(13)->index == 15);  // the position of a snapshot taken at another node
  CHECK(log.next_after(15) == nullptr);

  CHECK(log.covered(9) == 9);
  CHECK(log.covered(10) == 11);
  CHECK(log.covered(12) == 14);
  CHECK(log.covered(14) == 14);
  CHECK(log.covered(15) == 17);
  CHECK(log.covered(18) == 18);
}

TEST_CASE("an index that was already applied is ignored") {
  ChangeLog log({});
  log.reset(10, {});
  log.append(10, set("a", "late"));
  CHECK(log.records().empty());
  CHECK(log.next_after(0) == nullptr);
}

TEST_CASE("the log is bounded by count and by bytes, and its first index moves") {
  ChangeLog by_count({3, 1U << 20});
  for (Index index = 1; index <= 10; ++index)
    by_count.append(index * 2, set("k", "v"));
  CHECK(by_count.first() == 14);
  CHECK(by_count.next_after(14)->index == 16);
  CHECK(delta_of(*by_count.next_after(14)).after == 14);
  CHECK(by_count.covered(13) == 13);

  ChangeLog by_bytes({100, 5000});
  for (Index index = 1; index <= 10; ++index)
    by_bytes.append(index, set("k", std::string(1000, 'x')));
  CHECK(by_bytes.first() == 6);
  by_bytes.append(11, set("k", std::string(6000, 'x')));  // longer than the limit of the log
  CHECK(by_bytes.first() == 11);
  CHECK(by_bytes.next_after(11) == nullptr);
}

TEST_CASE("after a reset earlier replicas need a snapshot") {
  ChangeLog log({});
  for (Index index = 1; index <= 5; ++index)
    log.append(index, set("k", std::to_string(index)));
  log.reset(20, {{"k", "20"}});
  CHECK(log.first() == 20);
  CHECK(log.applied() == 20);
  CHECK(log.next_after(20) == nullptr);
  CHECK(log.snapshot()->index == 20);
  CHECK(control::decode_records(log.snapshot()->bytes) == Records{{"k", "20"}});
  log.append(21, set("k", "21"));
  CHECK(delta_of(*log.next_after(20)).after == 20);
}

TEST_CASE("a change that is too long for a delta is never omitted: every replica needs a snapshot") {
  ChangeLog log({});
  log.append(1, set("a", "1"));
  const auto before = log.snapshot();
  const std::string value(control::kMaxChangeBytes, 'x');
  log.append(2, set("b", value));
  CHECK(log.records().at("b") == value);
  CHECK(log.first() == 2);
  CHECK(log.covered(1) == 1);
  CHECK(log.snapshot() != before);
  CHECK(log.snapshot()->index == 2);
  log.append(3, set("a", "2"));
  CHECK(delta_of(*log.next_after(2)).after == 2);
}

TEST_CASE("the longest change that a replica accepts still goes out as a delta") {
  ChangeLog log({});
  log.append(1, set("a", "1"));
  const std::size_t frame = control::encode_change(set("b", "")).size();
  log.append(2, set("b", std::string(control::kMaxChangeBytes - frame, 'x')));
  CHECK(log.first() == 0);
  CHECK(control::decode_change(delta_of(*log.next_after(1)).change));
}

TEST_CASE("a snapshot is shared while little has changed since") {
  ChangeLog log({4, 1U << 20});
  log.reset(1, {{"long", std::string(1000, 'x')}});
  const auto first = log.snapshot();
  log.append(2, {});
  CHECK(log.snapshot() == first);
  log.append(3, set("a", "1"));
  CHECK(log.snapshot() == first);  // the change follows as a delta
  for (Index index = 4; index < 6; ++index)
    log.append(index, set("a", "2"));
  CHECK(log.snapshot() != first);  // the log would soon drop its changes
  CHECK(log.snapshot()->index == 5);
  log.append(6, set("b", std::string(2000, 'x')));
  CHECK(log.snapshot()->index == 6);  // the change is larger than the snapshot was
}

// A replica at any position reaches the current state by the deltas of the log or by a snapshot, and
// covered() is correct for it.
void check_scenario(const std::vector<int>& steps) {
  ChangeLog log({5, 600});
  std::map<Index, Records> states{{0, {}}};
  std::vector<Index> changed;
  for (const int step : steps) {
    const Index index = log.applied() + 1 + static_cast<Index>(step % 3);
    if (step % 17 == 0) {
      const Records records{{"reset", std::to_string(index)}};
      log.reset(index, records);
      changed.push_back(index);
    } else {
      const Change change =
          step % 4 == 0 ? Change{}
                        : set(std::string(1, static_cast<char>('a' + step % 5)), std::to_string(step));
      log.append(index, change);
      if (!change.empty())
        changed.push_back(index);
    }
    states[index] = log.records();
  }
  for (const auto& [position, state] : states) {
    const Index covered = log.covered(position);
    const auto next_change = std::upper_bound(changed.begin(), changed.end(), position);
    const Index exact = next_change == changed.end() ? log.applied() : *next_change - 1;
    RC_ASSERT(covered >= position);
    RC_ASSERT(covered <= exact);
    Index at = position;
    Records records = state;
    if (at < log.first()) {
      at = log.snapshot()->index;
      records = control::decode_records(log.snapshot()->bytes).value();
    } else {
      RC_ASSERT(covered == exact);
    }
    RC_ASSERT(at >= log.first());
    while (const auto* entry = log.next_after(at)) {
      RC_ASSERT(entry->after <= at);
      RC_ASSERT(at < entry->index);
      control::apply(records, *control::decode_change(delta_of(*entry).change));
      at = entry->index;
    }
    RC_ASSERT(records == log.records());
  }
}

TEST_CASE("the log leads from any position to the current state") {
  CHECK(property_holds("a replica catches up from any position", 300, [] {
    check_scenario(*rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1000)));
  }));
}

}  // namespace
}  // namespace lotusyard::test
