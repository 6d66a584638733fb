#include "wire.h"

#include <gtest/gtest.h>

namespace lotusyard::simulator_adapter {
namespace {

const char* const kInit =
    R"({"Time":1000,"n":1,"routers":[{"Router":"router_0","inbox":[["Init",5,{"Tick":4,"Novel":1,)"
    R"("Classes":[{"Name":"c","Semantics":"repeatable","HardLimit":900}],"Bounds":{"SendCap":3},)"
    R"("FamilyInfo":{"OnMiss":"load","LingerIdle":9000}}],["Catalog",0,[["h:1",0,1,"k",2,null,"z","extra"]]],)"
    R"(["Discovery",1,2,0,"extra"]]}]})";

std::string batch(const std::string& inbox, int n = 2) {
  return R"({"Time":1010,"n":)" + std::to_string(n) + R"(,"routers":[{"Router":"router_0","inbox":[)" +
         inbox + "]}]}";
}

TEST(Wire, AnswersAnEmptyBatch) {
  Host host;
  EXPECT_EQ(host.reply(R"({"Time":1,"n":7,"routers":[]})"), R"({"n":7,"routers":[]})");
}

TEST(Wire, CarriesARequestToAWorkerAndBack) {
  Host host;
  host.reply(kInit);
  const auto out = nlohmann::json::parse(
      host.reply(batch(R"(["Order","t/a","c",null,null,0,100,534015773185,null,800,2])")));
  const auto& cmds = out["routers"][0]["cmds"];
  ASSERT_EQ(cmds.size(), 2U);
  EXPECT_EQ(cmds[0][0], "Timer");
  EXPECT_EQ(cmds[1], nlohmann::json::array({"Assign", "t/a", "h:1", 800.0}));
}

TEST(Wire, PassesOverTheUnknownAndTheEnded) {
  Host host;
  host.reply(kInit);
  const auto out = host.reply(
      batch(R"(["Novelty",1],["Ring",99],["Gone","t/none"],["BroughtUp","x:1",3,"GOOD",1,1],)"
            R"(["Result","t/none",null,"GOOD",true,1,0,"h:1",null],["Sampled","GOOD",1,"q:9",[1]])"));
  EXPECT_EQ(out, R"({"n":2,"routers":[]})");
}

TEST(Wire, InstancesShareNothing) {
  Host host;
  host.reply(kInit);
  const auto out = host.reply(
      R"({"Time":1010,"n":2,"routers":[{"Router":"router_1","inbox":[["Order","t/b","c",null,null,0,1,2,null,9,1]]}]})");
  EXPECT_EQ(out, R"({"n":2,"routers":[]})");
}

TEST(Wire, NamesTheFaultOfAMalformedLine) {
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

TEST(Wire, ReadsSettingsWithTheirPlainMeanings) {
  const auto s = read_settings(nlohmann::json::parse(R"({"LoadInfo":{"How":"pull","Fields":["queue","new"]},
      "Kinds":["p","q"],"FamilyInfo":{"MemoryMbByKind":[5,6]},"RegistryMode":"ask"})"),
                               3);
  EXPECT_EQ(s.load_reports.mode, lotusyard::policy::ReportMode::probe);
  EXPECT_EQ(s.load_reports.fields,
            (std::vector<lotusyard::policy::ReportField>{lotusyard::policy::ReportField::queue,
                                                         lotusyard::policy::ReportField::other}));
  EXPECT_EQ(s.kind_memory_mb.at("q"), 6);
  EXPECT_TRUE(s.endpoint_list.polled);
  EXPECT_EQ(s.routers, 1);
  EXPECT_EQ(s.seed, 3U);
}

}  // namespace
}  // namespace lotusyard::simulator_adapter
