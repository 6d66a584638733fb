// Parsing Envoy's endpoint list, and reading it again when its file changes.
#include "xds/host_file.h"

#include <unistd.h>

#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>
#include <string>
#include <variant>
#include <vector>

#include "net/event_loop.h"
#include "support/test_settings.h"
#include "xds/host_list_parser.h"

namespace lotusyard::test {
namespace {

using nlohmann::json;

json endpoint(int port, const json& health) {
  return {{"endpoint", {{"address", {{"socket_address", {{"address", "127.0.0.1"}, {"port_value", port}}}}}}},
          {"health_status", health}};
}

json assignment(const json& endpoints) {
  return {
      {"@type", "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"},
      {"cluster_name", "bins"},
      {"endpoints", json::array({{{"locality", {{"zone", "osborne-park"}}}, {"lb_endpoints", endpoints}}})}};
}

core::HostListUpdate parsed(const json& file, const std::string& cluster) {
  const xds::HostListResult result = xds::parse_host_list(file, cluster);
  REQUIRE(std::holds_alternative<core::HostListUpdate>(result));
  return std::get<core::HostListUpdate>(result);
}

// The reason of the error.
std::string rejected(const json& file, const std::string& cluster) {
  const xds::HostListResult result = xds::parse_host_list(file, cluster);
  REQUIRE(std::holds_alternative<xds::HostListError>(result));
  return std::get<xds::HostListError>(result).reason;
}

TEST_CASE("xDS endpoints are hosts: DRAINING drains, and unhealthy ones get no new calls") {
  const auto list =
      parsed(assignment(json::array({endpoint(1, "HEALTHY"), endpoint(2, "DRAINING"),
                                     endpoint(3, "UNHEALTHY"), endpoint(4, json()), endpoint(5, 3)})),
             "bins");
  std::string states;
  for (const auto& host : list.hosts)
    states += host.entry.state == core::HostState::ready ? 'r' : 'd';
  CHECK(states == "rddrd");
  CHECK(list.complete);
  CHECK(list.hosts[1].address == "127.0.0.1:2");
  CHECK(list.hosts[0].entry.zone == "osborne-park");
}

TEST_CASE("an xDS cluster names the service that its endpoints belong to") {
  const json cluster = {{"@type", "type.googleapis.com/envoy.config.cluster.v3.Cluster"},
                        {"name", "bins-by-eds"},
                        {"type", "EDS"},
                        {"edsClusterConfig", {{"serviceName", "bins"}}}};
  const json both = {
      {"resources", json::array({cluster, assignment(json::array({endpoint(1, "HEALTHY")}))})}};
  CHECK(parsed(both, "bins-by-eds").hosts.size() == 1);
  CHECK(rejected(both, "other") == "no endpoints of cluster 'other'");
}

TEST_CASE("an xDS list with a faulty endpoint is rejected entirely") {
  const json without_port = assignment(json::array({endpoint(1, "HEALTHY"), endpoint(0, "HEALTHY")}));
  CHECK_THAT(rejected(without_port, "bins"), Catch::StartsWith("endpoint without a numeric address"));
  const json repeated = assignment(json::array({endpoint(1, "HEALTHY"), endpoint(1, "HEALTHY")}));
  CHECK_THAT(rejected(repeated, "bins"), Catch::StartsWith("endpoint without a numeric address"));
}

TEST_CASE("an xDS file is read again when it changes; a host that was added has just started") {
  net::EventLoop loop;
  metrics::Counters counters;
  char path[] = "/tmp/lotusyard-xds-XXXXXX";
  const net::Socket created(mkstemp(path));
  const auto write = [&](const std::string& text) {
    const std::string next = std::string(path) + ".next";
    std::ofstream(next) << text;
    REQUIRE(std::rename(next.c_str(), path) == 0);
  };
  std::vector<core::HostListUpdate> updates;
  write(assignment(json::array({endpoint(1, "HEALTHY")})).dump());
  xds::HostFile file(loop, counters, path, "bins", Millis(10),
                     [&](const auto& list) { updates.push_back(list); });
  std::string error;
  REQUIRE(file.start(error));
  const auto wait_for = [&](const char* counter, std::uint64_t value) {
    for (int i = 0; i < 2000 && counters.value(counter) < value; ++i)
      loop.run_once(loop.now() + Millis(20), [] {});
    return counters.value(counter) == value;
  };
  write(assignment(json::array({endpoint(1, "DRAINING"), endpoint(2, "HEALTHY")})).dump());
  REQUIRE(wait_for("xds.lists", 2));
  CHECK(updates[1].hosts[0].entry.state == core::HostState::draining);
  CHECK(updates[1].hosts[0].entry.started == Millis(0));
  CHECK(updates[1].hosts[1].entry.started > Millis(0));
  write("{\"half\": ");
  REQUIRE(wait_for("xds.rejected", 1));
  CHECK(updates.size() == 2);
  std::remove(path);
}

TEST_CASE("polls of a valid file confirm its list; a file that is missing or malformed confirms nothing") {
  net::EventLoop loop;
  metrics::Counters counters;
  char path[] = "/tmp/lotusyard-xds-XXXXXX";
  const int fd = mkstemp(path);
  REQUIRE(fd >= 0);
  close(fd);
  std::ofstream(path) << assignment(json::array({endpoint(1, "HEALTHY")})).dump();
  std::size_t confirmations = 0;
  xds::HostFile file(
      loop, counters, path, "bins", Millis(10), [](const auto&) {}, [&](Millis) { ++confirmations; });
  std::string error;
  REQUIRE(file.start(error));
  const auto confirmations_in = [&](Millis duration) {
    const std::size_t before = confirmations;
    const Millis end = loop.now() + duration;
    while (loop.now() < end)
      loop.run_once(loop.now() + Millis(5), [] {});
    return confirmations - before;
  };
  CHECK(confirmations_in(Millis(100)) >= 3);
  std::ofstream(path, std::ios::trunc) << "{";
  confirmations_in(Millis(50));
  CHECK(confirmations_in(Millis(100)) == 0);
  REQUIRE(unlink(path) == 0);
  CHECK(confirmations_in(Millis(100)) == 0);
}

}  // namespace
}  // namespace lotusyard::test
