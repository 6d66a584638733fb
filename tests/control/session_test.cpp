// An invoker's session: its renewals and its lease, the replica's progress, and its end.
#include "control/session.h"

#include "control/message_codec.h"
#include "control/session_rig.h"

namespace lotusyard::test {
namespace {

TEST_CASE("session: it opens with what the invoker is and holds, and renews at once and every beat") {
  SessionRig rig;
  rig.next_connect();
  CHECK(rig.transport.sent.empty());
  rig.session->on_connected(rig.now);
  const auto opens = rig.sent<control::Open>();
  REQUIRE(opens.size() == 1);
  CHECK((opens[0].cluster == "blue" && opens[0].invoker == "i1" && opens[0].zone == "z1"));
  CHECK((opens[0].incarnation == 7 && opens[0].position == 0));
  CHECK(opens[0].terms.lease == rig.lease());
  CHECK_FALSE(rig.session->open());
  rig.session->on_message(control::Welcome{"a", 1, {}}, rig.now);
  CHECK(rig.session->open());
  CHECK(rig.sent<control::Renew>().size() == 1);
  rig.grant_last(rig.lease());
  rig.run_granting(rig.lease(), rig.lease());
  const auto renewals = rig.sent<control::Renew>();
  REQUIRE(renewals.size() == 5);
  for (std::size_t i = 0; i < 5; ++i)
    CHECK(renewals[i].sequence == i + 1);
  CHECK((renewals[4].applied == 0 && renewals[4].quiesced_index == 0));
}

TEST_CASE("session: renewals report what was applied, and as settled never more than that") {
  SessionRig rig;
  rig.open();
  rig.session->set_quiesced_index(50);
  rig.snapshot(20);
  rig.run(rig.beat());
  CHECK((rig.sent<control::Renew>().back().applied == 20 &&
         rig.sent<control::Renew>().back().quiesced_index == 20));
  rig.grant_last(rig.lease());
  rig.delta(20, 60);
  rig.run(rig.beat());
  CHECK((rig.sent<control::Renew>().back().applied == 60 &&
         rig.sent<control::Renew>().back().quiesced_index == 50));
  rig.lose();
  rig.open();
  CHECK(rig.sent<control::Open>().back().position == 60);
  CHECK(rig.sent<control::Renew>().back().sequence == 1);  // by connection
}

TEST_CASE("session: a lease counts from when its renewal was sent, and is never shortened") {
  SessionRig rig;
  rig.open();
  const Millis sent = rig.now;
  CHECK_FALSE(rig.session->has_held_lease());
  rig.now += Millis(400);
  rig.grant(1, rig.lease());
  CHECK(rig.session->lease_until() == sent + rig.lease());
  CHECK(rig.session->holds_lease(sent + rig.lease() - Millis(1)));
  CHECK_FALSE(rig.session->holds_lease(sent + rig.lease()));
  rig.run(rig.beat());
  rig.grant_last(Millis(100));
  CHECK(rig.session->lease_until() == sent + rig.lease());
  CHECK(rig.session->has_held_lease());
}

TEST_CASE("session: a grant that answers nothing is counted, one of a renewal never sent ends the session") {
  SessionRig rig;
  rig.open();
  rig.grant(1, rig.lease());
  const Millis until = rig.session->lease_until();
  rig.now += Millis(100);
  rig.grant(1, rig.lease() * 2);
  CHECK(rig.count("grants_unknown") == 1);
  CHECK(rig.session->lease_until() == until);
  CHECK(rig.session->open());
  rig.grant(2, rig.lease());
  CHECK(rig.session->lease_until() == until);
  CHECK(rig.count("malformed") == 1);
  CHECK_FALSE(rig.session->open());
  CHECK_FALSE(rig.transport.connected);
}

TEST_CASE("session: a grant answers earlier renewals as well, and late answers to those change nothing") {
  SessionRig rig;
  rig.open();
  rig.run(rig.beat());
  REQUIRE(rig.sent<control::Renew>().size() == 2);
  rig.grant(2, rig.lease());
  const Millis until = rig.session->lease_until();
  rig.grant(1, rig.lease() * 2);
  CHECK(rig.session->lease_until() == until);
  CHECK(rig.count("grants_unknown") == 1);
  CHECK(rig.session->due() == rig.now + rig.beat());  // nothing is outstanding
}

TEST_CASE("session: the lease runs on while it moves, to its own end") {
  SessionRig rig;
  rig.open();
  rig.grant(1, rig.lease());
  const Millis until = rig.session->lease_until();
  rig.lose();
  CHECK(rig.session->lease_until() == until);
  rig.open();
  CHECK(rig.session->lease_until() == until);
  CHECK(rig.session->holds_lease(rig.now));
  CHECK_FALSE(rig.session->holds_lease(until));
}

TEST_CASE("session: after a long stop the lease is over, and a grant from before does not bring it back") {
  SessionRig rig;
  rig.open();
  rig.grant(1, rig.lease());
  rig.run(rig.beat());
  const Millis sent = rig.now;
  rig.now += Millis(60000);  // it did not run in this time
  CHECK_FALSE(rig.session->holds_lease(rig.now));
  rig.grant(2, rig.lease());
  CHECK(rig.session->lease_until() == sent + rig.lease());
  CHECK_FALSE(rig.session->holds_lease(rig.now));
  rig.session->tick(rig.now);
  CHECK(rig.session->open());
  CHECK(rig.sent<control::Renew>().size() == 3);  // one, not all that were left out
  rig.grant(3, Millis(0));                        // while it catches up
  CHECK(rig.session->open());
  rig.run(rig.beat());
  rig.grant(4, rig.lease());
  CHECK(rig.session->holds_lease(rig.now));
}

TEST_CASE("session: a gap is reported once, and a second one without progress ends the session") {
  SessionRig rig;
  rig.open();
  rig.snapshot(10);
  rig.delta(12, 14);
  REQUIRE(rig.sent<control::Resume>().size() == 1);
  CHECK(rig.sent<control::Resume>()[0].position == 10);
  rig.delta(8, 10);  // a duplicate is no progress
  rig.delta(10, 12);
  rig.delta(15, 16);
  REQUIRE(rig.sent<control::Resume>().size() == 2);
  CHECK(rig.sent<control::Resume>()[1].position == 12);
  CHECK(rig.session->open());
  rig.delta(15, 16);
  CHECK_FALSE(rig.session->open());
  CHECK(rig.sent<control::Resume>().size() == 2);
  CHECK((rig.count("gaps") == 3 && rig.count("gap_again") == 1));
  rig.open();
  rig.delta(15, 16);  // on another connection it is a first one again
  CHECK(rig.sent<control::Resume>().size() == 3);
  CHECK(rig.session->open());
}

TEST_CASE("session: a delta before any state is a gap, and a snapshot that was cut off begins anew") {
  SessionRig rig;
  rig.open();
  rig.delta(0, 3);
  CHECK(rig.sent<control::Resume>().size() == 1);
  const std::string bytes = control::encode_records({{"k", "v"}});
  rig.session->on_message(control::SnapshotChunk{5, 0, bytes.size(), bytes.substr(0, 4)}, rig.now);
  rig.lose();
  rig.open();
  rig.session->on_message(control::SnapshotChunk{5, 4, bytes.size(), bytes.substr(4)}, rig.now);
  CHECK_FALSE(rig.session->open());
  CHECK(rig.count("malformed") == 1);
  CHECK_FALSE(rig.replica.complete());
}

TEST_CASE("session: what only a node may receive, or comes out of turn, ends the session") {
  const std::vector<control::Message> wrong = {
      control::Open{},  control::Renew{1, 0, 0},          control::Resume{1},
      control::Close{}, control::Forward{"part", "word"}, control::Welcome{"a", 1, {}}};
  for (const control::Message& message : wrong) {
    SessionRig rig;
    rig.open();
    rig.session->on_message(control::Message(message), rig.now);
    CHECK(rig.count("malformed") == 1);
    CHECK_FALSE(rig.transport.connected);
  }
  for (const control::Message& early : {control::Message(control::Grant{1, Millis(100)}),
                                        control::Message(control::Delta{0, 1, control::encode_change({})})}) {
    SessionRig rig;
    rig.next_connect();
    rig.session->on_connected(rig.now);
    rig.session->on_message(control::Message(early), rig.now);
    CHECK(rig.count("malformed") == 1);
  }
}

TEST_CASE("session: close gives the lease up, says so, and nothing is connected again") {
  SessionRig rig;
  rig.open();
  rig.grant(1, rig.lease());
  rig.session->close(rig.now);
  CHECK(rig.sent<control::Close>().size() == 1);
  CHECK_FALSE(rig.session->holds_lease(rig.now));
  CHECK_FALSE(rig.transport.connected);
  CHECK(std::isinf(rig.session->due().count()));
  rig.session->on_message(control::Grant{1, rig.lease()}, rig.now);
  rig.session->on_disconnected(rig.now);
  rig.session->on_malformed(rig.now);
  for (int i = 0; i < 100; ++i)
    rig.session->tick(rig.now += Millis(1000));
  rig.session->close(rig.now);
  CHECK_FALSE(rig.session->holds_lease(Millis(0)));
  CHECK(rig.transport.connects.size() == 1);
  CHECK(rig.transport.disconnects == 1);
}

TEST_CASE("session: close before it is open says nothing") {
  SessionRig waiting;
  waiting.session->close(waiting.now);
  CHECK(waiting.transport.disconnects == 0);
  SessionRig connecting;
  connecting.next_connect();
  connecting.session->close(connecting.now);
  CHECK(connecting.transport.disconnects == 1);
  CHECK(connecting.transport.sent.empty());
}

TEST_CASE("session: words for the leader go out while it is open") {
  SessionRig rig;
  CHECK_FALSE(rig.session->forward("works", "word"));
  rig.open();
  CHECK(rig.session->forward("works", "word"));
  CHECK_FALSE(rig.session->forward("works", std::string(control::kMaxFrameBytesToNode, 'x')));
  CHECK_FALSE(rig.session->forward(std::string(control::kMaxNameBytes + 1, 'x'), "word"));
  REQUIRE(rig.sent<control::Forward>().size() == 1);
  CHECK(rig.sent<control::Forward>()[0].payload == "word");
}

}  // namespace
}  // namespace lotusyard::test
