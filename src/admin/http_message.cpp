#include "admin/http_message.h"

namespace lotusyard::admin {
namespace {

const char* reason_phrase(HttpStatus status) {
  switch (status) {
    case HttpStatus::ok:
      return "OK";
    case HttpStatus::accepted:
      return "Accepted";
    case HttpStatus::not_found:
      return "Not Found";
    case HttpStatus::method_not_allowed:
      return "Method Not Allowed";
    case HttpStatus::request_timeout:
      return "Request Timeout";
    case HttpStatus::content_too_large:
      return "Content Too Large";
    case HttpStatus::uri_too_long:
      return "URI Too Long";
    case HttpStatus::header_fields_too_large:
      return "Request Header Fields Too Large";
    case HttpStatus::not_implemented:
      return "Not Implemented";
    case HttpStatus::service_unavailable:
      return "Service Unavailable";
    case HttpStatus::version_not_supported:
      return "HTTP Version Not Supported";
    case HttpStatus::bad_request:
      break;
  }
  return "Bad Request";
}

}  // namespace

std::string to_string(HttpStatus status) { return std::to_string(static_cast<int>(status)); }

std::string serialize(const HttpResponse& response) {
  const std::string body = response.text + "\n";
  std::string bytes =
      "HTTP/1.1 " + to_string(response.status) + ' ' + reason_phrase(response.status) + "\r\n";
  if (!response.allowed_method.empty())
    bytes += "Allow: " + response.allowed_method + "\r\n";
  bytes += "Content-Type: text/plain\r\n";
  bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  bytes += "Cache-Control: no-store\r\n";
  bytes += "Connection: close\r\n\r\n";
  return bytes + body;
}

}  // namespace lotusyard::admin
