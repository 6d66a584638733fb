// Parses RESP arrays of bulk strings from a stream of bytes, and encodes them.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lotusyard::resp {

// The words of one command or response.
using Words = std::vector<std::string>;

class Parser {
 public:
  // The words of one array.
  static constexpr std::size_t kMaxWords = 8;
  // Only one word of an array may be long: the body of a call.
  static constexpr std::size_t kMaxWordBytes = 16 * 1024;
  static constexpr std::size_t kMaxMessageBytes = kMaxWordBytes + 2048;  // all words of an array

  // Parses all bytes and appends the arrays that are complete to `arrays`. Returns false once the stream is
  // malformed; from then on it ignores all bytes.
  bool parse(std::string_view bytes, std::vector<Words>& arrays);

  // True if a part of an array was parsed, or the stream is malformed.
  bool in_progress() const { return state_ != State::array_header || !line_.empty() || return_seen_; }

 private:
  enum class State { array_header, word_header, word, word_end, malformed };

  void parse_word_part(std::string_view& bytes);
  void parse_line_character(char character, std::vector<Words>& arrays);
  bool finish_line(std::vector<Words>& arrays);
  bool begin_array();
  bool begin_word();
  bool finish_word(std::vector<Words>& arrays);
  std::optional<std::size_t> header_value(char type, std::size_t max) const;

  State state_ = State::array_header;
  std::string line_;          // of a header, without its line end
  bool return_seen_ = false;  // "\r", after which "\n" has to follow
  std::size_t words_left_ = 0;
  std::size_t word_bytes_left_ = 0;
  std::size_t message_bytes_left_ = 0;
  Words words_;
};

// Appends an array of bulk strings to `out`.
void write_array(std::string& out, const std::vector<std::string_view>& words);

}  // namespace lotusyard::resp
