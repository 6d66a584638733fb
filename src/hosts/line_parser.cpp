#include "hosts/line_parser.h"

#include <algorithm>

#include "net/fields.h"

namespace lotusyard::hosts {
namespace {

constexpr std::string_view kBodyEnd = "\r\n";
// ID WORD [FIELDS [LENGTH]]: requests may end early, see decode_reply() for replies.
constexpr std::size_t kMinWords = 2;
constexpr std::size_t kMaxWords = 4;

std::vector<std::string> split_words(std::string_view line) {
  std::vector<std::string> words(1);
  for (const char character : line) {
    if (character == ' ') {
      words.emplace_back();
    } else {
      words.back() += character;
    }
  }
  return words;
}

}  // namespace

bool LineParser::parse(std::string_view bytes, std::vector<Reply>& out) {
  while (!bytes.empty() && state_ != State::malformed) {
    switch (state_) {
      case State::line:
        read_line(bytes, out);
        break;
      case State::body:
        read_body(bytes);
        break;
      case State::body_end:
        read_body_end(bytes, out);
        break;
      case State::malformed:
        break;
    }
  }
  return state_ != State::malformed;
}

void LineParser::read_line(std::string_view& bytes, std::vector<Reply>& out) {
  const auto end = bytes.find('\n');
  line_.append(bytes.substr(0, std::min(end, kMaxLineLength + 1)));
  const bool is_too_long = line_.size() > kMaxLineLength;
  if (is_too_long)
    state_ = State::malformed;
  if (end == std::string_view::npos) {
    bytes = {};
    return;
  }
  bytes.remove_prefix(end + 1);
  if (is_too_long || line_.empty() || line_.back() != '\r') {
    state_ = State::malformed;
    return;
  }
  line_.pop_back();
  finish_line(out);
}

void LineParser::finish_line(std::vector<Reply>& out) {
  std::vector<std::string> words = split_words(line_);
  line_.clear();
  if (words.size() < kMinWords || words.size() > kMaxWords || words[0].empty() || words[1].empty()) {
    state_ = State::malformed;
    return;
  }
  reply_ = Reply{std::move(words[0]), std::move(words[1]), {}, std::nullopt};
  if (words.size() > kMinWords && words[2] != "-")
    reply_.fields = std::move(words[2]);
  if (words.size() < kMaxWords) {
    out.push_back(std::move(reply_));
    return;
  }
  const auto length = net::parse_whole(words[3], longest_body_);
  if (!length) {
    state_ = State::malformed;
    return;
  }
  reply_.body.emplace();
  body_bytes_left_ = *length;
  body_end_bytes_ = 0;
  state_ = body_bytes_left_ > 0 ? State::body : State::body_end;
}

void LineParser::read_body(std::string_view& bytes) {
  const std::size_t length = std::min(body_bytes_left_, bytes.size());
  reply_.body->append(bytes.substr(0, length));
  bytes.remove_prefix(length);
  body_bytes_left_ -= length;
  if (body_bytes_left_ == 0)
    state_ = State::body_end;
}

void LineParser::read_body_end(std::string_view& bytes, std::vector<Reply>& out) {
  if (bytes.front() != kBodyEnd[body_end_bytes_]) {
    state_ = State::malformed;
    return;
  }
  bytes.remove_prefix(1);
  if (++body_end_bytes_ < kBodyEnd.size())
    return;
  out.push_back(std::move(reply_));
  state_ = State::line;
}

}  // namespace lotusyard::hosts
