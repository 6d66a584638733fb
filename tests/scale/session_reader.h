// Asks many processes at once for their session as their admin endpoints show it.
#pragma once

#include "scale/process_fleet.h"

namespace lotusyard::scale {

constexpr const char* kSessionPath = "/-/session";
constexpr double kAnswersWithin = 5;  // seconds

struct ShownSession {
  std::size_t records = 0;  // of the invoker's replica; 0 if nobody answered
  double at = 0;            // when the answer had been read, by the fleet's clock
};

class SessionReader {
 public:
  explicit SessionReader(ProcessFleet& fleet) : fleet_(fleet) {}

  // One value for each of `members`, in their order.
  std::vector<ShownSession> read(const std::vector<const ProcessFleet::Member*>& members) {
    std::list<Request> requests;
    for (const auto* member : members)
      requests.emplace_back(fleet_, member->door);
    const double began = fleet_.now();
    const auto open = [](const Request& request) { return request.ended_at == 0; };
    while (std::any_of(requests.begin(), requests.end(), open) && fleet_.now() - began < kAnswersWithin)
      fleet_.fixture().run_once();
    std::vector<ShownSession> out;
    for (const auto& request : requests)
      out.push_back(shown_in(request));
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
    std::string answer;
    double ended_at = 0;

   private:
    void on_connected() override { loop().flush_later(*this); }
    void on_received(std::string_view bytes) override { answer += bytes; }
    void on_closed() override { ended_at = fleet.now(); }
  };

  static ShownSession shown_in(const Request& request) {
    const auto head = request.answer.find("\r\n\r\n");
    if (head == std::string::npos)
      return {0, request.ended_at};
    const auto body = nlohmann::json::parse(request.answer.substr(head + 4), nullptr, false);
    if (!body.is_object() || !body.contains("records"))
      return {0, request.ended_at};
    return {body["records"].get<std::size_t>(), request.ended_at};
  }

  ProcessFleet& fleet_;
};

}  // namespace lotusyard::scale
