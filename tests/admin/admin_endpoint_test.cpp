// The responses of the admin endpoint, also under load.
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
#include "support/test_settings.h"

namespace lotusyard::test {
namespace {

using admin::OperationResult;

const std::string host = "Host: x\r\n";

class AdminClient final : public net::BufferedConnection {
 public:
  AdminClient(InvokerFixture& fixture, const std::string& address, const std::string& bytes)
      : BufferedConnection(fixture.loop, fixture.pool, net::connect_to(address).socket, true),
        fixture_(fixture) {
    write(bytes);
  }
  int status() {
    fixture_.run_until([&] { return closed; }, 20000);
    return received.size() < 12 ? 0 : std::stoi(received.substr(9, 3));
  }
  std::string received;
  bool closed = false;

 private:
  InvokerFixture& fixture_;
  void on_connected() override { loop().flush_later(*this); }
  void on_received(std::string_view bytes) override { received += bytes; }
  void on_closed() override { closed = true; }
};

struct RecordingOperations final : admin::AdminOperations {
  bool is_ready = true;
  bool can_persist = true;
  std::vector<std::string> changes;
  bool ready() const override { return is_ready; }
  OperationResult disable(const std::string& id) override { return change("out " + id, id); }
  OperationResult enable(const std::string& id) override { return change("in " + id, id); }
  OperationResult change(const std::string& what, const std::string& id) {
    if (id != "s-1")
      return OperationResult::unknown_host;
    if (!can_persist)
      return OperationResult::not_persisted;
    changes.push_back(what);
    return OperationResult::done;
  }
};

std::string post(const std::string& path) { return "POST " + path + " HTTP/1.1\r\n" + host + "\r\n"; }
std::string get(const std::string& path) { return "GET " + path + " HTTP/1.1\r\n" + host + "\r\n"; }

struct Endpoint {
  InvokerFixture fixture{0};
  RecordingOperations operations;
  admin::AdminEndpoint admin_endpoint;
  explicit Endpoint(std::size_t callers = 4)
      : admin_endpoint(fixture.loop, fixture.counters, operations, callers) {
    REQUIRE(admin_endpoint.listen("127.0.0.1:0"));
  }
  int request(const std::string& bytes) {
    return AdminClient(fixture, admin_endpoint.address(), bytes).status();
  }
};

TEST_CASE("requests are answered by path, method and host") {
  Endpoint endpoint;
  CHECK(endpoint.request(get("/-/ready")) == 200);
  endpoint.operations.is_ready = false;
  CHECK(endpoint.request(get("/-/ready")) == 503);
  CHECK(endpoint.request(post("/-/ready")) == 405);
  CHECK(endpoint.request(get("/-/hosts/s-1/disable")) == 405);
  AdminClient wrong_method(endpoint.fixture, endpoint.admin_endpoint.address(), get("/-/hosts/s-1/enable"));
  CHECK(wrong_method.status() == 405);
  CHECK(wrong_method.received.find("\r\nAllow: POST\r\n") != std::string::npos);
  for (const char* path :
       {"/", "/-/hosts//disable", "/-/hosts/s-1", "/-/hosts/s-1/remove", "/-/hosts/s-2/enable"}) {
    CHECK(endpoint.request(post(path)) == 404);
  }
  CHECK(endpoint.request(post("/-/hosts/s-1/disable")) == 200);
  CHECK(endpoint.request(post("/-/hosts/s%2d1/enable")) == 200);
  CHECK(endpoint.operations.changes == std::vector<std::string>{"out s-1", "in s-1"});
  endpoint.operations.can_persist = false;
  CHECK(endpoint.request(post("/-/hosts/s-1/disable")) == 503);
  CHECK(endpoint.request("nonsense\r\n\r\n") == 400);
}

TEST_CASE("connections with an incomplete request, or none, keep no complete one out") {
  Endpoint endpoint(3);
  std::list<AdminClient> incomplete;
  for (int i = 0; i < 30; ++i) {
    incomplete.emplace_back(endpoint.fixture, endpoint.admin_endpoint.address(),
                            i % 2 == 0 ? "" : "GET /-/rea");
    if (i % 3 == 0)
      CHECK(endpoint.request(get("/-/ready")) == 200);
  }
  REQUIRE(endpoint.fixture.run_until([&] {
    return std::all_of(incomplete.begin(), incomplete.end(),
                       [](const auto& client) { return client.closed; });
  }));
  const auto timed_out = [](const auto& client) {
    return client.received.compare(0, 12, "HTTP/1.1 408") == 0;
  };
  CHECK(std::count_if(incomplete.begin(), incomplete.end(), timed_out) == 30);
  CHECK(endpoint.fixture.run_until([&] { return endpoint.admin_endpoint.quiet(); }));
}

// A handler that is always ready, and whose work takes long.
class SlowHandler final : public net::EventHandler {
 public:
  explicit SlowHandler(std::function<void()> work) : work_(std::move(work)) {}
  void ready(short) override { work_(); }

 private:
  std::function<void()> work_;
};

// Many slow handlers that are all ready in one iteration.
class SlowIteration {
 public:
  SlowIteration(net::EventLoop& loop, int handlers, const std::function<void(int index)>& work)
      : loop_(loop) {
    int pipe_ends[2];
    REQUIRE(pipe(pipe_ends) == 0);
    REQUIRE(write(pipe_ends[1], "x", 1) == 1);
    descriptors_.emplace_back(pipe_ends[0]);
    write_end_ = net::Socket(pipe_ends[1]);
    for (int i = 0; i < handlers; ++i) {
      descriptors_.emplace_back(dup(pipe_ends[0]));
      handlers_.push_back(std::make_unique<SlowHandler>([work, i] { work(i); }));
      loop_.register_handler(descriptors_.back().fd(), *handlers_.back(), POLLIN);
    }
  }
  ~SlowIteration() {
    for (std::size_t i = 0; i < handlers_.size(); ++i)
      loop_.unregister(descriptors_[i + 1].fd(), *handlers_[i]);
  }
  SlowIteration(const SlowIteration&) = delete;
  SlowIteration& operator=(const SlowIteration&) = delete;

 private:
  net::EventLoop& loop_;
  net::Socket write_end_;
  std::vector<net::Socket> descriptors_;  // the pipe's end, then one for each handler
  std::vector<std::unique_ptr<SlowHandler>> handlers_;
};

void busy_wait(const net::EventLoop& loop, Millis duration) {
  const Millis until = loop.now() + duration;
  while (loop.now() < until) {
  }
}

TEST_CASE("the admin endpoint is served ahead of many clients, and in the middle of a long iteration") {
  constexpr int kHandlers = 40;
  Endpoint endpoint;
  std::unique_ptr<AdminClient> client;
  int iterations = 0, served_after = -1, worked = 0;
  const auto work = [&](int index) {
    if (index == 0 && ++iterations == 1) {  // the request arrives when the iteration is under way
      client =
          std::make_unique<AdminClient>(endpoint.fixture, endpoint.admin_endpoint.address(), get("/-/ready"));
      client->ready(POLLOUT);
      client->flush_now();
    }
    busy_wait(endpoint.fixture.loop, Millis(5));
    ++worked;
    if (served_after < 0 && endpoint.fixture.counters.value("console.calls") > 0)
      served_after = worked;
  };
  const SlowIteration slow(endpoint.fixture.loop, kHandlers, work);
  endpoint.fixture.run_once();
  CHECK(iterations == 1);
  CHECK(endpoint.fixture.counters.value("console.calls") == 1);
  CHECK((served_after > 0 && served_after < kHandlers));
}

}  // namespace
}  // namespace lotusyard::test
