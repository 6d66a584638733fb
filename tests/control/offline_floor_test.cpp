// The index that also invokers without a lease have reached, for each way in which one can be unaccounted
// for.
#include "control/offline_floor.h"

#include <catch2/catch.hpp>

#include "control/session_table.h"

using namespace lotusyard::control;
using lotusyard::raft::LeaseTerms;

namespace {

LeaseTerms terms_of_test() {
  LeaseTerms out;
  out.lease = Millis(1000);
  out.clock_drift = 0;
  out.max_attempt_time = Millis(500);
  out.max_offline = Millis(10000);
  return out;
}

}  // namespace

TEST_CASE("until a node can account for all leases it uses what it reported one offline time ago") {
  OfflineFloor floor(terms_of_test(), Millis(2000));
  floor.on_reported(50, Millis(1000));  // an earlier process's leases may still last
  CHECK(floor.followed(80, Millis(11500)) == 0);
  floor.on_reported(60, Millis(3000));
  CHECK(floor.followed(80, Millis(11999)) == 0);
  CHECK(floor.followed(80, Millis(12000)) == 80);  // no invoker of an earlier process uses hosts any more
  floor.on_session_lost(Millis(12500));
  CHECK(floor.followed(90, Millis(12500)) == 0);
  CHECK(floor.followed(90, Millis(13000)) == 60);  // reported one offline time ago
  CHECK(floor.followed(90, Millis(22500)) == 90);
}

TEST_CASE("an invoker that is behind and without a lease limits the floor until it uses no host") {
  const LeaseTerms terms = terms_of_test();
  ChangeLog log({});
  log.reset(10, {});
  SessionTable sessions(terms, {}, log, Millis(0));
  const Millis accounted = terms.presumed_dead_after() + terms.max_offline;
  sessions.floors(accounted);
  const auto admitted = sessions.open("a", 1, 10, accounted);
  REQUIRE(sessions.report(admitted.session, 10, 10));
  REQUIRE(sessions.grant(admitted.session, accounted + Millis(900), accounted).count() > 0);
  log.append(11, {{"key", "value"}});

  // It cannot be reached and its lease has expired: only the offline floor still depends on it.
  sessions.disconnected(admitted.session);
  const Millis after = accounted + Millis(900);
  Floors floors = sessions.floors(after);
  CHECK(floors.applied == 11);
  CHECK(floors.followed == 10);
  sessions.expire(after + terms.max_attempt_time);
  REQUIRE_FALSE(sessions.known(admitted.session));
  floors = sessions.floors(after + terms.max_offline - Millis(1));
  CHECK(floors.followed < 11);
  floors = sessions.floors(after + terms.max_offline);
  CHECK(floors.followed == 11);
}

TEST_CASE("an invoker that has sent a Close does not limit the floor") {
  const LeaseTerms terms = terms_of_test();
  ChangeLog log({});
  log.reset(10, {});
  SessionTable sessions(terms, {}, log, Millis(0));
  const Millis now = terms.presumed_dead_after() + terms.max_offline;
  const auto admitted = sessions.open("a", 1, 10, now);
  REQUIRE(sessions.report(admitted.session, 10, 10));
  REQUIRE(sessions.grant(admitted.session, now + Millis(900), now).count() > 0);
  log.append(11, {{"key", "value"}});
  sessions.closed(admitted.session, now);
  CHECK(sessions.floors(now).followed == 11);
  sessions.expire(now + Millis(5000));
  CHECK(sessions.floors(now + Millis(5000)).followed == 11);
}
