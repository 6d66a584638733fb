// The section `control` of a configuration file, for control nodes and for invokers.
#include "control/config.h"

#include <catch2/catch.hpp>

#include "config/config.h"

namespace lotusyard::test {
namespace {

using control::Millis;
using control::NodeAddress;
using nlohmann::json;

constexpr Millis kLongestDeadline{1500};

raft::Config member_config() {
  raft::Config out;
  out.cluster = "yard";
  out.member = "a";
  return out;
}
json node_file() { return {{"group", json::object()}, {"control", {{"listen", "127.0.0.1:7100"}}}}; }
json invoker_file() {
  return {{"control", {{"cluster", "yard"}, {"nodes", {{{"name", "a"}, {"address", "127.0.0.1:7100"}}}}}}};
}
template <typename Read>
std::string error_of(const Read& read) {
  try {
    read();
  } catch (const config::ConfigError& error) {
    return error.what();
  }
  return {};
}
std::string node_error(const json& file) {
  return error_of([&] { control::read_node_config(file, member_config()); });
}
std::string invoker_error(const json& file) {
  return error_of([&] { control::read_invoker_config(file, kLongestDeadline); });
}

struct InvalidSetting {
  std::string pointer;
  json value;
  std::string key;  // as the error names it
};
template <typename ErrorOf>
void check_errors(const json& good, const std::vector<InvalidSetting>& settings, const ErrorOf& error) {
  CHECK(error(good).empty());
  for (const auto& [pointer, value, key] : settings) {
    INFO(pointer << " = " << value);
    json file = good;
    file[json::json_pointer(pointer)] = value;
    CHECK_THAT(error(file), Catch::StartsWith("configuration: " + key + ": "));
  }
}

TEST_CASE("the section control determines the role, with a section group or without one") {
  CHECK_FALSE(control::read_node_config(json::object(), member_config()));
  CHECK_FALSE(control::read_invoker_config(json::object(), kLongestDeadline));
  CHECK_FALSE(control::read_invoker_config(node_file(), kLongestDeadline));
  CHECK(control::read_node_config(node_file(), member_config()));
  CHECK(control::read_invoker_config(invoker_file(), kLongestDeadline));
}

TEST_CASE("the section of a control node is read, with its defaults") {
  const auto minimal = control::read_node_config(node_file(), member_config());
  REQUIRE(minimal);
  CHECK(minimal->listen == "127.0.0.1:7100");
  CHECK(minimal->self == NodeAddress{"a", "127.0.0.1:7100", "", ""});
  CHECK(minimal->nodes.empty());
  CHECK(minimal->sessions.max_sessions == 1200);
  CHECK(minimal->sessions.opens_per_second == 200);

  json file = node_file();
  file["control"].update(json::parse(R"({"address":"10.0.0.1:7100","zone":"z1","region":"r1",
      "sessions":300,"opens_per_second":20,"nodes":[{"name":"b","address":"10.0.0.2:7100","zone":"z2"}]})"));
  const auto complete = control::read_node_config(file, member_config());
  REQUIRE(complete);
  CHECK(complete->self == NodeAddress{"a", "10.0.0.1:7100", "z1", "r1"});
  CHECK(complete->nodes == std::vector<NodeAddress>{{"b", "10.0.0.2:7100", "z2", ""}});
  CHECK(complete->sessions.max_sessions == 300);
  CHECK(complete->sessions.opens_per_second == 20);
}

TEST_CASE(
    "a control node's own entry in the list of nodes sets its defaults and is not listed as another node") {
  json file = node_file();
  file["control"]["nodes"] = json::parse(R"([{"name":"a","address":"10.0.0.1:7100","zone":"z1","region":"r"},
      {"name":"b","address":"10.0.0.2:7100"}])");
  const auto read = control::read_node_config(file, member_config());
  REQUIRE(read);
  CHECK(read->self == NodeAddress{"a", "10.0.0.1:7100", "z1", "r"});
  CHECK(read->nodes == std::vector<NodeAddress>{{"b", "10.0.0.2:7100", "", ""}});
}

TEST_CASE("an invalid setting of a control node is rejected with the name of its key") {
  json good = node_file();
  good["control"]["nodes"] = json::parse(R"([{"name":"b","address":"10.0.0.2:7100"},
      {"name":"c","address":"10.0.0.3:7100"}])");
  check_errors(good,
               {{"/control", 5, "control"},
                {"/control/listen", json(), "control.listen"},
                {"/control/listen", "here", "control.listen"},
                {"/control/address", "yard.example:7100", "control.address"},
                {"/control/address", "10.0.0.2:7100", "control.address"},
                {"/control/zone", 1, "control.zone"},
                {"/control/region", std::string(129, 'r'), "control.region"},
                {"/control/sessions", 0, "control.sessions"},
                {"/control/sessions", 1.5, "control.sessions"},
                {"/control/sessions", 1e300, "control.sessions"},
                {"/control/opens_per_second", -1, "control.opens_per_second"},
                {"/control/nodes", "b", "control.nodes"},
                {"/control/nodes", json(65, good["control"]["nodes"][0]), "control.nodes"},
                {"/control/nodes/0", "b", "control.nodes[0]"},
                {"/control/nodes/0/name", "no spaces", "control.nodes[0].name"},
                {"/control/nodes/0/name", std::string(65, 'n'), "control.nodes[0].name"},
                {"/control/nodes/1/name", "b", "control.nodes[1].name"},
                {"/control/nodes/1/address", "10.0.0.2:7100", "control.nodes[1].address"},
                {"/control/nodes/1/address", json(), "control.nodes[1].address"},
                {"/control/nodes/1/zone", false, "control.nodes[1].zone"},
                {"/control/nodes/1/port", 1, "control.nodes[1].port"},
                {"/control/lease_ms", 3000, "control.lease_ms"},
                {"/control/cluster", "yard", "control.cluster"}},
               node_error);
}

