// Which records a control node sends to a replica, and when.
#include "control/node_fixture.h"

namespace lotusyard::test {
namespace {

TEST_CASE("an empty replica gets a snapshot in chunks, then the changes made meanwhile") {
  NodeFixture fixture;
  fixture.transport.room = 2;
  fixture.welcome(1, NodeFixture::open_message(0));
  fixture.change(11);
  std::string bytes;
  Index position = 0;
  for (int i = 0; i < 20 && position < 11; ++i) {
    for (const Message& message : fixture.transport.take(1)) {
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
    fixture.node.on_writable(1);
  }
  CHECK(position == 11);
  CHECK(decode_records(bytes) == Records{{"k", "10"}});
}

TEST_CASE("nothing is queued for a slow reader, and one that falls too far behind gets a snapshot") {
  auto config = NodeFixture::default_config();
  config.changes.changes = 4;
  NodeFixture fixture(config);
  fixture.welcome(1, NodeFixture::open_message(10));
  fixture.transport.room = 1;
  for (Index index = 11; index <= 14; ++index)
    fixture.change(index);
  CHECK(fixture.transport.waiting[1].size() == 1);
  CHECK(fixture.transport.next<Delta>(1).index == 11);
  fixture.node.on_writable(1);
  CHECK(fixture.transport.next<Delta>(1).index == 12);
  for (Index index = 15; index <= 18; ++index)
    fixture.change(index);  // only the first of them is sent
  CHECK(fixture.transport.next<Delta>(1).index == 13);
  fixture.node.on_writable(1);
  CHECK(fixture.transport.next<SnapshotChunk>(1).index == 18);
  CHECK(fixture.count("snapshots") == 1);
}

TEST_CASE("a change that is too long for a delta is sent in a snapshot") {
  NodeFixture fixture;
  fixture.welcome(1, NodeFixture::open_message(10));
  fixture.node.apply(11, {{"long", std::string(kMaxChangeBytes, 'x')}});
  CHECK(fixture.transport.next<SnapshotChunk>(1).index == 11);
}

TEST_CASE("a Resume causes the changes after its position to be sent again") {
  NodeFixture fixture;
  fixture.welcome(1, NodeFixture::open_message(10));
  fixture.change(11);
  fixture.change(12);
  fixture.transport.take(1);
  fixture.receive(1, Resume{11});
  CHECK(fixture.transport.next<Delta>(1).index == 12);
  fixture.transport.room = 0;
  fixture.receive(1, Resume{11});
  fixture.receive(1, Renew{1, 12, 12});  // everything has been sent before
  CHECK(fixture.transport.next<Grant>(1).duration.count() > 0);
  fixture.transport.room = 10;
  fixture.receive(1, Resume{9});  // before the first index of the log
  CHECK(fixture.transport.next<SnapshotChunk>(1).index == 12);
  fixture.receive(1, Resume{13});
  fixture.check_fault(1, "future_position");
}

TEST_CASE("a Resume during a snapshot restarts the snapshot") {
  NodeFixture fixture;
  fixture.transport.room = 1;
  fixture.welcome(1, NodeFixture::open_message(0));
  fixture.node.on_writable(1);
  CHECK(fixture.transport.next<SnapshotChunk>(1).offset == 0);
  fixture.receive(1, Resume{0});  // one chunk is left
  CHECK(fixture.transport.next<SnapshotChunk>(1).offset == 0);
}

}  // namespace
}  // namespace lotusyard::test
