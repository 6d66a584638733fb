// A control node's sessions, message by message.
#include "control/node_rig.h"

namespace lotusyard::test {
namespace {

TEST_CASE("a welcome tells the node, its life and the other nodes") {
  NodeRig rig;
  rig.node.set_nodes({{"n1", "10.0.0.1:1", "z", "r"}, {"n2", "10.0.0.2:1", "y", "r"}});
  rig.open(1, NodeRig::opening(10));
  const auto welcome = rig.transport.next<Welcome>(1);
  CHECK(welcome.node_incarnation == 7);
  REQUIRE(welcome.nodes.size() == 1);
  CHECK(welcome.nodes[0].name == "n2");
  CHECK(rig.transport.waiting[1].empty());  // it holds everything
  CHECK(rig.node.sessions().connected() == 1);
}

TEST_CASE("openings of other versions, clusters and terms, and from ahead of the node, are refused") {
  NodeRig rig;
  Open other = NodeRig::opening(10);
  other.version = kProtocolVersion + 1;
  rig.open(1, other);
  rig.check_refused(1, "other_version");
  other = NodeRig::opening(10);
  other.cluster = "d";
  rig.open(2, other);
  rig.check_refused(2, "other_cluster");
  other = NodeRig::opening(10);
  other.terms.clock_drift = 0.02;
  rig.open(3, other);
  rig.check_refused(3, "other_terms");
  rig.open(4, NodeRig::opening(11));
  rig.check_refused(4, "node_behind");
  CHECK(rig.node.sessions().size() == 0);
}

TEST_CASE("admission that is full or busy says when to try again") {
  auto config = NodeRig::default_config();
  config.sessions.max_sessions = 1;
  NodeRig full(config);
  full.welcome(1, NodeRig::opening(10));
  full.open(2, NodeRig::opening(10, "b"));
  CHECK(std::get<Refusal>(full.transport.waiting[2].front()).retry_after > Millis(0));
  full.check_refused(2, "full");

  config = NodeRig::default_config();
  config.sessions.open_burst = 1;
  NodeRig busy(config);
  busy.welcome(1, NodeRig::opening(10));
  busy.open(2, NodeRig::opening(10, "b"));
  CHECK(std::get<Refusal>(busy.transport.waiting[2].front()).retry_after > Millis(0));
  busy.check_refused(2, "busy");
}

TEST_CASE("an opening comes first and once, and what only nodes send is malformed") {
  NodeRig rig;
  rig.node.on_connected(1);
  rig.receive(1, Renew{1, 10, 10});
  rig.check_fault(1, "malformed");
  std::uint64_t connection = 1;
  for (const Message& message : {Message(NodeRig::opening(10)), Message(Welcome{}), Message(Refusal{}),
                                 Message(Grant{}), Message(SnapshotChunk{}), Message(Delta{})}) {
    rig.welcome(++connection, NodeRig::opening(10));
    rig.receive(connection, message);
    CHECK(rig.count("malformed") == connection);
    CHECK(rig.transport.ended(connection));
  }
  rig.welcome(++connection, NodeRig::opening(10));
  rig.node.on_malformed(connection);
  rig.node.on_malformed(connection);  // once it has ended it is no more counted
  CHECK(rig.count("malformed") == connection);
  rig.receive(connection, Renew{1, 10, 10});
  CHECK(rig.transport.waiting[connection].empty());
}

TEST_CASE("a renewal is answered with a lease, in order") {
  NodeRig rig;
  rig.welcome(1, NodeRig::opening(10));
  rig.receive(1, Renew{1, 10, 10});
  const auto grant = rig.transport.next<Grant>(1);
  CHECK((grant.sequence == 1 && grant.duration == raft::LeaseTerms().lease));
  rig.change(11);
  rig.receive(1, Renew{2, 11, 10});
  CHECK(rig.transport.next<Delta>(1).index == 11);
  CHECK(rig.transport.next<Grant>(1).sequence == 2);
  rig.node.set_lease(rig.now);
  rig.receive(1, Renew{3, 11, 11});
  CHECK(rig.transport.next<Grant>(1).duration.count() == 0);
}

TEST_CASE("a renewal that cannot be true ends its link") {
  const auto check = [](const Renew& renew, const char* counter) {
    NodeRig rig;
    rig.change(12);
    rig.welcome(1, NodeRig::opening(12));
    rig.transport.room = 0;
    rig.change(13);  // applied here, not sent yet
    rig.receive(1, renew);
    rig.check_fault(1, counter);
  };
  check(Renew{1, 13, 12}, "future_position");
  check(Renew{1, 99, 12}, "future_position");
  check(Renew{1, 11, 11}, "malformed");  // goes back
  check(Renew{1, 12, 13}, "malformed");  // more settled than applied
  check(Renew{2, 12, 12}, "malformed");
  check(Renew{0, 12, 12}, "malformed");
}

TEST_CASE("of two links of one incarnation the newer wins, and another incarnation has its own session") {
  NodeRig rig;
  rig.welcome(1, NodeRig::opening(10));
  rig.receive(1, Renew{1, 10, 10});
  rig.welcome(2, NodeRig::opening(10));
  CHECK(rig.transport.ended(1));
  CHECK(rig.node.sessions().size() == 1);
  rig.node.on_disconnected(1);  // the transport need not say so, but may
  CHECK(rig.node.sessions().connected() == 1);
  rig.receive(2, Renew{1, 10, 10});
  CHECK(rig.transport.next<Grant>(2).sequence == 1);
  rig.welcome(3, NodeRig::opening(10, "a", 2));
  CHECK_FALSE(rig.transport.ended(2));
  CHECK(rig.node.sessions().connected() == 2);
}

TEST_CASE("an incarnation that opens behind its own report is malformed, and its lease still counts") {
  NodeRig rig;
  rig.change(11);
  rig.welcome(1, NodeRig::opening(11));
  rig.receive(1, Renew{1, 11, 11});
  rig.node.on_disconnected(1);
  rig.open(2, NodeRig::opening(10));
  rig.check_fault(2, "malformed");
  CHECK(rig.transport.waiting[2].empty());
  CHECK(rig.node.sessions().size() == 1);
}

TEST_CASE("a lease outlives its link, and ends with a close") {
  NodeRig rig;
  rig.welcome(1, NodeRig::opening(10));
  rig.receive(1, Renew{1, 10, 10});
  rig.node.on_disconnected(1);
  rig.change(11);
  CHECK(rig.node.floors(rig.now).applied == 10);
  rig.welcome(2, NodeRig::opening(10));
  rig.receive(2, Close{});
  CHECK(rig.transport.ended(2));
  CHECK(rig.node.floors(rig.now).applied == 11);
  CHECK(rig.node.floors(rig.now).quiesced_index == 10);
  rig.node.tick(rig.now + Millis(2020));
  CHECK(rig.node.sessions().size() == 0);
}

TEST_CASE("a session that opens again after its link has ended supersedes none") {
  NodeRig rig;
  rig.welcome(1, NodeRig::opening(10));
  rig.receive(1, Renew{1, 10, 10});
  rig.node.on_disconnected(1);
  rig.welcome(2, NodeRig::opening(10));
  CHECK(rig.count("superseded") == 0);
  CHECK_FALSE(rig.transport.ended(1));  // its number may be another's by now
}

TEST_CASE("a node that leaves sends everybody away, and takes nobody") {
  NodeRig rig;
  rig.welcome(1, NodeRig::opening(10));
  rig.receive(1, Renew{1, 10, 10});
  rig.transport.take(1);
  rig.node.on_connected(2);
  rig.node.shut_down();
  CHECK(rig.transport.next<Refusal>(1).reason == RefusalReason::draining);
  CHECK(rig.transport.next<Refusal>(2).reason == RefusalReason::draining);
  CHECK((rig.transport.ended(1) && rig.transport.ended(2)));
  rig.open(3, NodeRig::opening(10));
  CHECK(rig.transport.next<Refusal>(3).reason == RefusalReason::draining);
  CHECK(rig.count("refused.leaving") == 3);
  rig.change(11);
  CHECK(rig.node.floors(rig.now).applied == 10);  // its leases run on
}

TEST_CASE("a grant carries the session's share where the node divides one, and no share without a lease") {
  NodeRig rig;
  rig.node.set_share_source([&](SessionTable::SessionId session, Millis until) -> std::optional<double> {
    CHECK(until > rig.now);
    return static_cast<double>(session) / 4;
  });
  rig.welcome(1, NodeRig::opening(10));
  rig.receive(1, Renew{1, 10, 10});
  const Grant grant = rig.transport.next<Grant>(1);
  REQUIRE(grant.duration.count() > 0);
  CHECK(grant.share == 0.25);
  rig.node.set_lease(Millis(0));
  rig.receive(1, Renew{2, 10, 10});
  const Grant none = rig.transport.next<Grant>(1);
  CHECK(none.duration.count() == 0);
  CHECK_FALSE(none.share.has_value());
}

TEST_CASE("words are forwarded at a bounded rate by link") {
  NodeRig rig;
  std::vector<std::string> words;
  rig.node.set_forward_handler([&](SessionTable::SessionId, const Forward& forward) {
    words.push_back(forward.state_machine + forward.payload);
  });
  rig.welcome(1, NodeRig::opening(10));
  rig.welcome(2, NodeRig::opening(10, "b"));
  for (int i = 0; i < 100; ++i)
    rig.receive(1, Forward{"p", "w"});
  CHECK(words.size() == 40);
  CHECK(rig.count("forwards_dropped") == 60);
  rig.receive(2, Forward{"p", "other"});
  CHECK(words.back() == "pother");
  rig.now += Millis(1000);
  for (int i = 0; i < 100; ++i)
    rig.receive(1, Forward{"p", "w"});
  CHECK(words.size() == 61);
  CHECK_FALSE(rig.transport.ended(1));
}

}  // namespace
}  // namespace lotusyard::test
