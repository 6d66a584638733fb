// What a control node sends to a replica, and when.
#include "control/node_rig.h"

namespace lotusyard::test {
namespace {

TEST_CASE("who holds nothing gets the whole state in pieces, and what came meanwhile after it") {
  NodeRig rig;
  rig.transport.room = 2;
  rig.welcome(1, NodeRig::opening(0));
  rig.change(11);
  std::string bytes;
  Index position = 0;
  for (int i = 0; i < 20 && position < 11; ++i) {
    for (const Message& message : rig.transport.take(1)) {
      if (const auto* chunk = std::get_if<SnapshotChunk>(&message)) {
        CHECK(chunk->offset == bytes.size());
        CHECK(chunk->bytes.size() <= 8);
        bytes += chunk->bytes;
        if (bytes.size() == chunk->total)
          position = chunk->index;
      } else {
        CHECK(std::get<Delta>(message).after == position);
        position = std::get<Delta>(message).index;
      }
    }
    rig.node.on_writable(1);
  }
  CHECK(position == 11);
  CHECK(decode_records(bytes) == Records{{"k", "10"}});
}

TEST_CASE("nothing is queued for a slow reader, and one that is too slow takes a snapshot") {
  auto config = NodeRig::default_config();
  config.changes.changes = 4;
  NodeRig rig(config);
  rig.welcome(1, NodeRig::opening(10));
  rig.transport.room = 1;
  for (Index index = 11; index <= 14; ++index)
    rig.change(index);
  CHECK(rig.transport.waiting[1].size() == 1);
  CHECK(rig.transport.next<Delta>(1).index == 11);
  rig.node.on_writable(1);
  CHECK(rig.transport.next<Delta>(1).index == 12);
  for (Index index = 15; index <= 18; ++index)
    rig.change(index);  // the first of them goes out
  CHECK(rig.transport.next<Delta>(1).index == 13);
  rig.node.on_writable(1);
  CHECK(rig.transport.next<SnapshotChunk>(1).index == 18);
  CHECK(rig.count("snapshots") == 1);
}

TEST_CASE("a change that is too long for a delta reaches everybody in a snapshot") {
  NodeRig rig;
  rig.welcome(1, NodeRig::opening(10));
  rig.node.apply(11, {{"long", std::string(kMaxChangeBytes, 'x')}});
  CHECK(rig.transport.next<SnapshotChunk>(1).index == 11);
}

TEST_CASE("a resumption sends again, from what it names on") {
  NodeRig rig;
  rig.welcome(1, NodeRig::opening(10));
  rig.change(11);
  rig.change(12);
  rig.transport.take(1);
  rig.receive(1, Resume{11});
  CHECK(rig.transport.next<Delta>(1).index == 12);
  rig.transport.room = 0;
  rig.receive(1, Resume{11});
  rig.receive(1, Renew{1, 12, 12});  // it has everything by now
  CHECK(rig.transport.next<Grant>(1).duration.count() > 0);
  rig.transport.room = 10;
  rig.receive(1, Resume{9});  // before the log begins
  CHECK(rig.transport.next<SnapshotChunk>(1).index == 12);
  rig.receive(1, Resume{13});
  rig.check_fault(1, "future_position");
}

TEST_CASE("a resumption within a snapshot begins it anew") {
  NodeRig rig;
  rig.transport.room = 1;
  rig.welcome(1, NodeRig::opening(0));
  rig.node.on_writable(1);
  CHECK(rig.transport.next<SnapshotChunk>(1).offset == 0);
  rig.receive(1, Resume{0});  // one piece is left
  CHECK(rig.transport.next<SnapshotChunk>(1).offset == 0);
}

}  // namespace
}  // namespace lotusyard::test
