// The simulator's JSON lines: what they are translated to, and which are rejected.
#include "wire.h"

#include <gtest/gtest.h>

namespace lotusyard::simulator_adapter {
namespace {

const char* const kInit =
    R"({"Time":1000,"n":1,"routers":[{"Router":"router_0","inbox":[["Init",5,{"Tick":4,"Novel":1,)"
    R"("Classes":[{"Name":"c","Semantics":"repeatable","HardLimit":900}],"Bounds":{"SendCap":3},)"
    R"("FamilyInfo":{"OnMiss":"load","LingerIdle":9000}}],["Catalog",0,[["h:1",0,1,"k",2,null,"z","extra"]]],)"
    R"(["Discovery",1,2,0,"extra"]]}]})";

std::string batch(const std::string& inbox, int number = 2) {
  return R"({"Time":1010,"n":)" + std::to_string(number) + R"(,"routers":[{"Router":"router_0","inbox":[)" +
         inbox + "]}]}";
}

TEST(Wire, RepliesToAnEmptyBatch) {
  Host host;
  EXPECT_EQ(host.reply(R"({"Time":1,"n":7,"routers":[]})"), R"({"n":7,"routers":[]})");
}

TEST(Wire, SendsARequestToAHost) {
  Host host;
  host.reply(kInit);
  const auto reply = nlohmann::json::parse(
      host.reply(batch(R"(["Order","t/a","c",null,null,0,100,534015773185,null,800,2])")));
  const auto& commands = reply["routers"][0]["cmds"];
  ASSERT_EQ(commands.size(), 2U);
  EXPECT_EQ(commands[0][0], "Timer");
  EXPECT_EQ(commands[1], nlohmann::json::array({"Assign", "t/a", "h:1", 800.0}));
}

TEST(Wire, IgnoresUnknownMessagesAndEndedCalls) {
  Host host;
  host.reply(kInit);
  const auto reply = host.reply(
      batch(R"(["Novelty",1],["Ring",99],["Gone","t/none"],["BroughtUp","x:1",3,"GOOD",1,1],)"
            R"(["Result","t/none",null,"GOOD",true,1,0,"h:1",null],["Sampled","GOOD",1,"q:9",[1]])"));
  EXPECT_EQ(reply, R"({"n":2,"routers":[]})");
}

TEST(Wire, InstancesShareNothing) {
  Host host;
  host.reply(kInit);
  const auto reply = host.reply(
      R"({"Time":1010,"n":2,"routers":[{"Router":"router_1","inbox":[["Order","t/b","c",null,null,0,1,2,null,9,1]]}]})");
  EXPECT_EQ(reply, R"({"n":2,"routers":[]})");
}

TEST(Wire, RejectsAMalformedLine) {
  for (const char* line :
       {"", "nonsense", "[]", "{}", R"({"Time":1,"n":1})", R"({"Time":"x","n":1,"routers":[]})",
        R"({"Time":1,"n":1,"routers":[{}]})", R"({"Time":1,"n":1,"routers":[{"Router":"r"}]})",
        R"({"Time":1,"n":1,"routers":[{"Router":"r","inbox":[5]}]})",
        R"({"Time":1,"n":1,"routers":[{"Router":"r","inbox":[["Catalog",99,[]]]}]})",
        R"({"Time":1,"n":1,"routers":[{"Router":"r","inbox":[["Catalog",0,[[5]]]]}]})"}) {
    Host host;
    EXPECT_THROW(host.reply(line), WireError) << line;
  }
}

TEST(Wire, MapsSettingsOfThePlatform) {
  const auto settings =
      read_settings(nlohmann::json::parse(R"({"LoadInfo":{"How":"pull","Fields":["queue","new"]},
      "Kinds":["p","q"],"FamilyInfo":{"MemoryMbByKind":[5,6]},"RegistryMode":"ask"})"),
                    3);
  EXPECT_EQ(settings.load_reports.mode, lotusyard::policy::ReportMode::probe);
  EXPECT_EQ(settings.load_reports.fields,
            (std::vector<lotusyard::policy::ReportField>{lotusyard::policy::ReportField::queue,
                                                         lotusyard::policy::ReportField::other}));
  EXPECT_EQ(settings.kind_memory_mb.at("q"), 6);
  EXPECT_TRUE(settings.endpoint_list.polled);
  EXPECT_EQ(settings.invokers, 1);
  EXPECT_EQ(settings.seed, 3U);
}

}  // namespace
}  // namespace lotusyard::simulator_adapter
