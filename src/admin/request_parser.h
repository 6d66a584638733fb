// An incremental parser of one HTTP/1.1 request.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "admin/http_message.h"

namespace lotusyard::admin {

// The body is read and discarded: no operation needs one. Memory is bounded by kMaxLineBytes.
class RequestParser {
 public:
  static constexpr std::size_t kMaxLineBytes = 2048;
  static constexpr std::size_t kMaxHeadBytes = 8192;  // all lines, those between chunks of the body included
  static constexpr std::size_t kMaxBodyBytes = 64 * 1024;

  enum class State { incomplete, complete, malformed };

  // Parses bytes up to the end of the request; bytes after it are ignored.
  State parse(std::string_view bytes);

  State state() const { return state_; }
  HttpStatus error_status() const { return error_status_; }  // of a malformed request
  const Request& request() const { return request_; }        // of a complete request

  // Whether the client waits for an interim response before it sends the body.
  bool expects_continue() const { return expects_continue_ && state_ == State::incomplete; }
  void continue_sent() { expects_continue_ = false; }

 private:
  enum class Section { request_line, headers, body, chunk_size, chunk, chunk_end, trailers };

  State state_ = State::incomplete;
  Section section_ = Section::request_line;
  HttpStatus error_status_ = HttpStatus::bad_request;
  Request request_;
  bool needs_host_ = false;
  bool has_host_ = false;
  bool chunked_ = false;
  bool expects_continue_ = false;
  std::optional<std::uint64_t> content_length_;
  std::string line_;              // the part of the current line that has arrived
  std::size_t head_bytes_ = 0;    // counted against kMaxHeadBytes
  std::uint64_t body_bytes_ = 0;  // of all chunks so far
  std::uint64_t remaining_ = 0;   // bytes of the body or chunk that have not arrived

  void fail(HttpStatus status);
  void skip_body(std::string_view& bytes);
  void parse_line_byte(char byte);
  void parse_line();
  void parse_request_line();
  void parse_header();
  void parse_content_length(std::string_view value);
  void end_headers();
  void parse_chunk_size();
  void end_chunk();
};

}  // namespace lotusyard::admin
