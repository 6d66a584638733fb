// The HTTP parser of the admin endpoint.
#include "admin/request_parser.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "support/random_input.h"

namespace lotusyard::test {
namespace {

using admin::RequestParser;

// 0 while the request is incomplete, 200 once it is complete, else the status of the error.
int status_of(const RequestParser& parser) {
  if (parser.state() == RequestParser::State::malformed)
    return static_cast<int>(parser.error_status());
  return parser.state() == RequestParser::State::complete ? 200 : 0;
}

// Parses the bytes in random pieces.
int parse_in_pieces(Random& random, const std::string& bytes, admin::Request* request = nullptr) {
  RequestParser parser;
  for (std::size_t offset = 0; offset < bytes.size() && parser.state() == RequestParser::State::incomplete;) {
    const std::size_t size = std::min(bytes.size() - offset, 1 + below(random, 1 + below(random, 40)));
    parser.parse(std::string_view(bytes).substr(offset, size));
    offset += size;
  }
  if (request != nullptr)
    *request = parser.request();
  return status_of(parser);
}
const std::string host = "Host: x\r\n";

TEST_CASE("a request to the admin endpoint parses the same however it is split into pieces") {
  Random random(5);
  const std::vector<std::string> requests = {
      "POST /-/hosts/s-1/disable HTTP/1.1\r\n" + host + "\r\n",
      "POST /-/hosts/s%2D1/disable?now HTTP/1.1\r\n" + host + "Content-Length: 5\r\n\r\nhello",
      "POST http://x:9/-/hosts/s-1/disable HTTP/1.1\r\nhOsT:x\r\nContent-Length: 0\r\n\r\n",
      "\r\nPOST /-/hosts/s-1/disable HTTP/1.0\r\n\r\n",
      "POST /-/hosts/s-1/disable HTTP/1.1\r\n" + host +
          "Transfer-Encoding: Chunked\r\n\r\n4;a=b\r\nwxyz\r\n1\r\n!\r\n0\r\nTrailer: t\r\n\r\n"};
  for (const auto& bytes : requests) {
    for (int i = 0; i < 200; ++i) {
      admin::Request request;
      REQUIRE(parse_in_pieces(random, bytes, &request) == 200);
      CHECK((request.method == "POST" && request.path == "/-/hosts/s-1/disable"));
      CHECK(parse_in_pieces(random, bytes.substr(0, bytes.size() - 1)) == 0);
    }
  }
}

TEST_CASE("a malformed request gets the status that names its error") {
  Random random(6);
  const std::string head = "GET /-/ready HTTP/1.1\r\n";
  const std::vector<std::pair<int, std::string>> malformed = {
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
  for (const auto& [status, bytes] : malformed) {
    INFO(bytes.substr(0, 120));
    for (int i = 0; i < 20; ++i)
      CHECK(parse_in_pieces(random, bytes) == status);
  }
}

TEST_CASE("random bytes at the admin endpoint give a valid status") {
  Random random(7);
  for (int i = 0; i < 3000; ++i) {
    std::string bytes = garbage(random, "GET POST/-hosts%2: \r\n0123456789HTTP.Content-Length");
    if (below(random, 2) == 0)
      bytes = "POST /-/hosts/a/enable HTTP/1.1\r\n" + bytes;
    const int status = parse_in_pieces(random, bytes);
    CHECK((status == 0 || status == 200 || (status >= 400 && status < 600)));
  }
}

}  // namespace
}  // namespace lotusyard::test
