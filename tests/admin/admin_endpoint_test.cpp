// The admin endpoint: its parser, and its answers while others crowd it.
#include "admin/admin_endpoint.h"

#include <unistd.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "net/buffered_connection.h"
#include "net/event_loop.h"
#include "support/invoker_fixture.h"
#include "support/random_input.h"
#include "support/test_settings.h"

namespace lotusyard::test {
namespace {

using admin::OperationResult;
using admin::Parser;

// The parser's status: 0 if more is to come, 200 once whole, else what the caller is owed.
int status_of(const Parser& parser) {
  if (parser.state() == Parser::State::faulty)
    return parser.fault();
  return parser.state() == Parser::State::whole ? 200 : 0;
}
int read_cut(Random& random, const std::string& bytes, admin::Request* out = nullptr) {
  Parser parser;
  for (std::size_t at = 0; at < bytes.size() && parser.state() == Parser::State::more;) {
    const std::size_t part = std::min(bytes.size() - at, 1 + below(random, 1 + below(random, 40)));
    parser.parse(std::string_view(bytes).substr(at, part));
    at += part;
  }
  if (out != nullptr)
    *out = parser.request();
  return status_of(parser);
}
const std::string host = "Host: x\r\n";

TEST_CASE("a call to the admin endpoint reads the same however it is cut") {
  Random random(5);
  const std::vector<std::string> calls = {
      "POST /-/hosts/s-1/disable HTTP/1.1\r\n" + host + "\r\n",
      "POST /-/hosts/s%2D1/disable?now HTTP/1.1\r\n" + host + "Content-Length: 5\r\n\r\nhello",
      "POST http://x:9/-/hosts/s-1/disable HTTP/1.1\r\nhOsT:x\r\nContent-Length: 0\r\n\r\n",
      "\r\nPOST /-/hosts/s-1/disable HTTP/1.0\r\n\r\n",
      "POST /-/hosts/s-1/disable HTTP/1.1\r\n" + host +
          "Transfer-Encoding: Chunked\r\n\r\n4;a=b\r\nwxyz\r\n1\r\n!\r\n0\r\nTrailer: t\r\n\r\n"};
  for (const auto& call : calls) {
    for (int i = 0; i < 200; ++i) {
      admin::Request read;
      REQUIRE(read_cut(random, call, &read) == 200);
      CHECK((read.method == "POST" && read.path == "/-/hosts/s-1/disable"));
      CHECK(read_cut(random, call.substr(0, call.size() - 1)) == 0);  // half a call is no call
    }
  }
}

TEST_CASE("a faulty call is owed the status that names its fault") {
  Random random(6);
  const std::string head = "GET /-/ready HTTP/1.1\r\n";
  const std::vector<std::pair<int, std::string>> faulty = {
      {400, "GET /-/ready\r\n"},
      {400, "GET  /-/ready HTTP/1.1\r\n"},
      {400, "G\x01T /-/ready HTTP/1.1\r\n"},
      {400, "GET ready HTTP/1.1\r\n"},
      {400, "GET /%zz HTTP/1.1\r\n"},
      {400, "GET /-/ready HTTP/1.1\r\n\r\n"},
      {400, head + host + "no colon\r\n"},
      {400, head + host + host},
      {400, head + host + " folded: x\r\n"},
      {400, head + host + "Content-Length: -1\r\n"},
      {400, head + host + "Content-Length: 1\r\nContent-Length: 2\r\n"},
      {400, head + host + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n"},
      {400, head + host + "Transfer-Encoding: chunked\r\n\r\nxyz\r\n"},
      {400, head + host + "Transfer-Encoding: chunked\r\n\r\n1\r\nab\r\n"},
      {413, head + host + "Content-Length: 70000\r\n\r\n"},
      {413, head + host + "Content-Length: 99999999999999999999999\r\n\r\n"},
      {413, head + host + "Transfer-Encoding: chunked\r\n\r\nfffff\r\n"},
      {414, "GET /" + std::string(5000, 'a')},
      {431, head + "X: " + std::string(5000, 'a')},
      {431, head + std::string(900, 'a') + ": x\r\n" + std::string(20000, 'b')},
      {501, head + host + "Transfer-Encoding: gzip\r\n"},
      {505, "GET /-/ready HTTP/2.0\r\n"}};
  for (const auto& [status, bytes] : faulty) {
    INFO(bytes.substr(0, 120));
    for (int i = 0; i < 20; ++i)
      CHECK(read_cut(random, bytes) == status);
  }
}

TEST_CASE("garbage at the admin endpoint is survived, and never grows") {
  Random random(7);
  for (int i = 0; i < 3000; ++i) {
    std::string bytes = garbage(random, "GET POST/-hosts%2: \r\n0123456789HTTP.Content-Length");
    if (below(random, 2) == 0)
      bytes = "POST /-/hosts/a/enable HTTP/1.1\r\n" + bytes;
    const int status = read_cut(random, bytes);
    CHECK((status == 0 || status == 200 || (status >= 400 && status < 600)));
  }
}

class Call final : public net::BufferedConnection {
 public:
  Call(InvokerFixture& world, const std::string& address, const std::string& bytes)
      : BufferedConnection(world.loop, world.pool, net::connect_to(address).socket, true), world_(world) {
    write(bytes);
  }
  int status() {
    world_.run_until([&] { return closed; }, 20000);
    return got.size() < 12 ? 0 : std::stoi(got.substr(9, 3));
  }
  std::string got;
  bool closed = false;

 private:
  InvokerFixture& world_;
  void on_connected() override { loop().flush_later(*this); }
  void on_received(std::string_view bytes) override { got += bytes; }
  void on_closed() override { closed = true; }
};

struct Office final : admin::AdminOperations {
  bool takes = true, keeps = true;
  std::vector<std::string> told;
  bool ready() const override { return takes; }
  OperationResult disable(const std::string& id) override { return change("out " + id, id); }
  OperationResult enable(const std::string& id) override { return change("in " + id, id); }
  OperationResult change(const std::string& what, const std::string& id) {
    if (id != "s-1")
      return OperationResult::unknown_host;
    if (!keeps)
      return OperationResult::not_persisted;
    told.push_back(what);
    return OperationResult::done;
  }
};

std::string post(const std::string& path) { return "POST " + path + " HTTP/1.1\r\n" + host + "\r\n"; }
std::string get(const std::string& path) { return "GET " + path + " HTTP/1.1\r\n" + host + "\r\n"; }

struct Desk {
  InvokerFixture world{0};
  Office office;
  admin::AdminEndpoint admin_endpoint;
  explicit Desk(std::size_t callers = 4) : admin_endpoint(world.loop, world.counters, office, callers) {
    REQUIRE(admin_endpoint.listen("127.0.0.1:0"));
  }
  int ask(const std::string& bytes) { return Call(world, admin_endpoint.address(), bytes).status(); }
};

TEST_CASE("the operators' calls are answered by path, method and host") {
  Desk desk;
  CHECK(desk.ask(get("/-/ready")) == 200);
  desk.office.takes = false;
  CHECK(desk.ask(get("/-/ready")) == 503);
  CHECK(desk.ask(post("/-/ready")) == 405);
  CHECK(desk.ask(get("/-/hosts/s-1/disable")) == 405);
  Call wrong(desk.world, desk.admin_endpoint.address(), get("/-/hosts/s-1/enable"));
  CHECK(wrong.status() == 405);
  CHECK(wrong.got.find("\r\nAllow: POST\r\n") != std::string::npos);
  for (const char* path :
       {"/", "/-/hosts//disable", "/-/hosts/s-1", "/-/hosts/s-1/remove", "/-/hosts/s-2/enable"}) {
    CHECK(desk.ask(post(path)) == 404);
  }
  CHECK(desk.ask(post("/-/hosts/s-1/disable")) == 200);
  CHECK(desk.ask(post("/-/hosts/s%2d1/enable")) == 200);
  CHECK(desk.office.told == std::vector<std::string>{"out s-1", "in s-1"});
  desk.office.keeps = false;
  CHECK(desk.ask(post("/-/hosts/s-1/disable")) == 503);
  CHECK(desk.ask("nonsense\r\n\r\n") == 400);
}

TEST_CASE("callers that hold half a call, or none, keep no whole one out") {
  Desk desk(3);
  std::list<Call> halves;
  for (int i = 0; i < 30; ++i) {
    halves.emplace_back(desk.world, desk.admin_endpoint.address(), i % 2 == 0 ? "" : "GET /-/rea");
    if (i % 3 == 0)
      CHECK(desk.ask(get("/-/ready")) == 200);
  }
  REQUIRE(desk.world.run_until(
      [&] { return std::all_of(halves.begin(), halves.end(), [](const auto& c) { return c.closed; }); }));
  const auto timed_out = [](const auto& c) { return c.got.compare(0, 12, "HTTP/1.1 408") == 0; };
  CHECK(std::count_if(halves.begin(), halves.end(), timed_out) == 30);
  CHECK(desk.world.run_until([&] { return desk.admin_endpoint.quiet(); }));
}

// A peer that always has something to read, and takes its time with it.
class Slow final : public net::EventHandler {
 public:
  explicit Slow(std::function<void()> work) : work_(std::move(work)) {}
  void ready(short) override { work_(); }

 private:
  std::function<void()> work_;
};

TEST_CASE("the admin endpoint is served ahead of a crowd, and again in the midst of a long turn") {
  Desk desk;
  int pipes[2];
  REQUIRE(pipe(pipes) == 0);
  REQUIRE(write(pipes[1], "x", 1) == 1);
  const net::Socket reads(pipes[0]), writes(pipes[1]);
  std::vector<std::unique_ptr<Slow>> crowd;
  std::vector<net::Socket> ends;
  std::unique_ptr<Call> call;
  int turns_begun = 0, worked_after = -1, worked = 0;
  for (int i = 0; i < 40; ++i) {
    ends.emplace_back(dup(reads.fd()));
    crowd.push_back(std::make_unique<Slow>([&, i] {
      if (i == 0 && ++turns_begun == 1) {  // the call comes once the turn is under way
        call = std::make_unique<Call>(desk.world, desk.admin_endpoint.address(), get("/-/ready"));
        call->ready(POLLOUT);
        call->flush_now();
      }
      const auto until = desk.world.loop.now() + Millis(5);
      while (desk.world.loop.now() < until) {
      }
      ++worked;
      if (worked_after < 0 && desk.world.counters.value("console.calls") > 0)
        worked_after = worked;
    }));
    desk.world.loop.register_handler(ends.back().fd(), *crowd.back(), POLLIN);
  }
  desk.world.turn();
  CHECK(turns_begun == 1);
  CHECK(desk.world.counters.value("console.calls") == 1);
  CHECK((worked_after > 0 && worked_after < 40));
  for (std::size_t i = 0; i < crowd.size(); ++i)
    desk.world.loop.unregister(ends[i].fd(), *crowd[i]);
}

}  // namespace
}  // namespace lotusyard::test
