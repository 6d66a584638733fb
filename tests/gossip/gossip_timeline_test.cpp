// The members' tables over time, drawn as text, while members crash, restart, pause and leave.
#include "gossip/gossip_network.h"

namespace lotusyard::test {
namespace {

std::string drawing_of(const GossipNetwork& network) { return "\n" + network.header() + network.drawing; }

// Each column shows one node's table, with a mark for a, b, c and d: + alive, ~ joining, ? suspect, x dead,
// < left, . unknown. The time is in probe periods.
TEST_CASE("timeline: all members start, one crashes and restarts") {
  GossipNetwork network(1, 4);
  network.start_all();
  network.run(1500);
  network.events.clear();
  network.run(100, true);
  network.crash(2);
  network.run(6000, true);
  network.start(2);
  network.run(3000, true);
  CHECK(drawing_of(network) == R"(
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

TEST_CASE("timeline: in a partition each side declares the other dead, and both rejoin after it") {
  GossipNetwork network(1, 4);
  network.start_all();
  network.run(5000);
  network.events.clear();
  network.cut_off({0, 1});
  network.run(9000, true);
  network.heal();
  network.run(4000, true);
  CHECK(drawing_of(network) == R"(
       a     b     c     d   
 10.0  ++++  ++++  ++++  ++++   links cut
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
 28.0  ++xx  ++xx  xx++  xx++   links healed
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

TEST_CASE("timeline: a process that was paused for a minute suspects no member, and refutes its own death") {
  GossipNetwork network(3, 3);
  network.start_all();
  network.run(5000);
  network.events.clear();
  network.stall(1, 60000);
  network.run(64000, true);
  CHECK(drawing_of(network) == R"(
       a    b    c  
 10.0  +++  +++  +++   b pauses
 11.0  +?+  +++  +++
 11.1  +?+  +++  +?+
 13.5  +?+  +++  +x+
 14.0  +x+  +++  +x+
130.0  +x+  +++  +++
130.0  +++  +++  +++
)");
}

TEST_CASE("timeline: no member declares a member dead that leaves") {
  GossipNetwork network(4, 3);
  network.start_all();
  network.run(5000);
  network.events.clear();
  network.leave(2);
  network.run(8000, true);
  CHECK(drawing_of(network) == R"(
       a    b    c  
 10.0  +++  +++        c leaves
 10.0  ++<  +++     
 10.0  ++<  ++<     
)");
}

TEST_CASE("of two processes of one name the later incarnation stays, and the other stops sending") {
  GossipNetwork network(5, 4);
  network.nodes[3].name = "a";  // at another address, and started later
  network.nodes[3].incarnation = 5;
  network.start_all();
  network.run(5000);
  CHECK(network.nodes[0].swim->is_superseded());
  CHECK_FALSE(network.nodes[3].swim->is_superseded());
  CHECK(network.nodes[1].swim->member_table().find("a")->address == network.nodes[3].address);
}

TEST_CASE("links that are cut in one direction cause no declared death and few changes") {
  GossipNetwork network(6, 8);
  network.start_all();
  network.run(5000);
  for (std::size_t i = 1; i < 5; ++i)
    network.cut.insert({i, 0});  // half of them cannot reach a
  const auto before = network.changes;
  network.run(120000);
  for (const auto& node : network.nodes)
    CHECK(node.swim->member_table().find("a")->status != MemberStatus::dead);
  CHECK(network.changes - before < 8 * 8 * 4);  // no flapping: at most four updates that reach all members
}

}  // namespace
}  // namespace lotusyard::test
