#include "resp/parser.h"

#include <algorithm>
#include <utility>

#include "net/fields.h"

namespace lotusyard::resp {
namespace {

// The type and more digits than any length allowed here has.
constexpr std::size_t kMaxHeaderLength = 12;

}  // namespace

bool Parser::parse(std::string_view bytes, std::vector<Words>& arrays) {
  while (!bytes.empty() && state_ != State::malformed) {
    if (state_ == State::word) {
      parse_word_part(bytes);
    } else {
      parse_line_character(bytes.front(), arrays);
      bytes.remove_prefix(1);
    }
  }
  return state_ != State::malformed;
}

void Parser::parse_word_part(std::string_view& bytes) {
  const std::size_t length = std::min(word_bytes_left_, bytes.size());
  words_.back().append(bytes.substr(0, length));
  bytes.remove_prefix(length);
  word_bytes_left_ -= length;
  if (word_bytes_left_ == 0)
    state_ = State::word_end;
}

void Parser::parse_line_character(char character, std::vector<Words>& arrays) {
  if (return_seen_) {
    return_seen_ = false;
    if (character != '\n' || !finish_line(arrays))
      state_ = State::malformed;
    line_.clear();
  } else if (character == '\r') {
    return_seen_ = true;
  } else if (state_ == State::word_end || line_.size() >= kMaxHeaderLength) {
    state_ = State::malformed;  // a word is longer than its header says, or a header would grow without limit
  } else {
    line_.push_back(character);
  }
}

// Returns false if the line is malformed.
bool Parser::finish_line(std::vector<Words>& arrays) {
  switch (state_) {
    case State::array_header:
      return begin_array();
    case State::word_header:
      return begin_word();
    case State::word_end:
      return finish_word(arrays);
    case State::word:
    case State::malformed:
      break;
  }
  return false;
}

bool Parser::begin_array() {
  words_left_ = header_value('*', kMaxWords).value_or(0);
  if (words_left_ == 0)
    return false;
  words_.clear();
  message_bytes_left_ = kMaxMessageBytes;
  state_ = State::word_header;
  return true;
}

bool Parser::begin_word() {
  const auto length = header_value('$', std::min(kMaxWordBytes, message_bytes_left_));
  if (!length)
    return false;
  word_bytes_left_ = *length;
  message_bytes_left_ -= *length;
  words_.emplace_back();
  state_ = word_bytes_left_ > 0 ? State::word : State::word_end;
  return true;
}

bool Parser::finish_word(std::vector<Words>& arrays) {
  --words_left_;
  if (words_left_ > 0) {
    state_ = State::word_header;
    return true;
  }
  arrays.push_back(std::exchange(words_, Words()));
  state_ = State::array_header;
  return true;
}

// Returns nothing if the line is no header of this type, or its value is above `max`.
std::optional<std::size_t> Parser::header_value(char type, std::size_t max) const {
  if (line_.empty() || line_[0] != type)
    return std::nullopt;
  return net::parse_whole(std::string_view(line_).substr(1), max);
}

void write_array(std::string& out, const std::vector<std::string_view>& words) {
  out += '*' + std::to_string(words.size()) + "\r\n";
  for (const auto word : words) {
    out += '$' + std::to_string(word.size()) + "\r\n";
    out += word;
    out += "\r\n";
  }
}

}  // namespace lotusyard::resp
