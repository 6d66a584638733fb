// The view of the fleet in its pure form: timelines drawn as text, merges in any order, random schedules, and
// the checks themselves checked by rules broken on purpose.
#include <rapidcheck.h>

#include <iostream>

#include "gossip/gossip_network.h"
#include "support/fault_injection.h"

namespace lotusyard::test {
namespace {

std::string drawn(const ViewNet& net) { return "\n" + net.head() + net.drawing; }

// A column is what one node believes of a, b, c, d: + alive, ~ joining, ? suspect, x dead, < left, . not
// known. The time is in probe periods.
TEST_CASE("timeline: a fleet starts, a member crashes and comes back") {
  ViewNet net(1, 4);
  net.start_all();
  net.run(1500);
  net.events.clear();
  net.run(100, true);
  net.crash(2);
  net.run(6000, true);
  net.start(2);
  net.run(3000, true);
  CHECK(drawn(net) == R"(
       a     b     c     d   
  3.0  ++++  ++++  +++.  ++++
  3.0  ++++  ++++  ++++  ++++
  4.0  ++++  ++++        ++++   c crashes
  5.0  ++++  ++?+        ++?+
  5.0  ++?+  ++?+        ++?+
  7.4  ++x+  ++?+        ++?+
  8.1  ++x+  ++?+        ++x+
  8.3  ++x+  ++x+        ++x+
 15.2  ++x+  ++x+  ..+.  ++x+   c starts
 15.2  ++x+  ++++  ..+.  ++x+
 15.3  ++x+  ++++  ++++  ++x+
 16.0  ++++  ++++  ++++  ++x+
 16.1  ++++  ++++  ++++  ++++
)");
}

TEST_CASE(
    "timeline: a fleet is cut apart, each side holds the other for dead, and they find each other again") {
  ViewNet net(1, 4);
  net.start_all();
  net.run(5000);
  net.events.clear();
  net.part({0, 1});
  net.run(9000, true);
  net.heal();
  net.run(4000, true);
  CHECK(drawn(net) == R"(
       a     b     c     d   
 10.0  ++++  ++++  ++++  ++++   a cut
 11.0  +++?  ++++  ?+++  ?+++
 11.4  +++?  +++?  ?+++  ?+++
 13.0  ++??  +++?  ??++  ??++
 13.0  ++??  ++??  ??++  ??++
 15.0  ++??  ++??  ??++  x?++
 15.1  ++??  ++??  x?++  x?++
 15.4  ++??  ++??  x?++  xx++
 16.0  ++??  ++??  xx++  xx++
 17.0  ++?x  ++??  xx++  xx++
 17.1  ++?x  ++?x  xx++  xx++
 17.8  ++?x  ++xx  xx++  xx++
 18.1  ++xx  ++xx  xx++  xx++
 28.0  ++xx  ++xx  xx++  xx++   links are back
 30.0  ++xx  ++xx  xx+?  xx++
 30.0  ++xx  ?+xx  xx+?  xx++
 30.1  ++xx  ?+xx  xx+?  x+?+
 30.1  ++xx  ?+xx  xx+?  x+++
 30.1  +?+x  ?+xx  xx+?  x+++
 30.1  +?+x  ?+xx  x+++  x+++
 30.1  +++x  ?+xx  x+++  x+++
 30.1  +++x  ?+xx  ++++  x+++
 30.1  +++x  +++x  ++++  x+++
 30.1  +++x  ++++  ++++  x+++
 31.1  ++++  ++++  ++++  x+++
 31.1  ++++  ++++  ++++  ++++
)");
}

TEST_CASE("timeline: a process that stood still for a minute accuses nobody, and speaks up when it goes on") {
  ViewNet net(3, 3);
  net.start_all();
  net.run(5000);
  net.events.clear();
  net.stall(1, 60000);
  net.run(64000, true);
  CHECK(drawn(net) == R"(
       a    b    c  
 10.0  +++  +++  +++   b stands still
 11.0  +?+  +++  +++
 11.1  +?+  +++  +?+
 13.5  +?+  +++  +x+
 14.0  +x+  +++  +x+
130.0  +x+  +++  +++
130.0  +++  +++  +++
)");
}

TEST_CASE("timeline: who leaves on purpose is nowhere held for dead") {
  ViewNet net(4, 3);
  net.start_all();
  net.run(5000);
  net.events.clear();
  net.leave(2);
  net.run(8000, true);
  CHECK(drawn(net) == R"(
       a    b    c  
 10.0  +++  +++        c leaves
 10.0  ++<  +++     
 10.0  ++<  ++<     
)");
}

TEST_CASE("of two processes of one name the later life stays, and the other holds its peace") {
  ViewNet net(5, 4);
  net.nodes[3].name = "a";  // at another address, and started later
  net.nodes[3].life = 5;
  net.start_all();
  net.run(5000);
  CHECK(net.nodes[0].swim->is_superseded());
  CHECK_FALSE(net.nodes[3].swim->is_superseded());
  CHECK(net.nodes[1].swim->member_table().find("a")->address == net.nodes[3].address);
}

TEST_CASE("a link that is cut one way only makes nobody dead, and little unrest") {
  ViewNet net(6, 8);
  net.start_all();
  net.run(5000);
  for (std::size_t i = 1; i < 5; ++i)
    net.cut.insert({i, 0});  // half of them cannot reach a
  const auto before = net.changes;
  net.run(120000);
  for (const auto& n : net.nodes)
    CHECK(n.swim->member_table().find("a")->status != MemberStatus::dead);
  CHECK(net.changes - before < 8 * 8 * 4);  // nobody flaps: as much as four pieces of gossip known to all
}

// ---- Merges ----

gossip::HostObservation some_fact() {
  const auto few = [](int most) { return *rc::gen::inRange(0, most); };
  return {std::string(1, static_cast<char>('h' + few(2))),
          static_cast<double>(few(3)),
          std::string(1, static_cast<char>('a' + few(3))),
          static_cast<std::uint64_t>(few(2)),
          static_cast<std::uint64_t>(few(4)),
          few(2) == 0};
}
std::string state_of(const gossip::MemberMetadata& facts) {
  std::string out;
  for (const auto& f : facts.all())
    out += f.host + std::to_string(f.host_incarnation) + f.observer + std::to_string(f.observer_incarnation) +
           "." + std::to_string(f.sequence) + (f.usable ? "+" : "-") + " ";
  return out;
}
// Whether a property holds for so many cases; one that does not is printed, cut down, unless it was broken
// here.
template <typename Property>
bool holds(const char* what, int cases, const Property& property) {
  rc::detail::TestParams params;
  params.maxSuccess = cases;
  params.seed = 7;
  const auto result = rc::detail::checkTestable(property, rc::detail::TestMetadata{"", what}, params);
  const bool held = result.template is<rc::detail::SuccessResult>();
  if (!held && broken_rule.empty())
    rc::detail::printResultMessage(result, std::cerr);
  return held;
}
bool order_matters() {
  return !holds("facts merge alike in any order, repeated or not", 300, [] {
    const auto count = *rc::gen::inRange<std::size_t>(0, 12);
    std::vector<gossip::HostObservation> all;
    for (std::size_t i = 0; i < count; ++i)
      all.push_back(some_fact());
    gossip::MemberMetadata one, other;
    for (const auto& f : all)
      one.merge(f);
    std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
    for (int twice = 0; twice < 2; ++twice) {
      std::shuffle(all.begin(), all.end(), random);
      for (const auto& f : all)
        other.merge(f);
    }
    RC_ASSERT(state_of(one) == state_of(other));
  });
}

TEST_CASE("what members saw of hosts merges alike whatever comes in which order, how often") {
  CHECK_FALSE(order_matters());
  Breaks::Rule broken("merge-order");
  CHECK(order_matters());
}

TEST_CASE("records of an earlier life of a host, and of observers that are gone, go") {
  gossip::MemberMetadata facts;
  facts.merge({"h", 10, "a", 1, 1, false});
  facts.merge({"h", 20, "b", 1, 1, true});
  CHECK(facts.merge({"h", 10, "c", 1, 1, false}) == gossip::MemberMetadata::MergeResult::unchanged);
  CHECK(facts.all().size() == 1);
  CHECK(facts.failure_reports("h") == 0);
  facts.retain({"h"}, {"a"});
  CHECK(facts.all().empty());
  CHECK(facts.merge({"h", 10, "a", 1, 1, false}) ==
        gossip::MemberMetadata::MergeResult::unchanged);  // its life is remembered
  facts.retain({}, {"a"});
  CHECK(facts.hosts() == 0);
  Breaks::Rule broken("earlier-life");
  gossip::MemberMetadata faulty;
  faulty.merge({"h", 20, "b", 1, 1, true});
  CHECK(faulty.merge({"h", 10, "c", 1, 1, false}) != gossip::MemberMetadata::MergeResult::unchanged);
}

TEST_CASE("messages are read whole or not at all, however they are spoilt") {
  std::mt19937_64 random(3);
  gossip::Message m;
  m.self = {"a", "127.0.0.1:1", 3, 4, MemberStatus::alive, {}};
  m.members = {{"b", "127.0.0.1:2", 1, 0, MemberStatus::suspect, "c"}};
  m.observations = {{"h", 1.5, "a", 3, 9, false}};
  const std::string body = gossip::encode_message(m);
  const auto read = gossip::decode_message(body);
  REQUIRE(read);
  CHECK((read->members[0].suspected_by == "c" && read->observations[0].sequence == 9 &&
         read->self.refutation == 4));
  for (int i = 0; i < 4000; ++i) {
    std::string spoilt = body;
    if (i % 2 == 0)
      spoilt.resize(random() % spoilt.size());
    spoilt[random() % (spoilt.size() + 1)] = static_cast<char>(random());
    gossip::decode_message(spoilt);
  }
  CHECK_FALSE(gossip::decode_message(std::string(1U << 20, '[')));
  m.self.refutation = ~0ULL;
  CHECK_FALSE(gossip::decode_message(gossip::encode_message(m)));  // an incarnation that jumps
}

// ---- Schedules ----

// What is wrong after a made-up course of faults; empty: all is well. Each number is one fault.
std::string wrong_after(std::uint64_t seed, const std::vector<int>& course, std::string* drawing = nullptr) {
  ViewNet net(seed, 5);
  net.start_all();
  net.run(4000, drawing != nullptr);
  for (const int step : course) {
    const auto who = static_cast<std::size_t>(step % 5);
    switch (step / 5 % 6) {
      case 0:
        net.nodes[who].swim ? net.crash(who) : net.start(who);
        break;
      case 1:
        net.stall(who, 1000 + 400 * (step % 7));
        break;
      case 2:
        net.part({who, (who + 2) % 5});
        break;
      case 3:
        net.heal();
        break;
      case 4:
        net.cut.insert({who, (who + 1) % 5});
        break;
      default:
        net.loss = net.loss > 0 ? 0 : 0.2;
        break;
    }
    net.run(300 + 150 * (step % 11), drawing != nullptr);
  }
  net.loss = 0;
  net.heal();
  for (std::size_t i = 0; i < 5; ++i) {
    if (!net.nodes[i].swim)
      net.start(i);
  }
  const double took = net.settles(25000);
  if (drawing != nullptr)
    *drawing = drawn(net);
  return took < 0 ? "views differ 25 s after the last fault" : std::string();
}

bool goes_wrong(int cases) {
  return !holds("all agree again after the last fault", cases, [] {
    const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1000000);
    const auto course = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 330));
    const std::string wrong = wrong_after(seed, course);
    if (wrong.empty())
      return;
    std::string drawing;  // of the course as it is when it has been cut down
    wrong_after(seed, course, &drawing);
    RC_FAIL(wrong + drawing);
  });
}

