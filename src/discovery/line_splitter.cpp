#include "discovery/line_splitter.h"

#include <utility>

namespace lotusyard::discovery {

bool LineSplitter::parse(std::string_view bytes, std::vector<std::string>& lines) {
  while (!bytes.empty()) {
    const auto end = bytes.find('\n');
    line_.append(bytes.substr(0, end));
    if (line_.size() > kMaxLineBytes)
      return false;
    if (end == std::string_view::npos)
      return true;
    bytes.remove_prefix(end + 1);
    end_line(lines);
  }
  return true;
}

void LineSplitter::end_line(std::vector<std::string>& lines) {
  if (!line_.empty() && line_.back() == '\r')
    line_.pop_back();
  if (!line_.empty())
    lines.push_back(std::move(line_));
  line_.clear();
}

}  // namespace lotusyard::discovery
