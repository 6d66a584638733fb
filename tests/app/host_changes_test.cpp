// Hosts that refuse connections, drain, restart or do not answer.
#include "support/resp_fixture.h"

namespace lotusyard::test {
namespace {

using Kind = Reaction::Kind;

class StatusRecorder final : public core::FrontEnd {
 public:
  void answer(core::CallId, core::Answer&& answer) override { statuses.push_back(answer.status); }

  std::vector<core::CallStatus> statuses;
};

TEST_CASE("a refused connection proves that nothing ran: a bin-record is retried on another host") {
  RespFixture service(2);
  service.invoker.host[0]->server.stop();
  Client client(service.invoker, service.front_end.address());
  for (int i = 1; i <= 6; ++i)
    client.call(std::to_string(i), "bin-record", std::to_string(i));
  for (int i = 1; i <= 6; ++i) {
    REQUIRE(client.answer(std::to_string(i)) != nullptr);
    CHECK(client.answer(std::to_string(i))->at(1) == "OK");
  }
}

TEST_CASE("a draining host gets nothing new") {
  RespFixture service(1);
  Client client(service.invoker, service.front_end.address());
  client.call("1", "bin-check", "x");
  REQUIRE(client.answer("1") != nullptr);
  service.invoker.update_hosts(lotusyard::policy::HostState::draining);
  client.call("2", "bin-check", "y", 300);
  REQUIRE(client.answer("2") != nullptr);
  CHECK(client.answer("2")->at(1) == "BUSY");
  REQUIRE(client.answer("2")->size() == 3);
  CHECK_THAT(client.answer("2")->at(2), Catch::StartsWith("cooldown="));
  CHECK(service.invoker.host[0]->runs.count("y") == 0);
}

// Regression: bytes written to a closing connection were dropped, and the attempt counted as run.
TEST_CASE("a call that arrives in the iteration in which an idle connection closes is sent on a new one") {
  StatusRecorder recorder;
  hosts::Limits limits = InvokerFixture::limits();
  limits.idle_timeout = Millis(50);
  InvokerFixture fixture(1, settings(), limits);
  const auto admit_call = [&](const char* ref) {
    core::Call call;
    call.ref = ref;
    call.class_name = "bin-record";
    call.function_name = "0000000000000007";
    call.function = 7;
    call.lanes = 4;
    call.arrived = fixture.loop.now();
    call.timeout = Millis(1000);
    fixture.dispatcher.admit(fixture.dispatcher.allocate_call_id(), std::move(call), recorder);
  };
  admit_call("000000000000000a");
  REQUIRE(fixture.run_until([&] { return recorder.statuses.size() == 1; }, 20000));
  const Millis due = fixture.loop.now() + Millis(50);
  fixture.loop.schedule_at(due, [&] { admit_call("000000000000000b"); });
  while (fixture.loop.now() < due) {
  }  // both timers are due in one iteration, that of the connection first
  REQUIRE(fixture.run_until([&] { return recorder.statuses.size() == 2; }, 20000));
  CHECK(recorder.statuses[1] == core::CallStatus::succeeded);
  CHECK(fixture.counters.value("hosts.links_opened") == 2);
}

TEST_CASE("a host restarted at its old address is reached over a new connection") {
  RespFixture service(1);
  Client client(service.invoker, service.front_end.address());
  client.call("1", "bin-check", "x");
  REQUIRE(client.answer("1") != nullptr);
  const auto opened = service.invoker.counters.value("hosts.links_opened");
  service.invoker.update_hosts(lotusyard::policy::HostState::ready,
                               service.invoker.loop.now().count() - 20000);
  client.call("2", "bin-check", "y");
  REQUIRE(client.answer("2") != nullptr);
  CHECK(client.answer("2")->at(1) == "OK");
  CHECK(service.invoker.counters.value("hosts.links_opened") == opened + 1);
}

TEST_CASE("a call to a host that does not answer fails at its deadline and its connection is closed") {
  RespFixture service(1);
  service.invoker.host[0]->handler = [](const std::string&) { return Reaction{Kind::silence, ""}; };
  Client client(service.invoker, service.front_end.address());
  client.call("1", "bin-record", "x", 600);
  REQUIRE(client.answer("1") != nullptr);
  CHECK(client.answer("1")->at(1) == "FAILED");
  CHECK(service.invoker.run_until([&] { return service.invoker.counters.value("hosts.links_ended") == 1; },
                                  20000));
}

}  // namespace
}  // namespace lotusyard::test
