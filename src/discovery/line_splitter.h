// Splits a byte stream into lines.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace lotusyard::discovery {

// Lines end with LF or CRLF. Empty lines are dropped.
class LineSplitter {
 public:
  static constexpr std::size_t kMaxLineBytes = 1U << 20;  // no event is longer

  // Appends the lines that are complete now. Returns false once a line is too long; the stream must not be
  // parsed further after that.
  bool parse(std::string_view bytes, std::vector<std::string>& lines);

 private:
  std::string line_;  // the part of the current line that has arrived

  void end_line(std::vector<std::string>& lines);
};

}  // namespace lotusyard::discovery
