// An invoker's session: its renewals, its lease, the progress of the replica, and its close.
#include "control/session.h"

#include "control/message_codec.h"
#include "control/session_fixture.h"

namespace lotusyard::test {
namespace {

TEST_CASE(
    "session: Open contains the invoker and its position, and renewals are sent at once and every "
    "heartbeat") {
  SessionFixture fixture;
  fixture.next_connect();
  CHECK(fixture.transport.sent.empty());
  fixture.session->on_connected(fixture.now);
  const auto opens = fixture.sent<control::Open>();
  REQUIRE(opens.size() == 1);
  CHECK((opens[0].cluster == "blue" && opens[0].invoker == "i1" && opens[0].zone == "z1"));
  CHECK((opens[0].incarnation == 7 && opens[0].position == 0));
  CHECK(opens[0].terms.lease == fixture.lease());
  CHECK_FALSE(fixture.session->open());
  fixture.session->on_message(control::Welcome{"a", 1, {}}, fixture.now);
  CHECK(fixture.session->open());
  CHECK(fixture.sent<control::Renew>().size() == 1);
  fixture.grant_last(fixture.lease());
  fixture.run_granting(fixture.lease(), fixture.lease());
  const auto renewals = fixture.sent<control::Renew>();
  REQUIRE(renewals.size() == 5);
  for (std::size_t i = 0; i < 5; ++i)
    CHECK(renewals[i].sequence == i + 1);
  CHECK((renewals[4].applied == 0 && renewals[4].quiesced_index == 0));
}

TEST_CASE("session: renewals report what was applied, and never more as quiesced") {
  SessionFixture fixture;
  fixture.open();
  fixture.session->set_quiesced_index(50);
  fixture.snapshot(20);
  fixture.run(fixture.heartbeat_interval());
  CHECK((fixture.sent<control::Renew>().back().applied == 20 &&
         fixture.sent<control::Renew>().back().quiesced_index == 20));
  fixture.grant_last(fixture.lease());
  fixture.delta(20, 60);
  fixture.run(fixture.heartbeat_interval());
  CHECK((fixture.sent<control::Renew>().back().applied == 60 &&
         fixture.sent<control::Renew>().back().quiesced_index == 50));
  fixture.drop_connection();
  fixture.open();
  CHECK(fixture.sent<control::Open>().back().position == 60);
  CHECK(fixture.sent<control::Renew>().back().sequence == 1);  // is counted per connection
}

TEST_CASE("session: a lease counts from the time its renewal was sent, and is never shortened") {
  SessionFixture fixture;
  fixture.open();
  const Millis sent = fixture.now;
  CHECK_FALSE(fixture.session->has_held_lease());
  fixture.now += Millis(400);
  fixture.grant(1, fixture.lease());
  CHECK(fixture.session->lease_until() == sent + fixture.lease());
  CHECK(fixture.session->holds_lease(sent + fixture.lease() - Millis(1)));
  CHECK_FALSE(fixture.session->holds_lease(sent + fixture.lease()));
  fixture.run(fixture.heartbeat_interval());
  fixture.grant_last(Millis(100));
  CHECK(fixture.session->lease_until() == sent + fixture.lease());
  CHECK(fixture.session->has_held_lease());
}

TEST_CASE(
    "session: a grant for no outstanding renewal is counted, one for a renewal never sent ends the session") {
  SessionFixture fixture;
  fixture.open();
  fixture.grant(1, fixture.lease());
  const Millis until = fixture.session->lease_until();
  fixture.now += Millis(100);
  fixture.grant(1, fixture.lease() * 2);
  CHECK(fixture.count("grants_unknown") == 1);
  CHECK(fixture.session->lease_until() == until);
  CHECK(fixture.session->open());
  fixture.grant(2, fixture.lease());
  CHECK(fixture.session->lease_until() == until);
  CHECK(fixture.count("malformed") == 1);
  CHECK_FALSE(fixture.session->open());
  CHECK_FALSE(fixture.transport.connected);
}

TEST_CASE("session: a grant also completes earlier renewals, and late grants for those change nothing") {
  SessionFixture fixture;
  fixture.open();
  fixture.run(fixture.heartbeat_interval());
  REQUIRE(fixture.sent<control::Renew>().size() == 2);
  fixture.grant(2, fixture.lease());
  const Millis until = fixture.session->lease_until();
  fixture.grant(1, fixture.lease() * 2);
  CHECK(fixture.session->lease_until() == until);
  CHECK(fixture.count("grants_unknown") == 1);
  CHECK(fixture.session->due() == fixture.now + fixture.heartbeat_interval());  // nothing is outstanding
}

TEST_CASE("session: the lease continues to its end while the session reconnects") {
  SessionFixture fixture;
  fixture.open();
  fixture.grant(1, fixture.lease());
  const Millis until = fixture.session->lease_until();
  fixture.drop_connection();
  CHECK(fixture.session->lease_until() == until);
  fixture.open();
  CHECK(fixture.session->lease_until() == until);
  CHECK(fixture.session->holds_lease(fixture.now));
  CHECK_FALSE(fixture.session->holds_lease(until));
}

TEST_CASE("session: after a long stop the lease has expired, and a grant from before does not renew it") {
  SessionFixture fixture;
  fixture.open();
  fixture.grant(1, fixture.lease());
  fixture.run(fixture.heartbeat_interval());
  const Millis sent = fixture.now;
  fixture.now += Millis(60000);  // the process did not run meanwhile
  CHECK_FALSE(fixture.session->holds_lease(fixture.now));
  fixture.grant(2, fixture.lease());
  CHECK(fixture.session->lease_until() == sent + fixture.lease());
  CHECK_FALSE(fixture.session->holds_lease(fixture.now));
  fixture.session->tick(fixture.now);
  CHECK(fixture.session->open());
  CHECK(fixture.sent<control::Renew>().size() == 3);  // one, not all that were missed
  fixture.grant(3, Millis(0));                        // while it catches up
  CHECK(fixture.session->open());
  fixture.run(fixture.heartbeat_interval());
  fixture.grant(4, fixture.lease());
  CHECK(fixture.session->holds_lease(fixture.now));
}

TEST_CASE("session: a gap is reported once, and a second one without progress ends the session") {
  SessionFixture fixture;
  fixture.open();
  fixture.snapshot(10);
  fixture.delta(12, 14);
  REQUIRE(fixture.sent<control::Resume>().size() == 1);
  CHECK(fixture.sent<control::Resume>()[0].position == 10);
  fixture.delta(8, 10);  // a duplicate is no progress
  fixture.delta(10, 12);
  fixture.delta(15, 16);
  REQUIRE(fixture.sent<control::Resume>().size() == 2);
  CHECK(fixture.sent<control::Resume>()[1].position == 12);
  CHECK(fixture.session->open());
  fixture.delta(15, 16);
  CHECK_FALSE(fixture.session->open());
  CHECK(fixture.sent<control::Resume>().size() == 2);
  CHECK((fixture.count("gaps") == 3 && fixture.count("gap_again") == 1));
  fixture.open();
  fixture.delta(15, 16);  // the first gap on this connection
  CHECK(fixture.sent<control::Resume>().size() == 3);
  CHECK(fixture.session->open());
}

TEST_CASE("session: a delta before any snapshot is a gap, and an interrupted snapshot must be restarted") {
  SessionFixture fixture;
  fixture.open();
  fixture.delta(0, 3);
  CHECK(fixture.sent<control::Resume>().size() == 1);
  const std::string bytes = control::encode_records({{"k", "v"}});
  fixture.session->on_message(control::SnapshotChunk{5, 0, bytes.size(), bytes.substr(0, 4)}, fixture.now);
  fixture.drop_connection();
  fixture.open();
  fixture.session->on_message(control::SnapshotChunk{5, 4, bytes.size(), bytes.substr(4)}, fixture.now);
  CHECK_FALSE(fixture.session->open());
  CHECK(fixture.count("malformed") == 1);
  CHECK_FALSE(fixture.replica.complete());
}

TEST_CASE("session: a message that only a node may receive, or in the wrong state, ends the session") {
  const std::vector<control::Message> wrong = {
      control::Open{},  control::Renew{1, 0, 0},          control::Resume{1},
      control::Close{}, control::Forward{"part", "word"}, control::Welcome{"a", 1, {}}};
  for (const control::Message& message : wrong) {
    SessionFixture fixture;
    fixture.open();
    fixture.session->on_message(control::Message(message), fixture.now);
    CHECK(fixture.count("malformed") == 1);
    CHECK_FALSE(fixture.transport.connected);
  }
  for (const control::Message& early : {control::Message(control::Grant{1, Millis(100)}),
                                        control::Message(control::Delta{0, 1, control::encode_change({})})}) {
    SessionFixture fixture;
    fixture.next_connect();
    fixture.session->on_connected(fixture.now);
    fixture.session->on_message(control::Message(early), fixture.now);
    CHECK(fixture.count("malformed") == 1);
  }
}

TEST_CASE("session: close releases the lease, sends Close, and never connects again") {
  SessionFixture fixture;
  fixture.open();
  fixture.grant(1, fixture.lease());
  fixture.session->close(fixture.now);
  CHECK(fixture.sent<control::Close>().size() == 1);
  CHECK_FALSE(fixture.session->holds_lease(fixture.now));
  CHECK_FALSE(fixture.transport.connected);
  CHECK(std::isinf(fixture.session->due().count()));
  fixture.session->on_message(control::Grant{1, fixture.lease()}, fixture.now);
  fixture.session->on_disconnected(fixture.now);
  fixture.session->on_malformed(fixture.now);
  for (int i = 0; i < 100; ++i)
    fixture.session->tick(fixture.now += Millis(1000));
  fixture.session->close(fixture.now);
  CHECK_FALSE(fixture.session->holds_lease(Millis(0)));
  CHECK(fixture.transport.connects.size() == 1);
  CHECK(fixture.transport.disconnects == 1);
}

TEST_CASE("session: close sends nothing before the session is open") {
  SessionFixture waiting;
  waiting.session->close(waiting.now);
  CHECK(waiting.transport.disconnects == 0);
  SessionFixture connecting;
  connecting.next_connect();
  connecting.session->close(connecting.now);
  CHECK(connecting.transport.disconnects == 1);
  CHECK(connecting.transport.sent.empty());
}

TEST_CASE("session: messages are forwarded while it is open") {
  SessionFixture fixture;
  CHECK_FALSE(fixture.session->forward("works", "word"));
  fixture.open();
  CHECK(fixture.session->forward("works", "word"));
  CHECK_FALSE(fixture.session->forward("works", std::string(control::kMaxFrameBytesToNode, 'x')));
  CHECK_FALSE(fixture.session->forward(std::string(control::kMaxNameBytes + 1, 'x'), "word"));
  REQUIRE(fixture.sent<control::Forward>().size() == 1);
  CHECK(fixture.sent<control::Forward>()[0].payload == "word");
}

}  // namespace
}  // namespace lotusyard::test
