// A client of a member's admin endpoint, for the sub-commands.
#pragma once

#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>

namespace lotusyard::cli {

// Why there is no response. what() names the member's address.
class AdminClientError : public std::runtime_error {
 public:
  enum class Kind { unreachable, connection_lost, timed_out, malformed, unexpected_status };
  AdminClientError(Kind kind, const std::string& text) : std::runtime_error(text), kind_(kind) {}
  Kind kind() const { return kind_; }

 private:
  Kind kind_;
};

struct AdminResponse {
  int status = 0;    // HTTP
  std::string body;  // without the newline at its end
};

// Each request has a connection of its own, as the admin endpoint closes it after one. Blocking; a member
// that does not respond within kTimeout ends in an AdminClientError.
class AdminClient {
 public:
  explicit AdminClient(std::string address) : address_(std::move(address)) {}

  // The path may hold any bytes; it is percent-encoded here.
  AdminResponse get(const std::string& path) const { return request("GET", path); }
  AdminResponse post(const std::string& path) const { return request("POST", path); }
  // The JSON at the path. Throws AdminClientError where the status is not 200.
  nlohmann::json fetch_status(const std::string& path) const;

 private:
  std::string address_;

  AdminResponse request(const std::string& method, const std::string& path) const;
};

}  // namespace lotusyard::cli
