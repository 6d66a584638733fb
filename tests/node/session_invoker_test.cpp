// What an invoker with a session goes by: records made from the agreed state and read back, up to which
// change nothing forbidden is under way, and the views of many sessions merged into one.
#include <catch2/catch.hpp>
#include <set>

#include "node/quiescence_tracker.h"
#include "node/session_observations.h"
#include "node/state_records.h"

using namespace lotusyard;
using maintenance::Millis;

namespace {

nlohmann::json host_row(const std::string& id, maintenance::HostStage stage, std::uint64_t round) {
  return {{"id", id},       {"zone", "z"},    {"kind", "k"},   {"work", "w"},     {"reason", "because"},
          {"stage", stage}, {"round", round}, {"late", false}, {"touched", false}};
}

maintenance::MaintenanceState board_with(const nlohmann::json& hosts, std::uint64_t index) {
  maintenance::MaintenanceJob work;
  work.id = "w";
  work.hosts = {{"h1", "z", "k"}};
  maintenance::MaintenanceState out;
  REQUIRE(out.restore({{"index", index},
                       {"hosts", hosts},
                       {"works", nlohmann::json::array({maintenance::job_to_json(work)})},
                       {"members", nlohmann::json::array()},
                       {"lives", nlohmann::json::object()},
                       {"outcomes", nlohmann::json::array()}},
                      Millis(0)));
  return out;
}

compliance::CertificateState book_with_certificate() {
  compliance::CertificateState out;
  out.apply(1, {compliance::PutRegime{{"gdpr", "", false}}});
  out.apply(2, {compliance::PutTenant{"acme", {"gdpr"}}});
  compliance::Certificate certificate;
  certificate.name = "c1";
  certificate.host = "h1";
  certificate.regime = "gdpr";
  certificate.valid_until = Millis(1e12);
  out.apply(3, {compliance::Certify{certificate}});
  return out;
}

void revoke(compliance::CertificateState& book, std::uint64_t index) {
  REQUIRE(book.apply(index, {compliance::Revoke{"c1"}}).done);
}

}  // namespace

TEST_CASE("records made from the agreed state give the same state again, and change only where it changes") {
  const maintenance::MaintenanceState board =
      board_with(nlohmann::json::array({host_row("h1", maintenance::HostStage::selected, 4)}), 9);
  compliance::CertificateState book = book_with_certificate();
  const control::Records records = node::records_of(board, book);
  const auto board_again = node::maintenance_state_from(records, 9, Millis(0));
  const auto book_again = node::certificate_state_from(records, 9);
  REQUIRE((board_again && book_again));
  CHECK(node::records_of(*board_again, *book_again) == records);
  CHECK(board_again->hosts_to_avoid(false) == std::set<std::string>{"h1"});
  CHECK(book_again->is_regulated("acme"));

  revoke(book, 12);
  const control::Change change = control::difference(records, node::records_of(board, book));
  REQUIRE(change.size() == 1);
  CHECK(change[0].key == "compliance/certificate/c1");
  control::Records followed = records;
  control::apply(followed, change);
  CHECK(node::certificate_state_from(followed, 12)->certificates().at("c1").state ==
        compliance::Certificate::State::revoking);
}

TEST_CASE("records of another version are refused whole") {
  control::Records records = node::records_of(maintenance::MaintenanceState(), book_with_certificate());
  records["compliance/regime/later"] = R"({"name":"later","kind":7})";
  CHECK_FALSE(node::certificate_state_from(records, 9).has_value());
  records = {{"maintenance/host/h1", "no JSON"}};
  CHECK_FALSE(node::maintenance_state_from(records, 9, Millis(0)).has_value());
}

TEST_CASE("nothing is settled past a host's leaving while a call is there") {
  const maintenance::MaintenanceState board =
      board_with({host_row("h1", maintenance::HostStage::draining, 7),
                  host_row("h2", maintenance::HostStage::selected, 5)},
                 9);
  node::QuiescenceTracker tracker(Millis(2000));
  bool free = false;
  const auto is_free = [&free](const std::string& host) { return host != "h1" || free; };
  CHECK(tracker.quiesced_index(board, {}, 9, is_free, Millis(0)) == 6);
  free = true;
  CHECK(tracker.quiesced_index(board, {}, 9, is_free, Millis(0)) == 9);
}

TEST_CASE("nothing is settled past a revocation until the longest call under it must be over") {
  compliance::CertificateState book = book_with_certificate();
  node::QuiescenceTracker tracker(Millis(2000));
  const auto is_free = [](const std::string&) { return true; };
  CHECK(tracker.quiesced_index({}, book, 10, is_free, Millis(0)) == 10);
  revoke(book, 12);
  CHECK(tracker.quiesced_index({}, book, 12, is_free, Millis(500)) == 11);
  CHECK(tracker.quiesced_index({}, book, 15, is_free, Millis(2499)) == 11);
  CHECK(tracker.quiesced_index({}, book, 15, is_free, Millis(2500)) == 15);
}

TEST_CASE("views of sessions are merged until their sessions are over; malformed words change nothing") {
  node::SessionObservations views;
  maintenance::HostObservations one, two;
  one.serving_value = {{"h1", 2}};
  one.served = {"h3"};
  one.calls_per_second = 10;
  one.listed_hosts = 12;
  two.serving_value = {{"h1", 3}};
  two.down = {"h2"};
  two.failed_per_second = 1;
  two.listed_hosts = 11;
  REQUIRE(views.update(1, node::SessionObservations::encode("a", one)));
  REQUIRE(views.update(2, node::SessionObservations::encode("b", two)));
  CHECK_FALSE(views.update(2, "{}"));
  CHECK_FALSE(views.update(2, "[1]"));
  CHECK_FALSE(views.update(3, std::string(1000, '[')));
  maintenance::HostObservations own;
  own.listed_hosts = 13;
  const maintenance::HostObservations merged = views.merged(own);
  CHECK(merged.serving_value.at("h1") == 5);
  CHECK(merged.down == std::set<std::string>{"h2"});
  CHECK(merged.served == std::set<std::string>{"h3"});
  CHECK((merged.calls_per_second == 10 && merged.failed_per_second == 1));
  CHECK(merged.listed_hosts == 11);
  views.retain([](auto session) { return session == 2; });
  CHECK(views.size() == 1);
  CHECK(views.merged(own).served.empty());
}
