// Framing of the host protocol: lines of words, some followed by a body of a stated length.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lotusyard::hosts {

// One framed message, which hosts/host_protocol.h decodes. Requests have the same form.
struct Reply {
  std::string id, word, fields;     // fields: empty where the wire has '-' or nothing
  std::optional<std::string> body;  // nothing where the line states no length
};

// Incremental parser that splits a byte stream into messages. Memory is bounded by the longest line and the
// longest body.
class LineParser {
 public:
  // Bytes. Bounds the memory that a line without an end can take.
  static constexpr std::size_t kMaxLineLength = 2048;
  explicit LineParser(std::size_t longest_body = 1U << 20) : longest_body_(longest_body) {}

  // Consumes all bytes and appends the completed messages to `out`. Returns false once the stream is
  // malformed, and on every later call.
  bool parse(std::string_view bytes, std::vector<Reply>& out);
  // Buffered bytes of an incomplete message.
  std::size_t buffered_bytes() const { return line_.size() + (reply_.body ? reply_.body->size() : 0); }
  // True if the rest of a message is still to arrive.
  bool has_partial_message() const {
    return state_ == State::body || state_ == State::body_end || !line_.empty();
  }

 private:
  enum class State { line, body, body_end, malformed };

  // Each consumes at least one byte, or marks the stream as malformed.
  void read_line(std::string_view& bytes, std::vector<Reply>& out);
  void read_body(std::string_view& bytes);
  void read_body_end(std::string_view& bytes, std::vector<Reply>& out);
  void finish_line(std::vector<Reply>& out);

  std::size_t longest_body_;
  State state_ = State::line;
  std::string line_;
  Reply reply_;
  std::size_t body_bytes_left_ = 0;
  std::size_t body_end_bytes_ = 0;  // of the CR LF behind a body
};

}  // namespace lotusyard::hosts
