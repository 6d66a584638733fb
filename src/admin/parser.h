// One HTTP/1.1 request, in whatever pieces it comes. Its body is read and left out: no call needs one.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace lotusyard::admin {

struct Request {
  std::string method, path;  // path: decoded, without its query
};

class Parser {
 public:
  static constexpr std::size_t longest_line = 2048, longest_head = 8192, longest_body = 64 * 1024;

  enum class State { more, whole, faulty };
  // Takes bytes up to the request's end; what comes behind it is not looked at.
  State parse(std::string_view bytes);
  State state() const { return state_; }
  int fault() const { return fault_; }  // the status that a faulty request is owed
  const Request& request() const { return request_; }
  bool wants_continue() const { return wants_continue_ && state_ == State::more; }  // waits to send its body
  void continued() { wants_continue_ = false; }

 private:
  enum class Part { request_line, headers, body, chunk_size, chunk, chunk_end, trailers };
  State state_ = State::more;
  Part part_ = Part::request_line;
  int fault_ = 0;
  Request request_;
  std::string line_;
  std::size_t head_ = 0, body_ = 0;
  std::uint64_t left_ = 0;
  bool chunked_ = false, length_seen_ = false, host_seen_ = false, needs_host_ = false,
       wants_continue_ = false;

  State fail(int status);
  State line();
  State request_line();
  State header();
  State head_ended();
  State chunk_size();
};

}  // namespace lotusyard::admin
