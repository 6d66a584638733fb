// The hosts' answers: lines of words, some with a body of a stated length, in whatever pieces they come.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace lotusyard::hosts {

struct Reply {
  std::string id, word, fields;  // fields: empty for '-'
  std::string body;
};

class LineParser {
 public:
  static constexpr std::size_t longest_line = 2048;
  explicit LineParser(std::size_t longest_body = 1U << 20) : longest_body_(longest_body) {}

  // Takes all bytes; whole replies are added to `out`. False once the stream cannot be understood any more.
  bool parse(std::string_view bytes, std::vector<Reply>& out);
  std::size_t held() const { return line_.size() + reply_.body.size(); }
  bool begun() const { return state_ == State::body || !line_.empty(); }  // a reply, and its rest has to come

 private:
  enum class State { line, body, spoilt };
  std::size_t longest_body_;
  State state_ = State::line;
  std::string line_;
  Reply reply_;
  std::size_t body_left_ = 0, ending_ = 0;  // ending_: bytes of the CR LF after a body that have come

  bool whole_line(std::vector<Reply>& out);
};

}  // namespace lotusyard::hosts
