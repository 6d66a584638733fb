#include "admin/request_parser.h"

#include <algorithm>
#include <utility>

#include "admin/http_text.h"
#include "net/fields.h"

namespace lotusyard::admin {
namespace {

constexpr std::size_t kMaxLengthDigits = 18;    // net::parse_whole() accepts no longer Content-Length
constexpr std::size_t kMaxChunkSizeDigits = 8;  // hexadecimal

// Whether the text is HTTP/x.y. Only the separators are checked.
bool is_version(std::string_view text) {
  return text.size() == 8 && text.substr(0, 5) == "HTTP/" && text[6] == '.';
}

}  // namespace

RequestParser::State RequestParser::parse(std::string_view bytes) {
  while (!bytes.empty() && state_ == State::incomplete) {
    if (section_ == Section::body || section_ == Section::chunk) {
      skip_body(bytes);
    } else {
      parse_line_byte(bytes.front());
      bytes.remove_prefix(1);
    }
  }
  return state_;
}

void RequestParser::fail(HttpStatus status) {
  error_status_ = status;
  state_ = State::malformed;
}

void RequestParser::skip_body(std::string_view& bytes) {
  const auto size = std::min<std::uint64_t>(remaining_, bytes.size());
  bytes.remove_prefix(static_cast<std::size_t>(size));
  remaining_ -= size;
  if (remaining_ > 0)
    return;
  if (section_ == Section::body)
    state_ = State::complete;
  else
    section_ = Section::chunk_end;
}

void RequestParser::parse_line_byte(char byte) {
  if (++head_bytes_ > kMaxHeadBytes)
    return fail(HttpStatus::header_fields_too_large);
  if (byte == '\n')
    return parse_line();
  if (byte == '\0')
    return fail(HttpStatus::bad_request);
  line_ += byte;
  if (line_.size() <= kMaxLineBytes)
    return;
  const bool in_request_line = section_ == Section::request_line;
  fail(in_request_line ? HttpStatus::uri_too_long : HttpStatus::header_fields_too_large);
}

void RequestParser::parse_line() {
  if (!line_.empty() && line_.back() == '\r')
    line_.pop_back();
  switch (section_) {
    case Section::request_line:
      parse_request_line();
      break;
    case Section::headers:
      parse_header();
      break;
    case Section::chunk_size:
      parse_chunk_size();
      break;
    case Section::chunk_end:
      end_chunk();
      break;
    case Section::trailers:
      if (line_.empty())
        state_ = State::complete;
      break;
    case Section::body:
    case Section::chunk:
      break;  // have no lines
  }
  line_.clear();
}

void RequestParser::parse_request_line() {
  if (line_.empty())
    return;  // empty lines before a request are ignored
  const auto first_space = line_.find(' ');
  const auto last_space = line_.rfind(' ');
  if (first_space == std::string::npos || first_space == last_space)
    return fail(HttpStatus::bad_request);
  const std::string_view line = line_;
  const std::string_view method = line.substr(0, first_space);
  const std::string_view target = line.substr(first_space + 1, last_space - first_space - 1);
  const std::string_view version = line.substr(last_space + 1);
  if (!is_token(method) || target.find(' ') != std::string_view::npos || !is_version(version))
    return fail(HttpStatus::bad_request);
  if (version[5] != '1')
    return fail(HttpStatus::version_not_supported);
  needs_host_ = version[7] != '0';
  auto path = decode_path(target);
  if (!path)
    return fail(HttpStatus::bad_request);
  request_ = {std::string(method), std::move(*path)};
  section_ = Section::headers;
}

void RequestParser::parse_header() {
  if (line_.empty())
    return end_headers();
  const std::string_view line = line_;
  const auto colon = line.find(':');
  // Parsers differ on a line that continues the one before, and on blanks in a name: both are rejected.
  if (colon == std::string_view::npos || !is_token(line.substr(0, colon)))
    return fail(HttpStatus::bad_request);
  const std::string name = to_lower(line.substr(0, colon));
  const std::string_view value = trim(line.substr(colon + 1));
  if (name == "host") {
    if (std::exchange(has_host_, true))
      fail(HttpStatus::bad_request);
  } else if (name == "content-length") {
    parse_content_length(value);
  } else if (name == "transfer-encoding") {
    if (to_lower(value) != "chunked")
      return fail(HttpStatus::not_implemented);
    chunked_ = true;
  } else if (name == "expect") {
    expects_continue_ = to_lower(value) == "100-continue";
  }
}

void RequestParser::parse_content_length(std::string_view value) {
  const auto length = net::parse_whole(value, UINT64_MAX);
  if (!length) {
    const bool too_long = value.size() > kMaxLengthDigits;
    return fail(too_long ? HttpStatus::content_too_large : HttpStatus::bad_request);
  }
  if (content_length_ && *content_length_ != *length)
    return fail(HttpStatus::bad_request);
  content_length_ = length;
}

void RequestParser::end_headers() {
  if (needs_host_ && !has_host_)
    return fail(HttpStatus::bad_request);
  if (chunked_ && content_length_)
    return fail(HttpStatus::bad_request);  // parsers differ on which of the two is right
  remaining_ = content_length_.value_or(0);
  if (remaining_ > kMaxBodyBytes)
    return fail(HttpStatus::content_too_large);
  if (chunked_)
    section_ = Section::chunk_size;
  else if (remaining_ > 0)
    section_ = Section::body;
  else
    state_ = State::complete;
}

void RequestParser::parse_chunk_size() {
  const std::string_view line = line_;
  const std::string_view digits = trim(line.substr(0, line.find(';')));  // without extensions
  if (digits.empty())
    return fail(HttpStatus::bad_request);
  if (digits.size() > kMaxChunkSizeDigits)
    return fail(HttpStatus::content_too_large);
  remaining_ = 0;
  for (const char character : digits) {
    const auto digit = hex_digit(character);
    if (!digit)
      return fail(HttpStatus::bad_request);
    remaining_ = remaining_ * 16 + *digit;
  }
  body_bytes_ += remaining_;
  if (body_bytes_ > kMaxBodyBytes)
    return fail(HttpStatus::content_too_large);
  section_ = remaining_ == 0 ? Section::trailers : Section::chunk;
}

void RequestParser::end_chunk() {
  section_ = Section::chunk_size;
  if (!line_.empty())
    fail(HttpStatus::bad_request);
}

}  // namespace lotusyard::admin
