#include "cli/admin_client.h"

#include <httplib.h>

#include <chrono>

#include "net/fields.h"

namespace lotusyard::cli {
namespace {

using Kind = AdminClientError::Kind;

constexpr std::chrono::seconds kTimeout{3};  // an admin endpoint responds at once
constexpr std::size_t kMaxBodyBytes = 16U << 20;
constexpr std::uint64_t kMaxPort = 65535;
constexpr int kOk = 200;

std::string percent_encode(const std::string& path) {
  static constexpr char kDigits[] = "0123456789ABCDEF";
  std::string out;
  for (const char c : path) {
    const auto byte = static_cast<unsigned char>(c);
    const bool is_plain = std::isalnum(byte) != 0 || c == '-' || c == '_' || c == '.' || c == '/' || c == '~';
    if (is_plain) {
      out += c;
    } else {
      out += '%';
      out += kDigits[byte >> 4];
      out += kDigits[byte & 15];
    }
  }
  return out;
}

AdminClientError error_of(httplib::Error error, const std::string& address) {
  switch (error) {
    case httplib::Error::Connection:
    case httplib::Error::ConnectionTimeout:
      return {Kind::unreachable, "no member answers at " + address};
    case httplib::Error::Write:
      return {Kind::connection_lost, "the member at " + address + " closed the connection"};
    case httplib::Error::Read:
      return {Kind::timed_out, "the member at " + address + " does not answer"};
    default:
      return {Kind::malformed, "the member at " + address + " sent no valid answer"};
  }
}

httplib::Client connect_to(const std::string& address) {
  const auto colon = address.rfind(':');
  const auto port =
      colon == std::string::npos ? std::nullopt : net::parse_whole(address.substr(colon + 1), kMaxPort);
  if (!port) {
    throw error_of(httplib::Error::Connection, address);
  }
  httplib::Client client(address.substr(0, colon), static_cast<int>(*port));
  client.set_connection_timeout(kTimeout);
  client.set_read_timeout(kTimeout);
  client.set_write_timeout(kTimeout);
  client.set_url_encode(false);  // paths hold JSON: percent_encode() covers more than the library does
  return client;
}

}  // namespace

AdminResponse AdminClient::request(const std::string& method, const std::string& path) const {
  httplib::Client client = connect_to(address_);
  AdminResponse response;
  httplib::Request request;
  request.method = method;
  request.path = percent_encode(path);
  request.content_receiver = [&response](const char* bytes, std::size_t length, std::uint64_t,
                                         std::uint64_t) {
    response.body.append(bytes, length);
    return response.body.size() <= kMaxBodyBytes;
  };
  const httplib::Result result = client.send(request);
  if (!result) {
    throw error_of(result.error(), address_);
  }
  response.status = result->status;
  while (!response.body.empty() && response.body.back() == '\n') {
    response.body.pop_back();
  }
  return response;
}

nlohmann::json AdminClient::fetch_status(const std::string& path) const {
  const AdminResponse response = get(path);
  if (response.status != kOk) {
    throw AdminClientError(Kind::unexpected_status, "the member at " + address_ + ": " + response.body);
  }
  return nlohmann::json::parse(response.body);
}

}  // namespace lotusyard::cli
