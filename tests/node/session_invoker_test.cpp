// The state of an invoker with a session: conversion of the replicated state to records and back, the
// quiesced index, and the merged observations of several sessions.
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

maintenance::MaintenanceState maintenance_state_with(const nlohmann::json& hosts, std::uint64_t index) {
  maintenance::MaintenanceJob job;
  job.id = "w";
  job.hosts = {{"h1", "z", "k"}};
  maintenance::MaintenanceState out;
  REQUIRE(out.restore({{"index", index},
                       {"hosts", hosts},
                       {"works", nlohmann::json::array({maintenance::job_to_json(job)})},
                       {"members", nlohmann::json::array()},
                       {"lives", nlohmann::json::object()},
                       {"outcomes", nlohmann::json::array()}},
                      Millis(0)));
  return out;
}

compliance::CertificateState state_with_certificate() {
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

void revoke(compliance::CertificateState& certificates, std::uint64_t index) {
  REQUIRE(certificates.apply(index, {compliance::Revoke{"c1"}}).done);
}

}  // namespace

TEST_CASE("records convert back to the same replicated state, and change only where it changes") {
  const maintenance::MaintenanceState maintenance_state =
      maintenance_state_with(nlohmann::json::array({host_row("h1", maintenance::HostStage::selected, 4)}), 9);
  compliance::CertificateState certificates = state_with_certificate();
  const control::Records records = node::records_of(maintenance_state, certificates);
  const auto maintenance_again = node::maintenance_state_from(records, 9, Millis(0));
  const auto certificates_again = node::certificate_state_from(records, 9);
  REQUIRE((maintenance_again && certificates_again));
  CHECK(node::records_of(*maintenance_again, *certificates_again) == records);
  CHECK(maintenance_again->hosts_to_avoid(false) == std::set<std::string>{"h1"});
  CHECK(certificates_again->is_regulated("acme"));

  revoke(certificates, 12);
  const control::Change change =
      control::difference(records, node::records_of(maintenance_state, certificates));
  REQUIRE(change.size() == 1);
  CHECK(change[0].key == "compliance/certificate/c1");
  control::Records updated = records;
  control::apply(updated, change);
  CHECK(node::certificate_state_from(updated, 12)->certificates().at("c1").state ==
        compliance::Certificate::State::revoking);
}

TEST_CASE("records of another version are rejected completely") {
  control::Records records = node::records_of(maintenance::MaintenanceState(), state_with_certificate());
  records["compliance/regime/later"] = R"({"name":"later","kind":7})";
  CHECK_FALSE(node::certificate_state_from(records, 9).has_value());
  records = {{"maintenance/host/h1", "no JSON"}};
  CHECK_FALSE(node::maintenance_state_from(records, 9, Millis(0)).has_value());
}

TEST_CASE("the quiesced index stays before a host's selection while a call is in flight there") {
  const maintenance::MaintenanceState maintenance_state =
      maintenance_state_with({host_row("h1", maintenance::HostStage::draining, 7),
                              host_row("h2", maintenance::HostStage::selected, 5)},
                             9);
  node::QuiescenceTracker tracker(Millis(2000));
  bool free = false;
  const auto is_free = [&free](const std::string& host) { return host != "h1" || free; };
  CHECK(tracker.quiesced_index(maintenance_state, {}, 9, is_free, Millis(0)) == 6);
  free = true;
  CHECK(tracker.quiesced_index(maintenance_state, {}, 9, is_free, Millis(0)) == 9);
}

TEST_CASE("the quiesced index stays before a revocation until the longest call under it has timed out") {
  compliance::CertificateState certificates = state_with_certificate();
  node::QuiescenceTracker tracker(Millis(2000));
  const auto is_free = [](const std::string&) { return true; };
  CHECK(tracker.quiesced_index({}, certificates, 10, is_free, Millis(0)) == 10);
  revoke(certificates, 12);
  CHECK(tracker.quiesced_index({}, certificates, 12, is_free, Millis(500)) == 11);
  CHECK(tracker.quiesced_index({}, certificates, 15, is_free, Millis(2499)) == 11);
  CHECK(tracker.quiesced_index({}, certificates, 15, is_free, Millis(2500)) == 15);
}

TEST_CASE("observations are merged until their sessions end; malformed ones change nothing") {
  node::SessionObservations observations;
  maintenance::HostObservations one, two;
  one.serving_value = {{"h1", 2}};
  one.served = {"h3"};
  one.calls_per_second = 10;
  one.listed_hosts = 12;
  two.serving_value = {{"h1", 3}};
  two.down = {"h2"};
  two.failed_per_second = 1;
  two.listed_hosts = 11;
  REQUIRE(observations.update(1, node::SessionObservations::encode("a", one)));
  REQUIRE(observations.update(2, node::SessionObservations::encode("b", two)));
  CHECK_FALSE(observations.update(2, "{}"));
  CHECK_FALSE(observations.update(2, "[1]"));
  CHECK_FALSE(observations.update(3, std::string(1000, '[')));
  maintenance::HostObservations own;
  own.listed_hosts = 13;
  const maintenance::HostObservations merged = observations.merged(own);
  CHECK(merged.serving_value.at("h1") == 5);
  CHECK(merged.down == std::set<std::string>{"h2"});
  CHECK(merged.served == std::set<std::string>{"h3"});
  CHECK((merged.calls_per_second == 10 && merged.failed_per_second == 1));
  CHECK(merged.listed_hosts == 11);
  observations.retain([](auto session) { return session == 2; });
  CHECK(observations.size() == 1);
  CHECK(observations.merged(own).served.empty());
}
