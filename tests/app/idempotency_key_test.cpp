// Idempotency keys of clients: forwarded unchanged, or rejected.
#include "support/resp_fixture.h"

namespace lotusyard::test {
namespace {

using Kind = Reaction::Kind;

core::Settings keyed_settings_without_probes() {
  core::Settings invoker_settings = keyed_settings(Millis(15000));
  invoker_settings.host_protocol.accepts_probes = false;
  invoker_settings.host_protocol.answers_misses = false;
  return invoker_settings;
}

// Two hosts, of which the first to be called fails its first attempt.
class KeyedCalls {
 public:
  KeyedCalls() {
    for (auto& host : service.invoker.host) {
      host->handler = [this](const std::string&) {
        return attempts_++ == 0 ? Reaction{Kind::reply, "failed"} : Reaction();
      };
    }
  }
  // Sends a call with further fields; returns the status of its answer.
  std::string call(const char* call_class, const std::string& fields) {
    const std::string tag = std::to_string(++last_call_);
    client_.send({"CALL", tag, call_class,
                  "ref=" + net::hex16(last_call_) +
                      ",allow=1000,lookup=00000000000000a1,spec=memory_mb:300;lanes:4" + fields,
                  "x"});
    REQUIRE(client_.answer(tag) != nullptr);
    return client_.answer(tag)->at(1);
  }
  // The fields of all attempts that hosts received.
  std::vector<std::string> received_fields() const {
    std::vector<std::string> fields;
    for (const auto& host : service.invoker.host)
      fields.insert(fields.end(), host->fields.begin(), host->fields.end());
    return fields;
  }

  RespFixture service{2, {}, InvokerFixture::limits(), keyed_settings_without_probes()};

 private:
  Client client_{service.invoker, service.front_end.address()};
  std::uint64_t last_call_ = 0;
  int attempts_ = 0;
};

// Regression: the key was not forwarded, and hosts got calls that were not as their clients had sent them.
TEST_CASE("an idempotency key reaches hosts unchanged on every attempt; an invalid one fails its call") {
  KeyedCalls calls;
  const std::string key = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";
  CHECK(calls.call("booking", ",replay=" + key) == "OK");
  const std::vector<std::string> first_attempts = calls.received_fields();
  REQUIRE(first_attempts.size() == 2);  // the first failed, and may be retried under its key
  for (const auto& fields : first_attempts)
    CHECK(fields.find(",op=" + key) != std::string::npos);
  CHECK(calls.call("bin-check", "") == "OK");
  CHECK(calls.call("booking", ",replay=" + key + ",dup=1") == "OK");
  const auto& stand_in_hosts = calls.service.invoker.host;
  const int attempts = stand_in_hosts[0]->execs + stand_in_hosts[1]->execs;
  for (const std::string& invalid :
       {std::string(), std::string(",replay="), ",replay=" + std::string(200, 'a'),
        std::string(",replay=a b"), std::string(",replay=\xFF\0", 10), ",replay=" + key + ",replay=" + key,
        ",replay=" + key + ",dup=0", ",replay=" + key + ",dup=yes",
        ",replay=" + key + ",lookup=00000000000000a2"})
    CHECK(calls.call("booking", invalid) == "FAILED");
  CHECK(stand_in_hosts[0]->execs + stand_in_hosts[1]->execs == attempts);
  CHECK(calls.call("bin-check", ",dup=1") == "OK");
  CHECK(calls.service.invoker.counters.value("calls.no_key") == 2);
  CHECK(calls.service.invoker.counters.value("calls.bad_key") == 3);
}

}  // namespace
}  // namespace lotusyard::test
