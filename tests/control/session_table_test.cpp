// Sessions of a control node: admission, leases, and the indexes that the node reports for all of them.
#include "control/session_table.h"

#include "catch2/catch.hpp"

namespace lotusyard::test {
namespace {

using control::ChangeLog;
using control::Index;
using control::Millis;
using control::RefusalReason;
using control::SessionTable;

constexpr double kDrift = 0.01;
const raft::LeaseTerms kTerms{Millis(3000), kDrift, Millis(2000)};
const Millis kEarlierLeasesOver = kTerms.presumed_dead_after();  // leases of an earlier process have ended
const Millis kFarFuture(1e7);

struct Table {
  ChangeLog log{{}};
  SessionTable sessions;
  Table(SessionTable::Limits limits = {}, Millis started = Millis(0))
      : sessions(kTerms, limits, log, started) {
    log.reset(10, {{"k", "10"}});
  }
  void change(Index index) { log.append(index, {{"k", std::to_string(index)}}); }
  SessionTable::SessionId open(const std::string& invoker, Index position, Millis now) {
    return sessions.open(invoker, 1, position, now).session;
  }
  Millis renew(SessionTable::SessionId session, Index applied, Millis now, Millis node_until = kFarFuture) {
    REQUIRE(sessions.report(session, applied, applied));
    return sessions.grant(session, node_until, now);
  }
};

TEST_CASE("a lease ends before the node's own does, by any clock within the drift") {
  Table table;
  const auto id = table.open("a", 10, Millis(0));
  CHECK(table.renew(id, 10, Millis(0)) == kTerms.lease);
  CHECK(table.sessions.lease_until(id) == Millis(3030));
  CHECK(table.renew(id, 10, Millis(1000), Millis(2000)).count() == Approx(1000 / 1.01));
  CHECK(table.sessions.lease_until(id) == Millis(3030));  // the earlier grant still counts
  const Millis duration = table.renew(id, 10, Millis(3000), Millis(5000));
  CHECK(duration.count() == Approx(2000 / 1.01));
  CHECK(table.sessions.lease_until(id) <= Millis(5000));
  CHECK(table.sessions.lease_until(id).count() == Approx(5000));
  CHECK(table.renew(id, 10, Millis(4990), Millis(5000)).count() == 0);  // too short to be of use
  CHECK(table.renew(id, 10, Millis(5000), Millis(5000)).count() == 0);
  CHECK(table.renew(id, 10, Millis(6000), Millis(0)).count() == 0);  // the node has no lease
}

TEST_CASE("a session that opens with an old position gets no lease until it has caught up") {
  Table table;
  table.change(11);
  table.change(13);
  CHECK(table.sessions.floors(kEarlierLeasesOver).applied == 13);
  const auto id = table.open("a", 11, kEarlierLeasesOver);
  CHECK(table.renew(id, 11, kEarlierLeasesOver).count() == 0);
  CHECK(table.sessions.floors(kEarlierLeasesOver).applied == 13);
  CHECK(table.renew(id, 13, kEarlierLeasesOver) == kTerms.lease);
  table.change(14);
  CHECK(table.sessions.floors(kEarlierLeasesOver).applied == 13);
  CHECK(table.renew(id, 13, kEarlierLeasesOver) == kTerms.lease);  // the change has not been reported yet
}

TEST_CASE("a session with an empty replica gets no lease") {
  ChangeLog log({});
  SessionTable sessions(kTerms, {}, log, Millis(0));
  const auto id = sessions.open("a", 1, 0, Millis(0)).session;
  CHECK(sessions.report(id, 0, 0));
  CHECK(sessions.grant(id, kFarFuture, Millis(0)).count() == 0);
}

TEST_CASE(
    "the first lease of the node, and each after a lapse, requires all that the group may have reached") {
  Table table;
  const Millis until(4000);
  table.change(11);
  const auto id = table.open("a", 10, Millis(0));
  CHECK(table.renew(id, 10, Millis(0), until).count() == 0);  // an earlier process may have reported 11
  CHECK(table.renew(id, 11, Millis(0), until) == kTerms.lease);
  table.change(12);
  CHECK(table.renew(id, 11, Millis(500), until) == kTerms.lease);
  CHECK(table.renew(id, 11, Millis(4500), until).count() == 0);
  table.change(13);
  CHECK(table.renew(id, 12, Millis(5000), Millis(8000)).count() ==
        0);  // the group may have continued without this node
  CHECK(table.renew(id, 13, Millis(5100), Millis(8000)).count() > 0);
}

TEST_CASE("floors are the minimum over the sessions with a lease, whether they are connected or not") {
  Table table;
  const Millis t = kEarlierLeasesOver;
  const auto a = table.open("a", 10, t), b = table.open("b", 10, t);
  table.renew(a, 10, t);
  table.renew(b, 10, t);
  table.change(12);
  table.renew(a, 12, t + Millis(2000));
  CHECK(table.sessions.floors(t + Millis(2000)).applied == 11);
  CHECK(table.sessions.floors(t + Millis(2000)).sessions == 2);
  table.sessions.disconnected(b);
  CHECK(table.sessions.floors(t + Millis(3000)).applied == 11);
  CHECK(table.sessions.floors(t + Millis(3000)).quiesced_index == 11);
  CHECK(table.sessions.floors(t + Millis(3030)).applied ==
        12);  // its lease has expired, its calls have not ended
  CHECK(table.sessions.floors(t + Millis(3030)).quiesced_index == 11);
  CHECK(table.sessions.floors(t + Millis(5049)).quiesced_index == 11);
  CHECK(table.sessions.floors(t + Millis(5050)).quiesced_index == 12);
  CHECK(table.sessions.size() == 2);
  table.sessions.expire(t + Millis(5050));
  CHECK(table.sessions.size() == 1);
  CHECK_FALSE(table.sessions.known(b));
}

TEST_CASE("a report stays binding after the log has dropped the changes that prove it") {
  Table table;
  const auto id = table.open("a", 10, Millis(0));
  table.renew(id, 10, Millis(5000));
  table.log.append(15, {});
  CHECK(table.sessions.floors(Millis(6000)).applied == 15);
  table.log.reset(20, {{"k", "20"}});
  CHECK(table.sessions.floors(Millis(6000)).applied == 15);
  CHECK(table.renew(id, 10, Millis(6000)).count() == 0);
  CHECK(table.renew(id, 20, Millis(6000)) == kTerms.lease);
  CHECK(table.sessions.floors(Millis(6000)).applied == 20);
}

TEST_CASE("nothing is reported while leases of an earlier process may last") {
  Table table({}, Millis(1000));
  CHECK(table.sessions.floors(Millis(1000)).applied == 0);
  const Millis last = Millis(1000) + kEarlierLeasesOver - Millis(1);
  CHECK(table.sessions.floors(last).applied == 0);
  CHECK(table.sessions.floors(last).quiesced_index == 0);
  CHECK(table.sessions.floors(last + Millis(1)).applied == 10);
  CHECK(table.sessions.floors(last + Millis(1)).quiesced_index == 10);
}

TEST_CASE("a closed session releases its lease, and its calls count until they have ended") {
  Table table;
  const Millis t = kEarlierLeasesOver;
  const auto id = table.open("a", 10, t);
  table.renew(id, 10, t);
  table.change(12);
  table.sessions.closed(id, t + Millis(100));
  CHECK(table.sessions.connected() == 0);
  CHECK(table.sessions.floors(t + Millis(100)).applied == 12);
  CHECK(table.sessions.floors(t + Millis(100)).quiesced_index == 11);
  table.sessions.expire(t + Millis(2119));
  CHECK(table.sessions.known(id));
  table.sessions.expire(t + Millis(2120));
  CHECK_FALSE(table.sessions.known(id));
}

TEST_CASE("a disconnected session that never had a lease is removed at once") {
  Table table;
  const auto id = table.open("a", 10, Millis(0));
  CHECK(table.sessions.connected() == 1);
  table.sessions.disconnected(id);
  CHECK(table.sessions.size() == 0);
  CHECK(table.sessions.connected() == 0);
}

TEST_CASE("a report that decreases, is ahead of the node or is inconsistent changes nothing") {
  Table table;
  table.change(11);
  const auto id = table.open("a", 10, Millis(0));
  CHECK_FALSE(table.sessions.report(id, 12, 10));
  CHECK_FALSE(table.sessions.report(id, 9, 9));
  CHECK_FALSE(table.sessions.report(id, 10, 11));
  CHECK(table.sessions.report(id, 11, 10));
  CHECK_FALSE(table.sessions.report(id, 11, 9));
  CHECK_FALSE(table.sessions.report(id + 1, 11, 11));
}

TEST_CASE("an incarnation continues its session, and another one has its own") {
  Table table;
  table.change(11);
  const auto id = table.open("a", 11, Millis(0));
  table.renew(id, 11, Millis(0));
  table.sessions.disconnected(id);
  CHECK(table.open("a", 11, Millis(10)) == id);
  const auto older = table.sessions.open("a", 1, 10, Millis(10));  // it has reported 11
  CHECK(older.session == 0);
  CHECK(older.status == SessionTable::Admission::Status::malformed);
  const auto other = table.sessions.open("a", 2, 10, Millis(10));
  CHECK((other.session != 0 && other.session != id));
  CHECK(table.sessions.connected() == 2);
  CHECK(table.open("a", 11, Millis(20)) == id);  // while the older connection is open
  CHECK(table.sessions.connected() == 2);
}

TEST_CASE("admission: a position ahead of the node, too many sessions, too many at once") {
  SessionTable::Limits limits;
  limits.max_sessions = 3;
  limits.opens_per_second = 2;
  limits.open_burst = 3;
  Table table(limits);
  CHECK(table.sessions.open("a", 1, 11, Millis(0)).refusal == RefusalReason::node_behind);
  const auto a = table.open("a", 10, Millis(0)), b = table.open("b", 10, Millis(0));
  CHECK((a != 0 && b != 0));
  CHECK(table.open("b", 10, Millis(0)) == b);
  const auto busy = table.sessions.open("c", 1, 10, Millis(0));
  CHECK((busy.session == 0 && busy.refusal == RefusalReason::busy));
  CHECK(busy.retry_after == Millis(500));
  CHECK(table.open("c", 10, Millis(500)) != 0);
  const auto full = table.sessions.open("d", 1, 10, Millis(5000));
  CHECK((full.session == 0 && full.refusal == RefusalReason::full));
  CHECK(full.retry_after > Millis(0));
  CHECK(table.open("a", 10, Millis(5000)) == a);  // needs no further session
  table.renew(b, 10, Millis(5000));
  table.sessions.disconnected(b);
  CHECK(table.open("d", 10, Millis(10000)) == 0);  // its calls still count
  CHECK(table.open("d", 10, Millis(10050)) != 0);
}

}  // namespace
}  // namespace lotusyard::test
