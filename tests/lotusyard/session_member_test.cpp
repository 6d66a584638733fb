// What an invoker with a session goes by: records made from the agreed state and read back, up to which
// change nothing forbidden is under way, and the views of many sessions merged into one.
#include <catch2/catch.hpp>
#include <set>

#include "node/records.h"
#include "node/session_views.h"
#include "node/settled.h"

using namespace lotusyard;
using works::Millis;

namespace {

nlohmann::json host_row(const std::string& id, works::Stage stage, std::uint64_t round) {
  return {{"id", id},       {"zone", "z"},    {"kind", "k"},   {"work", "w"},     {"reason", "because"},
          {"stage", stage}, {"round", round}, {"late", false}, {"touched", false}};
}

works::Board board_with(const nlohmann::json& hosts, std::uint64_t index) {
  works::Work work;
  work.id = "w";
  work.hosts = {{"h1", "z", "k"}};
  works::Board out;
  REQUIRE(out.restore({{"index", index},
                       {"hosts", hosts},
                       {"works", nlohmann::json::array({works::worded_work(work)})},
                       {"members", nlohmann::json::array()},
                       {"lives", nlohmann::json::object()},
                       {"outcomes", nlohmann::json::array()}},
                      Millis(0)));
  return out;
}

compliance::Book book_with_certificate() {
  compliance::Book out;
  compliance::Entry regime;
  regime.regime = {"gdpr", "", false};
  out.apply(1, regime);
  compliance::Entry tenant;
  tenant.kind = compliance::Entry::Kind::tenant;
  tenant.tenant = "acme";
  tenant.regimes = {"gdpr"};
  out.apply(2, tenant);
  compliance::Entry certify;
  certify.kind = compliance::Entry::Kind::certify;
  certify.certificate.name = "c1";
  certify.certificate.host = "h1";
  certify.certificate.regime = "gdpr";
  certify.certificate.until = Millis(1e12);
  out.apply(3, certify);
  return out;
}

void revoke(compliance::Book& book, std::uint64_t index) {
  compliance::Entry entry;
  entry.kind = compliance::Entry::Kind::revoke;
  entry.name = "c1";
  REQUIRE(book.apply(index, entry).done);
}

}  // namespace

TEST_CASE("records made from the agreed state give the same state again, and change only where it changes") {
  const works::Board board = board_with(nlohmann::json::array({host_row("h1", works::Stage::named, 4)}), 9);
  compliance::Book book = book_with_certificate();
  const control::Records records = node::records_of(board, book);
  const auto board_again = node::board_of(records, 9, Millis(0));
  const auto book_again = node::book_of(records, 9);
  REQUIRE((board_again && book_again));
  CHECK(node::records_of(*board_again, *book_again) == records);
  CHECK(board_again->avoided(false) == std::set<std::string>{"h1"});
  CHECK(book_again->regulated("acme"));

  revoke(book, 12);
  const control::Change change = control::difference(records, node::records_of(board, book));
  REQUIRE(change.size() == 1);
  CHECK(change[0].key == "compliance/certificate/c1");
  control::Records followed = records;
  control::apply(followed, change);
  CHECK(node::book_of(followed, 12)->certificates().at("c1").state == compliance::Certificate::State::ending);
}

TEST_CASE("records of another version are refused whole") {
  control::Records records = node::records_of(works::Board(), book_with_certificate());
  records["compliance/regime/later"] = R"({"name":"later","kind":7})";
  CHECK_FALSE(node::book_of(records, 9).has_value());
  records = {{"maintenance/host/h1", "no JSON"}};
  CHECK_FALSE(node::board_of(records, 9, Millis(0)).has_value());
}

TEST_CASE("nothing is settled past a host's leaving while a call is there") {
  const works::Board board =
      board_with({host_row("h1", works::Stage::leaving, 7), host_row("h2", works::Stage::named, 5)}, 9);
  node::SettledTracker tracker(Millis(2000));
  bool free = false;
  const auto is_free = [&free](const std::string& host) { return host != "h1" || free; };
  CHECK(tracker.settled(board, {}, 9, is_free, Millis(0)) == 6);
  free = true;
  CHECK(tracker.settled(board, {}, 9, is_free, Millis(0)) == 9);
}

TEST_CASE("nothing is settled past a revocation until the longest call under it must be over") {
  compliance::Book book = book_with_certificate();
  node::SettledTracker tracker(Millis(2000));
  const auto is_free = [](const std::string&) { return true; };
  CHECK(tracker.settled({}, book, 10, is_free, Millis(0)) == 10);
  revoke(book, 12);
  CHECK(tracker.settled({}, book, 12, is_free, Millis(500)) == 11);
  CHECK(tracker.settled({}, book, 15, is_free, Millis(2499)) == 11);
  CHECK(tracker.settled({}, book, 15, is_free, Millis(2500)) == 15);
}

TEST_CASE("views of sessions are merged until their sessions are over; malformed words change nothing") {
  node::SessionViews views;
  works::View one, two;
  one.cost = {{"h1", 2}};
  one.served = {"h3"};
  one.asked = 10;
  one.listed = 12;
  two.cost = {{"h1", 3}};
  two.down = {"h2"};
  two.lost = 1;
  two.listed = 11;
  REQUIRE(views.take(1, node::SessionViews::encode("a", one)));
  REQUIRE(views.take(2, node::SessionViews::encode("b", two)));
  CHECK_FALSE(views.take(2, "{}"));
  CHECK_FALSE(views.take(2, "[1]"));
  CHECK_FALSE(views.take(3, std::string(1000, '[')));
  works::View own;
  own.listed = 13;
  const works::View merged = views.merged(own);
  CHECK(merged.cost.at("h1") == 5);
  CHECK(merged.down == std::set<std::string>{"h2"});
  CHECK(merged.served == std::set<std::string>{"h3"});
  CHECK((merged.asked == 10 && merged.lost == 1));
  CHECK(merged.listed == 11);
  views.retain([](auto session) { return session == 2; });
  CHECK(views.size() == 1);
  CHECK(views.merged(own).served.empty());
}
