// HTTP requests and responses of the admin endpoint.
#pragma once

#include <string>

namespace lotusyard::admin {

enum class HttpStatus : int {
  ok = 200,
  accepted = 202,
  bad_request = 400,
  not_found = 404,
  method_not_allowed = 405,
  request_timeout = 408,
  content_too_large = 413,
  uri_too_long = 414,
  header_fields_too_large = 431,
  not_implemented = 501,
  service_unavailable = 503,
  version_not_supported = 505
};

struct Request {
  std::string method;
  std::string path;  // percent-decoded, without the query
};

// The result of an operation; the endpoint adds the headers.
struct Response {
  int status = static_cast<int>(HttpStatus::ok);  // one of HttpStatus
  std::string text;                               // without a line end
};

// A response as it is sent.
struct HttpResponse {
  HttpStatus status = HttpStatus::ok;
  std::string text;            // the body, without its line end
  std::string allowed_method;  // value of the Allow header; empty: the header is left out
};

// The decimal code.
std::string to_string(HttpStatus status);

// Serializes a response that ends the connection.
std::string serialize(const HttpResponse& response);

}  // namespace lotusyard::admin
