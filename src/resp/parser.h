// RESP arrays of bulk strings, in whatever pieces they come.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace lotusyard::resp {

using Words = std::vector<std::string>;

class Parser {
 public:
  // Only one word of a message may be long: its body.
  static constexpr std::size_t most_words = 8, longest_word = 16 * 1024;
  static constexpr std::size_t longest_message = longest_word + 2048;

  // Takes all bytes; whole arrays are added to `out`. False once the stream cannot be understood any more.
  bool parse(std::string_view bytes, std::vector<Words>& out);
  bool begun() const { return state_ != State::array || !line_.empty() || return_seen_; }

 private:
  enum class State { array, bulk, data, data_end, malformed };
  State state_ = State::array;
  std::string line_;  // of a header, without its end
  bool return_seen_ = false;
  std::size_t words_left_ = 0, bytes_left_ = 0, message_left_ = 0;
  Words words_;

  bool header(char sign, std::size_t most, std::size_t& value) const;
  bool header_line(std::vector<Words>& out);
  bool next_word(std::vector<Words>& out);
};

void write_array(std::string& out, const std::vector<std::string_view>& words);

}  // namespace lotusyard::resp
