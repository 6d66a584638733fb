// The one reader of configuration, and Envoy's list of hosts.
#include "config/config.h"

#include <unistd.h>

#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>
#include <string>
#include <vector>

#include "config/replacement.h"
#include "net/event_loop.h"
#include "support/test_settings.h"
#include "xds/hosts.h"

namespace lotusyard::test {
namespace {

using nlohmann::json;

json good() {
  return json::parse(
      R"({"name":"n3","listen":"127.0.0.1:5050","seed":"8c1f30d27a5be964","changelog":"127.0.0.1:9092",
    "limits":{"memory_mb":192,"sockets":1024},"known":{"seq":0,"results":[]},
    "settings":{"Classes":[{"Name":"bin-check","HardLimit":2000}],"Bounds":{"SendCap":4},
    "LoadInfo":{"Fields":["util"]}}})");
}
std::string fault_of(const json& file) {
  try {
    config::read_config(file, {});
  } catch (const config::ConfigError& fault) {
    return fault.what();
  }
  return {};
}

TEST_CASE("a faulty configuration is refused by the name of its key") {
  CHECK(fault_of(good()).empty());
  const std::vector<std::pair<const char*, json>> faults = {{"/listen", "here"},
                                                            {"/seed", "12"},
                                                            {"/changelog", 5},
                                                            {"/limits/memory_mb", -1},
                                                            {"/limits/sockets", "a"},
                                                            {"/known/seq", "x"},
                                                            {"/settings/Classes", json()},
                                                            {"/settings/Bounds/SendCap", 0},
                                                            {"/settings/Classes/0/HardLimit", 0}};
  for (const auto& [path, value] : faults) {
    json file = good();
    const json::json_pointer at{std::string(path)};
    file[at] = value;
    const std::string key = at.back() == "HardLimit" ? at.back() : std::string(path + 1);
    std::string dotted = key;
    std::replace(dotted.begin(), dotted.end(), '/', '.');
    CHECK_THAT(fault_of(file), Catch::Contains(dotted));
  }
}

TEST_CASE("triggers need a broker and queues, and make platform keys optional") {
  json file = good();
  file.erase("listen");
  file.erase("changelog");
  file.erase("seed");
  file["amqp"] = {{"broker", "127.0.0.1:5672"}, {"queues", {"calls"}}};
  file["xds"] = {{"file", "hosts.json"}, {"cluster", "bins"}};
  CHECK(fault_of(file).empty());
  file["amqp"]["queues"] = json::array();
  CHECK_THAT(fault_of(file), Catch::Contains("amqp.queues"));
  file["amqp"] = {{"broker", "rabbit"}, {"queues", {"calls"}}};
  CHECK_THAT(fault_of(file), Catch::Contains("amqp.broker"));
  file["amqp"] = {{"broker", "127.0.0.1:5672"}, {"queues", {"calls"}}, {"prefetch", 0}};
  CHECK_THAT(fault_of(file), Catch::Contains("amqp.prefetch"));
  file["amqp"] = {{"brokers", {"127.0.0.1:5672", "rabbit:1"}}, {"queues", {"calls"}}};
  CHECK_THAT(fault_of(file), Catch::Contains("amqp.brokers"));
  file["amqp"]["brokers"] = {"127.0.0.1:5672", "127.0.0.2:5672"};
  CHECK(fault_of(file).empty());
  json queue = {{"name", "calls"}, {"arguments", {{"x-message-ttl", 5}, {"x-queue-mode", "lazy"}}}};
  file["amqp"]["topology"] = {{"queues", json::array({queue})}};
  CHECK(fault_of(file).empty());
  file["amqp"]["topology"]["queues"][0]["durable"] = "yes";
  CHECK_THAT(fault_of(file), Catch::Contains("amqp.topology.queues[0].durable"));
  file["amqp"]["topology"] = {{"bindings", json::array({{{"queue", "calls"}}})}};
  CHECK_THAT(fault_of(file), Catch::Contains("amqp.topology.bindings[0].exchange"));
  file.erase("amqp");
  CHECK_THAT(fault_of(file), Catch::Contains("seed") || Catch::Contains("listen"));
}

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

TEST_CASE(
    "xDS endpoints are hosts: DRAINING drains, the unhealthy get nothing new, half a file changes nothing") {
  std::string fault;
  const auto list = xds::read_hosts(
      assignment(json::array({endpoint(1, "HEALTHY"), endpoint(2, "DRAINING"), endpoint(3, "UNHEALTHY"),
                              endpoint(4, json()), endpoint(5, 3)})),
      "bins", fault);
  REQUIRE(list);
  std::string states;
  for (const auto& m : list->hosts)
    states += m.entry.state == core::HostState::ready ? 'r' : 'd';
  CHECK(states == "rddrd");
  CHECK(list->hosts[1].address == "127.0.0.1:2");
  CHECK(list->hosts[0].entry.zone == "osborne-park");
  const json cluster = {{"@type", "type.googleapis.com/envoy.config.cluster.v3.Cluster"},
                        {"name", "bins-by-eds"},
                        {"type", "EDS"},
                        {"edsClusterConfig", {{"serviceName", "bins"}}}};
  const json both = {
      {"resources", json::array({cluster, assignment(json::array({endpoint(1, "HEALTHY")}))})}};
  CHECK(xds::read_hosts(both, "bins-by-eds", fault)->hosts.size() == 1);
  CHECK_FALSE(xds::read_hosts(both, "other", fault));
  CHECK_FALSE(xds::read_hosts(assignment(json::array({endpoint(1, "HEALTHY"), endpoint(0, "HEALTHY")})),
                              "bins", fault));
  CHECK_FALSE(xds::read_hosts(assignment(json::array({endpoint(1, "HEALTHY"), endpoint(1, "HEALTHY")})),
                              "bins", fault));
}

TEST_CASE("an xDS file is read again when it changes; what was added has just started") {
  net::EventLoop loop;
  metrics::Counters counters;
  char path[] = "/tmp/lotusyard-xds-XXXXXX";
  const net::Socket made(mkstemp(path));
  const auto write = [&](const std::string& text) {
    const std::string next = std::string(path) + ".next";
    std::ofstream(next) << text;
    REQUIRE(std::rename(next.c_str(), path) == 0);
  };
  std::vector<core::HostListUpdate> told;
  write(assignment(json::array({endpoint(1, "HEALTHY")})).dump());
  xds::HostFile file(loop, counters, path, "bins", Millis(10),
                     [&](const auto& list) { told.push_back(list); });
  std::string fault;
  REQUIRE(file.start(fault));
  const auto wait_for = [&](const char* counter, std::uint64_t value) {
    for (int i = 0; i < 2000 && counters.value(counter) < value; ++i)
      loop.run_once(loop.now() + Millis(20), [] {});
    return counters.value(counter) == value;
  };
  write(assignment(json::array({endpoint(1, "DRAINING"), endpoint(2, "HEALTHY")})).dump());
  REQUIRE(wait_for("xds.lists", 2));
  CHECK(told[1].hosts[0].entry.state == core::HostState::draining);
  CHECK(told[1].hosts[0].entry.started == Millis(0));
  CHECK(told[1].hosts[1].entry.started > Millis(0));
  write("{\"half\": ");
  REQUIRE(wait_for("xds.rejected", 1));
  CHECK(told.size() == 2);
  std::remove(path);
}

// What SIGHUP would say of a file that takes the place of a running one; empty: it is taken.
std::string fault_of_next(const json& running, const json& next) {
  try {
    config::check_replacement(config::outline(running), next);
    config::read_config(next, {});
  } catch (const config::ConfigError& fault) {
    return fault.what();
  }
  return {};
}

TEST_CASE("a file that lacks any key of the running one, or holds another type there, is turned down") {
  json running = good();
  running["settings"]["Tenants"] =
      json::parse(R"([{"Name":"a","Share":0.5},{"Name":"b","Share":1,"Odd":2}])");
  running["settings"]["Classes"].push_back(
      json::parse(R"({"Name":"bin-record","HardLimit":3000,"AimStretch":2})"));
  CHECK(fault_of_next(running, running).empty());
  const json flat = running.flatten();
  int keys = 0;
  for (const auto& [pointer, value] : flat.items()) {
    for (json::json_pointer at(pointer); !at.empty(); at.pop_back()) {
      const std::string key = at.back();
      const bool optional = key == "Odd" || key == "AimStretch" || pointer.rfind("/known/", 0) == 0;
      if (key.find_first_not_of("0123456789") == std::string::npos || optional)
        continue;
      ++keys;
      INFO(at.to_string());
      json next = running;
      next[at.parent_pointer()].erase(key);
      CHECK(fault_of_next(running, next).find(key) != std::string::npos);
      for (const json& other : {json("text"), json(7), json::array(), json::object(), json()}) {
        json changed = running;
        if (other.is_number() == changed[at].is_number() && other.type() == changed[at].type())
          continue;
        if (other.is_number() && changed[at].is_number())
          continue;
        changed[at] = other;
        CHECK_FALSE(fault_of_next(running, changed).empty());
      }
    }
  }
  CHECK(keys > 20);
  json more = running;  // what is new is taken, and so is a list of another length
  more["settings"]["Classes"].push_back(json::parse(R"({"Name":"new","HardLimit":1,"Aim":5})"));
  more["settings"]["Tenants"].erase(0);
  more["extra"] = 1;
  CHECK(fault_of_next(running, more).empty());
}

TEST_CASE("a deadline or a number of attempts that is no number above 0 is turned down by its key") {
  for (const json& bad : {json(0), json(-5), json("2000"), json(true), json(), json::array(), json("")}) {
    INFO(bad.dump());
    json next = good();
    next["settings"]["Classes"][0]["HardLimit"] = bad;
    CHECK(fault_of_next(good(), next).find("HardLimit") != std::string::npos);
    CHECK(fault_of(next).find("HardLimit") != std::string::npos);
    next = good();
    next["settings"]["Bounds"]["SendCap"] = bad;
    CHECK(fault_of_next(good(), next).find("SendCap") != std::string::npos);
  }
  json twice = good();
  twice["settings"]["Classes"].push_back(twice["settings"]["Classes"][0]);
  CHECK(fault_of(twice).find("bin-check") != std::string::npos);
}

TEST_CASE("a file that is empty, or cut short anywhere, is turned down") {
  char name[] = "/tmp/lotusyard-cut-XXXXXX";
  const int fd = mkstemp(name);
  REQUIRE(fd >= 0);
  close(fd);
  const std::string whole = good().dump();
  for (std::size_t size = 0; size < whole.size(); size += 3) {
    std::ofstream(name, std::ios::trunc) << whole.substr(0, size);
    CHECK_THROWS_AS(config::read_json_file(name), config::ConfigError);
  }
  std::ofstream(name, std::ios::trunc) << whole;
  CHECK(config::read_json_file(name) == good());
  std::remove(name);
}

}  // namespace
}  // namespace lotusyard::test