TEST_CASE("a cluster name that no invoker could send is rejected at a control node") {
  raft::Config group = member_config();
  group.cluster = std::string(129, 'y');
  CHECK_THAT(error_of([&] { control::read_node_config(node_file(), group); }),
             Catch::StartsWith("configuration: group.cluster: "));
  CHECK_FALSE(control::read_node_config(json::object(), group));
}

TEST_CASE("a member that does not serve has no lease, and is rejected as a control node") {
  raft::Config group = member_config();
  group.serves = false;
  CHECK_THAT(error_of([&] { control::read_node_config(node_file(), group); }),
             Catch::StartsWith("configuration: group.serves: "));
  CHECK_FALSE(control::read_node_config(json::object(), group));
}

TEST_CASE("the section of an invoker is read, with its defaults") {
  const auto minimal = control::read_invoker_config(invoker_file(), kLongestDeadline);
  REQUIRE(minimal);
  CHECK(minimal->cluster == "yard");
  CHECK(minimal->nodes == std::vector<NodeAddress>{{"a", "127.0.0.1:7100", "", ""}});
  CHECK((minimal->zone.empty() && minimal->region.empty()));
  CHECK(minimal->terms.lease == raft::LeaseTerms().lease);
  CHECK(minimal->terms.clock_drift == raft::LeaseTerms().clock_drift);
  CHECK(minimal->terms.max_attempt_time == kLongestDeadline);

  json file = invoker_file();
  file["control"].update(
      json::parse(R"({"zone":"z1","region":"r1","lease_ms":600,"drift":0.02,"last_call_ms":2500})"));
  const auto complete = control::read_invoker_config(file, kLongestDeadline);
  REQUIRE(complete);
  CHECK((complete->zone == "z1" && complete->region == "r1"));
  CHECK(complete->terms.lease == Millis(600));
  CHECK(complete->terms.clock_drift == 0.02);
  CHECK(complete->terms.max_attempt_time == Millis(2500));
}

TEST_CASE("an invalid setting of an invoker is rejected with the name of its key") {
  check_errors(invoker_file(),
               {{"/control", json::array(), "control"},
                {"/control/cluster", json(), "control.cluster"},
                {"/control/cluster", std::string(129, 'y'), "control.cluster"},
                {"/control/nodes", json(), "control.nodes"},
                {"/control/nodes", json::array(), "control.nodes"},
                {"/control/nodes/0/address", "a:7100", "control.nodes[0].address"},
                {"/control/zone", 4, "control.zone"},
                {"/control/lease_ms", 199, "control.lease_ms"},
                {"/control/lease_ms", "long", "control.lease_ms"},
                {"/control/drift", 0.5, "control.drift"},
                {"/control/last_call_ms", 1499, "control.last_call_ms"},
                {"/control/listen", "127.0.0.1:7100", "control.listen"},
                {"/control/sessions", 3, "control.sessions"}},
               invoker_error);
}

}  // namespace
}  // namespace lotusyard::test
