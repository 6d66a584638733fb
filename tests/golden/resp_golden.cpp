// The RESP front end: its replies, byte for byte, and arrays as they are decoded and encoded.
#include "golden/golden_file.h"
#include "golden/recording_client.h"
#include "resp/front_end.h"

namespace lotusyard::golden {
namespace {

const std::string kFields = "ref=00000000000000a1,allow=60000,lookup=00000000000000a2";
const std::string kOtherFields = "ref=00000000000000a3,allow=60000,lookup=00000000000000a2";

std::string command(const std::vector<std::string_view>& words) {
  std::string out;
  resp::write_array(out, words);
  return out;
}

std::string reencode_array(const std::string& bytes) {
  resp::Parser parser;
  std::vector<resp::Words> out;
  if (!parser.parse(bytes, out) || out.size() != 1)
    throw std::runtime_error("not exactly one complete array");
  return command({out.front().begin(), out.front().end()});
}

class Service {
 public:
  explicit Service(std::size_t hosts = 1)
      : fixture(hosts, long_deadline_settings()),
        front_(fixture.loop, fixture.pool, fixture.dispatcher, fixture.counters, {}) {
    REQUIRE(front_.listen("127.0.0.1:0"));
  }

  test::InvokerFixture fixture;
  resp::FrontEnd& front() { return front_; }

  // Returns the reply to `bytes`. Runs `when_sent` once a call is open.
  std::string reply(
      const std::string& bytes, const std::function<void()>& when_sent = [] {}) {
    RecordingClient client(fixture, front_.address(), bytes);
    bool was_sent = false;
    REQUIRE(fixture.run_until([&] {
      if (!was_sent && front_.open_calls() > 0) {
        was_sent = true;
        when_sent();
      }
      return !client.received_bytes().empty();
    }));
    return client.received_bytes();
  }

 private:
  resp::FrontEnd front_;
};

// The reply to a call that no host answers: `answer` is given to the front end directly.
std::string reply_with(const core::Answer& answer) {
  Service service;
  service.fixture.host[0]->handler = [](const std::string&) {
    return test::Reaction{test::Reaction::silence};
  };
  const auto give = [&] {
    core::Answer copy = answer;
    service.front().answer(1, std::move(copy));
  };
  return service.reply(command({"CALL", "77", "bin-check", kFields, "body"}), give);
}

std::string reply_while_draining() {
  Service service;
  service.front().drain();
  return service.reply(command({"CHECK", "5"}));
}

}  // namespace

GoldenFile resp_golden() {
  Service service;
  const std::string call = command({"CALL", "12", "bin-check", kFields, "the body"});
  const std::string binary =
      command({"CALL", "13", "bin-check", kOtherFields, std::string_view("\0\r\n\xff", 4)});
  return {
      "resp",
      {{"array", call, reencode_array},
       {"array with bytes", binary, reencode_array},
       {"array of one", command({"X"}), reencode_array},
       {"served", service.reply(call), reencode_array},
       {"served bytes", service.reply(binary), reencode_array},
       {"up", service.reply(command({"CHECK", "5"})), reencode_array},
       {"down", reply_while_draining(), reencode_array},
       {"unknown command", service.reply(command({"NONE", "6"})), reencode_array},
       {"malformed call", service.reply(command({"CALL", "7", "bin-check"})), reencode_array},
       {"unknown class", service.reply(command({"CALL", "8", "none", kFields, "x"})), reencode_array},
       {"refused", reply_with({core::CallStatus::rejected, core::Millis(0), {}}), reencode_array},
       {"refused with a wait", reply_with({core::CallStatus::rejected, core::Millis(249.5), {}}),
        reencode_array},
       {"failed", reply_with({core::CallStatus::failed, core::Millis(0), {}}), reencode_array},
       {"failed with a wait", reply_with({core::CallStatus::failed, core::Millis(30), {}}), reencode_array}}};
}

}  // namespace lotusyard::golden
