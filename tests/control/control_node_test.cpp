// The sessions of a control node, message by message.
#include "control/node_fixture.h"

namespace lotusyard::test {
namespace {

TEST_CASE("a Welcome contains the node, its incarnation and the other nodes") {
  NodeFixture fixture;
  fixture.node.set_nodes({{"n1", "10.0.0.1:1", "z", "r"}, {"n2", "10.0.0.2:1", "y", "r"}});
  fixture.open(1, NodeFixture::open_message(10));
  const auto welcome = fixture.transport.next<Welcome>(1);
  CHECK(welcome.node_incarnation == 7);
  REQUIRE(welcome.nodes.size() == 1);
  CHECK(welcome.nodes[0].name == "n2");
  CHECK(fixture.transport.waiting[1].empty());  // the replica is up to date
  CHECK(fixture.node.sessions().connected() == 1);
}

TEST_CASE("an Open of another version, cluster or terms, or from ahead of the node, is refused") {
  NodeFixture fixture;
  Open other = NodeFixture::open_message(10);
  other.version = kProtocolVersion + 1;
  fixture.open(1, other);
  fixture.check_refused(1, "other_version");
  other = NodeFixture::open_message(10);
  other.cluster = "d";
  fixture.open(2, other);
  fixture.check_refused(2, "other_cluster");
  other = NodeFixture::open_message(10);
  other.terms.clock_drift = 0.02;
  fixture.open(3, other);
  fixture.check_refused(3, "other_terms");
  fixture.open(4, NodeFixture::open_message(11));
  fixture.check_refused(4, "node_behind");
  CHECK(fixture.node.sessions().size() == 0);
}

TEST_CASE("a refusal because the node is full or busy has a retry-after time") {
  auto config = NodeFixture::default_config();
  config.sessions.max_sessions = 1;
  NodeFixture full(config);
  full.welcome(1, NodeFixture::open_message(10));
  full.open(2, NodeFixture::open_message(10, "b"));
  CHECK(std::get<Refusal>(full.transport.waiting[2].front()).retry_after > Millis(0));
  full.check_refused(2, "full");

  config = NodeFixture::default_config();
  config.sessions.open_burst = 1;
  NodeFixture busy(config);
  busy.welcome(1, NodeFixture::open_message(10));
  busy.open(2, NodeFixture::open_message(10, "b"));
  CHECK(std::get<Refusal>(busy.transport.waiting[2].front()).retry_after > Millis(0));
  busy.check_refused(2, "busy");
}

TEST_CASE("an Open must come first and only once, and messages that only nodes send are malformed") {
  NodeFixture fixture;
  fixture.node.on_connected(1);
  fixture.receive(1, Renew{1, 10, 10});
  fixture.check_fault(1, "malformed");
  std::uint64_t connection = 1;
  for (const Message& message :
       {Message(NodeFixture::open_message(10)), Message(Welcome{}), Message(Refusal{}), Message(Grant{}),
        Message(SnapshotChunk{}), Message(Delta{})}) {
    fixture.welcome(++connection, NodeFixture::open_message(10));
    fixture.receive(connection, message);
    CHECK(fixture.count("malformed") == connection);
    CHECK(fixture.transport.ended(connection));
  }
  fixture.welcome(++connection, NodeFixture::open_message(10));
  fixture.node.on_malformed(connection);
  fixture.node.on_malformed(connection);  // is not counted again after the close
  CHECK(fixture.count("malformed") == connection);
  fixture.receive(connection, Renew{1, 10, 10});
  CHECK(fixture.transport.waiting[connection].empty());
}

TEST_CASE("a renewal is answered with a lease, in order") {
  NodeFixture fixture;
  fixture.welcome(1, NodeFixture::open_message(10));
  fixture.receive(1, Renew{1, 10, 10});
  const auto grant = fixture.transport.next<Grant>(1);
  CHECK((grant.sequence == 1 && grant.duration == raft::LeaseTerms().lease));
  fixture.change(11);
  fixture.receive(1, Renew{2, 11, 10});
  CHECK(fixture.transport.next<Delta>(1).index == 11);
  CHECK(fixture.transport.next<Grant>(1).sequence == 2);
  fixture.node.set_lease(fixture.now);
  fixture.receive(1, Renew{3, 11, 11});
  CHECK(fixture.transport.next<Grant>(1).duration.count() == 0);
}

TEST_CASE("an impossible renewal closes its connection") {
  const auto check = [](const Renew& renew, const char* counter) {
    NodeFixture fixture;
    fixture.change(12);
    fixture.welcome(1, NodeFixture::open_message(12));
    fixture.transport.room = 0;
    fixture.change(13);  // applied at the node, not sent yet
    fixture.receive(1, renew);
    fixture.check_fault(1, counter);
  };
  check(Renew{1, 13, 12}, "future_position");
  check(Renew{1, 99, 12}, "future_position");
  check(Renew{1, 11, 11}, "malformed");  // lower than before
  check(Renew{1, 12, 13}, "malformed");  // more quiesced than applied
  check(Renew{2, 12, 12}, "malformed");
  check(Renew{0, 12, 12}, "malformed");
}

TEST_CASE(
    "a newer connection of an incarnation supersedes the older, and another incarnation has its own "
    "session") {
  NodeFixture fixture;
  fixture.welcome(1, NodeFixture::open_message(10));
  fixture.receive(1, Renew{1, 10, 10});
  fixture.welcome(2, NodeFixture::open_message(10));
  CHECK(fixture.transport.ended(1));
  CHECK(fixture.node.sessions().size() == 1);
  fixture.node.on_disconnected(1);  // the transport may report it, but need not
  CHECK(fixture.node.sessions().connected() == 1);
  fixture.receive(2, Renew{1, 10, 10});
  CHECK(fixture.transport.next<Grant>(2).sequence == 1);
  fixture.welcome(3, NodeFixture::open_message(10, "a", 2));
  CHECK_FALSE(fixture.transport.ended(2));
  CHECK(fixture.node.sessions().connected() == 2);
}

TEST_CASE(
    "an Open behind the position that its incarnation has reported is malformed, and its lease still "
    "counts") {
  NodeFixture fixture;
  fixture.change(11);
  fixture.welcome(1, NodeFixture::open_message(11));
  fixture.receive(1, Renew{1, 11, 11});
  fixture.node.on_disconnected(1);
  fixture.open(2, NodeFixture::open_message(10));
  fixture.check_fault(2, "malformed");
  CHECK(fixture.transport.waiting[2].empty());
  CHECK(fixture.node.sessions().size() == 1);
}

TEST_CASE("a lease outlasts its connection, and ends with a Close") {
  NodeFixture fixture;
  fixture.welcome(1, NodeFixture::open_message(10));
  fixture.receive(1, Renew{1, 10, 10});
  fixture.node.on_disconnected(1);
  fixture.change(11);
  CHECK(fixture.node.floors(fixture.now).applied == 10);
  fixture.welcome(2, NodeFixture::open_message(10));
  fixture.receive(2, Close{});
  CHECK(fixture.transport.ended(2));
  CHECK(fixture.node.floors(fixture.now).applied == 11);
  CHECK(fixture.node.floors(fixture.now).quiesced_index == 10);
  fixture.node.tick(fixture.now + Millis(2020));
  CHECK(fixture.node.sessions().size() == 0);
}

TEST_CASE("a session that opens again after its connection has ended supersedes none") {
  NodeFixture fixture;
  fixture.welcome(1, NodeFixture::open_message(10));
  fixture.receive(1, Renew{1, 10, 10});
  fixture.node.on_disconnected(1);
  fixture.welcome(2, NodeFixture::open_message(10));
  CHECK(fixture.count("superseded") == 0);
  CHECK_FALSE(fixture.transport.ended(1));  // its id may belong to another connection by now
}

TEST_CASE("a node that shuts down refuses all sessions, open and new") {
  NodeFixture fixture;
  fixture.welcome(1, NodeFixture::open_message(10));
  fixture.receive(1, Renew{1, 10, 10});
  fixture.transport.take(1);
  fixture.node.on_connected(2);
  fixture.node.shut_down();
  CHECK(fixture.transport.next<Refusal>(1).reason == RefusalReason::draining);
  CHECK(fixture.transport.next<Refusal>(2).reason == RefusalReason::draining);
  CHECK((fixture.transport.ended(1) && fixture.transport.ended(2)));
  fixture.open(3, NodeFixture::open_message(10));
  CHECK(fixture.transport.next<Refusal>(3).reason == RefusalReason::draining);
  CHECK(fixture.count("refused.leaving") == 3);
  fixture.change(11);
  CHECK(fixture.node.floors(fixture.now).applied == 10);  // the leases continue
}

TEST_CASE("a grant contains the session's share if the node divides a budget, and no share without a lease") {
  NodeFixture fixture;
  fixture.node.set_share_source([&](SessionTable::SessionId session, Millis until) -> std::optional<double> {
    CHECK(until > fixture.now);
    return static_cast<double>(session) / 4;
  });
  fixture.welcome(1, NodeFixture::open_message(10));
  fixture.receive(1, Renew{1, 10, 10});
  const Grant grant = fixture.transport.next<Grant>(1);
  REQUIRE(grant.duration.count() > 0);
  CHECK(grant.share == 0.25);
  fixture.node.set_lease(Millis(0));
  fixture.receive(1, Renew{2, 10, 10});
  const Grant none = fixture.transport.next<Grant>(1);
  CHECK(none.duration.count() == 0);
  CHECK_FALSE(none.share.has_value());
}

TEST_CASE("messages are forwarded at a bounded rate per connection") {
  NodeFixture fixture;
  std::vector<std::string> forwarded;
  fixture.node.set_forward_handler([&](SessionTable::SessionId, const Forward& forward) {
    forwarded.push_back(forward.state_machine + forward.payload);
  });
  fixture.welcome(1, NodeFixture::open_message(10));
  fixture.welcome(2, NodeFixture::open_message(10, "b"));
  for (int i = 0; i < 100; ++i)
    fixture.receive(1, Forward{"p", "w"});
  CHECK(forwarded.size() == 40);
  CHECK(fixture.count("forwards_dropped") == 60);
  fixture.receive(2, Forward{"p", "other"});
  CHECK(forwarded.back() == "pother");
  fixture.now += Millis(1000);
  for (int i = 0; i < 100; ++i)
    fixture.receive(1, Forward{"p", "w"});
  CHECK(forwarded.size() == 61);
  CHECK_FALSE(fixture.transport.ended(1));
}

}  // namespace
}  // namespace lotusyard::test
