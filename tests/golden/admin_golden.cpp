// The admin endpoint: its HTTP responses, byte for byte.
#include "admin/admin_endpoint.h"
#include "golden/golden_file.h"
#include "golden/recording_client.h"

namespace lotusyard::golden {
namespace {

class SampleOperations final : public admin::AdminOperations {
 public:
  bool is_ready = true;
  bool can_persist = true;
  bool ready() const override { return is_ready; }
  admin::OperationResult disable(const std::string& host) override { return change(host); }
  admin::OperationResult enable(const std::string& host) override { return change(host); }
  std::optional<admin::Response> handle_request(const admin::Request& request) override {
    if (request.path != "/-/other")
      return std::nullopt;
    return admin::Response{202, R"({"done":false,"why":"","index":0})"};
  }

 private:
  admin::OperationResult change(const std::string& host) const {
    if (host != "h1")
      return admin::OperationResult::unknown_host;
    return can_persist ? admin::OperationResult::done : admin::OperationResult::not_persisted;
  }
};

class Endpoint {
 public:
  SampleOperations operations;
  Endpoint() : endpoint_(fixture_.loop, fixture_.counters, operations, 4) {
    REQUIRE(endpoint_.listen("127.0.0.1:0"));
  }
  std::string response(const std::string& bytes) {
    RecordingClient client(fixture_, endpoint_.address(), bytes);
    REQUIRE(fixture_.run_until([&] { return client.closed(); }));
    return client.received_bytes();
  }
  std::string response(const std::string& method, const std::string& path) {
    return response(method + " " + path + " HTTP/1.1\r\nHost: x\r\n\r\n");
  }

 private:
  test::InvokerFixture fixture_{0};
  admin::AdminEndpoint endpoint_;
};

void add_malformed(Endpoint& endpoint, std::vector<Sample>& samples) {
  const std::string line = "GET /-/ready HTTP/1.1\r\n", host = "Host: x\r\n";
  const std::vector<std::pair<std::string, std::string>> malformed = {
      {"bad request", "GET  /-/ready HTTP/1.1\r\n"},
      {"too large", line + host + "Content-Length: 70000\r\n\r\n"},
      {"long path", "GET /" + std::string(5000, 'a')},
      {"long header", line + "X: " + std::string(5000, 'a')},
      {"encoding", line + host + "Transfer-Encoding: gzip\r\n"},
      {"version", "GET /-/ready HTTP/2.0\r\n"}};
  for (const auto& [name, bytes] : malformed)
    samples.push_back({name, endpoint.response(bytes), {}});
}

}  // namespace

GoldenFile admin_golden() {
  Endpoint endpoint;
  GoldenFile golden{"admin", {}};
  const auto add = [&](const std::string& name, const std::string& method, const std::string& path) {
    golden.samples.push_back({name, endpoint.response(method, path), {}});
  };
  add("ready", "GET", "/-/ready");
  add("ready by another method", "POST", "/-/ready");
  add("disable", "POST", "/-/hosts/h1/disable");
  add("enable", "POST", "/-/hosts/h1/enable");
  add("enable by another method", "GET", "/-/hosts/h1/enable");
  add("unknown host", "POST", "/-/hosts/h2/enable");
  add("unknown call", "GET", "/-/none");
  add("other call", "GET", "/-/other");
  add_malformed(endpoint, golden.samples);
  endpoint.operations.is_ready = endpoint.operations.can_persist = false;
  add("not ready", "GET", "/-/ready");
  add("not kept", "POST", "/-/hosts/h1/disable");
  return golden;
}

}  // namespace lotusyard::golden
