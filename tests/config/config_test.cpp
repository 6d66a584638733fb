// Reading the configuration file, and replacing it in a running program.
#include "config/config.h"

#include <unistd.h>

#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>
#include <string>
#include <vector>

#include "config/replacement.h"
#include "support/test_settings.h"

namespace lotusyard::test {
namespace {

using nlohmann::json;

json valid_file() {
  return json::parse(
      R"({"name":"n3","listen":"127.0.0.1:5050","seed":"8c1f30d27a5be964","changelog":"127.0.0.1:9092",
    "limits":{"memory_mb":192,"sockets":1024},"known":{"seq":0,"results":[]},
    "settings":{"Classes":[{"Name":"bin-check","HardLimit":2000}],"Bounds":{"SendCap":4},
    "LoadInfo":{"Fields":["util"]}}})");
}

// The message of the error; empty if the file is accepted.
std::string error_of(const json& file) {
  try {
    config::read_config(file, {});
  } catch (const config::ConfigError& error) {
    CHECK(std::string(error.what()).rfind("configuration: " + error.key() + ": ", 0) == 0);
    return error.what();
  }
  return {};
}

TEST_CASE("a faulty configuration is rejected with the path of its key") {
  CHECK(error_of(valid_file()).empty());
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
    json file = valid_file();
    const json::json_pointer at{std::string(path)};
    file[at] = value;
    const std::string key = at.back() == "HardLimit" ? at.back() : std::string(path + 1);
    std::string dotted = key;
    std::replace(dotted.begin(), dotted.end(), '/', '.');
    CHECK_THAT(error_of(file), Catch::Contains(dotted));
  }
}

TEST_CASE("AMQP triggers need a broker and queues, and make platform keys optional") {
  json file = valid_file();
  file.erase("listen");
  file.erase("changelog");
  file.erase("seed");
  file["amqp"] = {{"broker", "127.0.0.1:5672"}, {"queues", {"calls"}}};
  file["xds"] = {{"file", "hosts.json"}, {"cluster", "bins"}};
  CHECK(error_of(file).empty());
  file["amqp"]["queues"] = json::array();
  CHECK_THAT(error_of(file), Catch::Contains("amqp.queues"));
  file["amqp"] = {{"broker", "rabbit"}, {"queues", {"calls"}}};
  CHECK_THAT(error_of(file), Catch::Contains("amqp.broker"));
  file["amqp"] = {{"broker", "127.0.0.1:5672"}, {"queues", {"calls"}}, {"prefetch", 0}};
  CHECK_THAT(error_of(file), Catch::Contains("amqp.prefetch"));
  file["amqp"] = {{"brokers", {"127.0.0.1:5672", "rabbit:1"}}, {"queues", {"calls"}}};
  CHECK_THAT(error_of(file), Catch::Contains("amqp.brokers"));
  file["amqp"]["brokers"] = {"127.0.0.1:5672", "127.0.0.2:5672"};
  CHECK(error_of(file).empty());
  json queue = {{"name", "calls"}, {"arguments", {{"x-message-ttl", 5}, {"x-queue-mode", "lazy"}}}};
  file["amqp"]["topology"] = {{"queues", json::array({queue})}};
  CHECK(error_of(file).empty());
  file["amqp"]["topology"]["queues"][0]["durable"] = "yes";
  CHECK_THAT(error_of(file), Catch::Contains("amqp.topology.queues[0].durable"));
  file["amqp"]["topology"] = {{"bindings", json::array({{{"queue", "calls"}}})}};
  CHECK_THAT(error_of(file), Catch::Contains("amqp.topology.bindings[0].exchange"));
  file.erase("amqp");
  CHECK_THAT(error_of(file), Catch::Contains("seed") || Catch::Contains("listen"));
}

// The message of the error if a file replaces that of the running program; empty if it is accepted.
std::string replacement_error(const json& running, const json& next) {
  try {
    config::check_replacement(config::outline(running), next);
    config::read_config(next, {});
  } catch (const config::ConfigError& error) {
    return error.what();
  }
  return {};
}

TEST_CASE("a file that lacks a key of the running one, or has another type there, is rejected") {
  json running = valid_file();
  running["settings"]["Tenants"] =
      json::parse(R"([{"Name":"a","Share":0.5},{"Name":"b","Share":1,"Odd":2}])");
  running["settings"]["Classes"].push_back(
      json::parse(R"({"Name":"bin-record","HardLimit":3000,"AimStretch":2})"));
  CHECK(replacement_error(running, running).empty());
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
      CHECK(replacement_error(running, next).find(key) != std::string::npos);
      for (const json& other : {json("text"), json(7), json::array(), json::object(), json()}) {
        json changed = running;
        if (other.is_number() == changed[at].is_number() && other.type() == changed[at].type())
          continue;
        if (other.is_number() && changed[at].is_number())
          continue;
        changed[at] = other;
        CHECK_FALSE(replacement_error(running, changed).empty());
      }
    }
  }
  CHECK(keys > 20);
  json more = running;  // new keys are accepted, and so is a list of another length
  more["settings"]["Classes"].push_back(json::parse(R"({"Name":"new","HardLimit":1,"Aim":5})"));
  more["settings"]["Tenants"].erase(0);
  more["extra"] = 1;
  CHECK(replacement_error(running, more).empty());
}

TEST_CASE("a deadline or a number of attempts that is no number above 0 is rejected with its key") {
  for (const json& bad : {json(0), json(-5), json("2000"), json(true), json(), json::array(), json("")}) {
    INFO(bad.dump());
    json next = valid_file();
    next["settings"]["Classes"][0]["HardLimit"] = bad;
    CHECK(replacement_error(valid_file(), next).find("HardLimit") != std::string::npos);
    CHECK(error_of(next).find("HardLimit") != std::string::npos);
    next = valid_file();
    next["settings"]["Bounds"]["SendCap"] = bad;
    CHECK(replacement_error(valid_file(), next).find("SendCap") != std::string::npos);
  }
  json twice = valid_file();
  twice["settings"]["Classes"].push_back(twice["settings"]["Classes"][0]);
  CHECK(error_of(twice).find("bin-check") != std::string::npos);
}

TEST_CASE("a file that is empty, or cut short anywhere, is rejected") {
  char name[] = "/tmp/lotusyard-cut-XXXXXX";
  const int fd = mkstemp(name);
  REQUIRE(fd >= 0);
  close(fd);
  const std::string complete = valid_file().dump();
  for (std::size_t size = 0; size < complete.size(); size += 3) {
    std::ofstream(name, std::ios::trunc) << complete.substr(0, size);
    CHECK_THROWS_AS(config::read_json_file(name), config::ConfigError);
  }
  std::ofstream(name, std::ios::trunc) << complete;
  CHECK(config::read_json_file(name) == valid_file());
  std::remove(name);
}

}  // namespace
}  // namespace lotusyard::test
