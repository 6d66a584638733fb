#include "resp/parser.h"

#include <algorithm>

#include "net/fields.h"

namespace lotusyard::resp {
namespace {

constexpr std::size_t kLongestHeader = 12;  // a sign and more digits than any length allowed here has

}  // namespace

bool Parser::header(char sign, std::size_t most, std::size_t& value) const {
  if (line_.empty() || line_[0] != sign)
    return false;
  const auto read = net::parse_whole(std::string_view(line_).substr(1), most);
  value = read.value_or(0);
  return read.has_value();
}

bool Parser::header_line(std::vector<Words>& out) {
  if (state_ == State::array) {
    if (!header('*', most_words, words_left_) || words_left_ == 0)
      return false;
    words_.clear();
    message_left_ = longest_message;
    state_ = State::bulk;
  } else if (state_ == State::bulk) {
    if (!header('$', std::min(longest_word, message_left_), bytes_left_))
      return false;
    message_left_ -= bytes_left_;
    words_.emplace_back();
    state_ = State::data;
  } else {
    if (!line_.empty())
      return false;
    return next_word(out);
  }
  return true;
}

bool Parser::next_word(std::vector<Words>& out) {
  state_ = State::bulk;
  if (--words_left_ > 0)
    return true;
  out.push_back(std::move(words_));
  words_ = Words();
  state_ = State::array;
  return true;
}

bool Parser::parse(std::string_view bytes, std::vector<Words>& out) {
  while (!bytes.empty() && state_ != State::malformed) {
    if (state_ == State::data) {
      const std::size_t part = std::min(bytes_left_, bytes.size());
      words_.back().append(bytes.substr(0, part));
      bytes.remove_prefix(part);
      bytes_left_ -= part;
      if (bytes_left_ == 0)
        state_ = State::data_end;
      continue;
    }
    const char c = bytes.front();
    bytes.remove_prefix(1);
    if (return_seen_) {
      return_seen_ = false;
      if (c != '\n' || !header_line(out))
        state_ = State::malformed;
      line_.clear();
      if (state_ == State::data && bytes_left_ == 0)
        state_ = State::data_end;
    } else if (c == '\r') {
      return_seen_ = true;
    } else if (state_ == State::data_end || line_.size() >= kLongestHeader) {
      state_ = State::malformed;  // a word past its length, or a header that would grow without end
    } else {
      line_.push_back(c);
    }
  }
  return state_ != State::malformed;
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