TEST_CASE("after any course of crashes, stalls, cuts and losses all agree again, once faults end") {
  CHECK_FALSE(goes_wrong(3000));
}

TEST_CASE("a suspicion that cannot be refuted is found") {
  Breaks::Rule broken("refute");
  CHECK(goes_wrong(50));
}

// Accusations by a member that stood still itself, of others that were well all the time.
std::uint64_t accused_by_stalled(int seeds) {
  std::uint64_t out = 0;
  for (int seed = 1; seed <= seeds; ++seed) {
    ViewNet net(static_cast<std::uint64_t>(seed), 3);
    net.start_all();
    net.run(5000);
    net.stall(1, 60000);
    net.run(70000);
    out += net.nodes[1].swim->counts().suspected;
  }
  return out;
}
TEST_CASE("one that takes its own standstill for others' silence is found") {
  CHECK(accused_by_stalled(40) == 0);
  Breaks::Rule broken("stall");
  CHECK(accused_by_stalled(40) > 0);
}

TEST_CASE("who was forgotten is not brought back by one that was cut off for longer") {
  ViewNet net(9, 4);
  net.pace.forget_dead_after = Millis(30000);
  net.start_all();
  net.run(5000);
  net.part({0});
  net.crash(3);
  net.run(100000);
  CHECK(net.nodes[1].swim->member_table().find("d") == nullptr);
  net.heal();
  net.run(5000);
  for (std::size_t i = 0; i < 3; ++i)
    CHECK(net.nodes[i].swim->member_table().find("d") == nullptr);
}

TEST_CASE("tables are bounded, and those gone longest give their places") {
  gossip::GossipTiming pace;
  pace.max_members = 10;
  gossip::MemberTable member_table(pace);
  for (int i = 0; i < 10; ++i)
    member_table.merge(
        {"m" + std::to_string(i), "127.0.0.1:1", 1, 0, i < 2 ? MemberStatus::dead : MemberStatus::alive, {}},
        Millis(i));
  CHECK(member_table.merge({"x", "127.0.0.1:1", 1, 0, MemberStatus::alive, {}}, Millis(20)) ==
        gossip::MemberTable::MergeResult::updated);
  CHECK(member_table.find("m0") == nullptr);
  CHECK(member_table.merge({"y", "127.0.0.1:1", 1, 0, MemberStatus::alive, {}}, Millis(20)) ==
        gossip::MemberTable::MergeResult::updated);
  CHECK(member_table.merge({"z", "127.0.0.1:1", 1, 0, MemberStatus::alive, {}}, Millis(20)) ==
        gossip::MemberTable::MergeResult::rejected);
  CHECK(member_table.present_count() == 10);
}

}  // namespace
}  // namespace lotusyard::test
