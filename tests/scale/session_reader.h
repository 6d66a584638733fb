// Reads the session status of many processes at once from their admin endpoints.
#pragma once

#include "scale/process_fleet.h"

namespace lotusyard::scale {

constexpr const char* kSessionPath = "/-/session";
constexpr double kResponseTimeout = 5;  // seconds

struct SessionStatus {
  std::size_t records = 0;  // of the invoker's replica; 0 without a response
  double at = 0;            // when the response was complete, by the fleet's clock
};

class SessionReader {
 public:
  explicit SessionReader(ProcessFleet& fleet) : fleet_(fleet) {}

  // One value for each of `members`, in their order.
  std::vector<SessionStatus> read(const std::vector<const ProcessFleet::Member*>& members) {
    std::list<Request> requests;
    for (const auto* member : members)
      requests.emplace_back(fleet_, member->admin_address);
    const double started = fleet_.now();
    const auto open = [](const Request& request) { return request.ended_at == 0; };
    while (std::any_of(requests.begin(), requests.end(), open) && fleet_.now() - started < kResponseTimeout)
      fleet_.fixture().run_once();
    std::vector<SessionStatus> out;
    for (const auto& request : requests)
      out.push_back(parse_status(request));
    return out;
  }

 private:
  struct Request final : net::BufferedConnection {
    Request(ProcessFleet& among, const std::string& address)
        : BufferedConnection(among.fixture().loop, among.fixture().pool, net::connect_to(address).socket,
                             true),
          fleet(among) {
      write(std::string("GET ") + kSessionPath + " HTTP/1.1\r\nHost: x\r\n\r\n");
    }
    ProcessFleet& fleet;
    std::string response;
    double ended_at = 0;

   private:
    void on_connected() override { loop().flush_later(*this); }
    void on_received(std::string_view bytes) override { response += bytes; }
    void on_closed() override { ended_at = fleet.now(); }
  };

  static SessionStatus parse_status(const Request& request) {
    const auto head = request.response.find("\r\n\r\n");
    if (head == std::string::npos)
      return {0, request.ended_at};
    const auto body = nlohmann::json::parse(request.response.substr(head + 4), nullptr, false);
    if (!body.is_object() || !body.contains("records"))
      return {0, request.ended_at};
    return {body["records"].get<std::size_t>(), request.ended_at};
  }

  ProcessFleet& fleet_;
};

}  // namespace lotusyard::scale
