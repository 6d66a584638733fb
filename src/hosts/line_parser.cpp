#include "hosts/line_parser.h"

#include <algorithm>

#include "net/fields.h"

namespace lotusyard::hosts {

bool LineParser::whole_line(std::vector<Reply>& out) {
  std::vector<std::string> words(1);
  for (const char c : line_) {
    if (c == ' ') {
      words.emplace_back();
    } else {
      words.back() += c;
    }
  }
  line_.clear();
  if (words.size() < 2 || words.size() > 4 || words[0].empty() || words[1].empty())
    return false;
  reply_ = Reply{std::move(words[0]), std::move(words[1]), {}, {}};
  if (words.size() > 2 && words[2] != "-")
    reply_.fields = std::move(words[2]);
  if (words.size() < 4) {
    out.push_back(std::move(reply_));
    return true;
  }
  const auto length = net::parse_whole(words[3], longest_body_);
  if (!length)
    return false;
  body_left_ = *length;
  ending_ = 0;
  state_ = State::body;
  return true;
}

bool LineParser::parse(std::string_view bytes, std::vector<Reply>& out) {
  while (!bytes.empty() && state_ != State::spoilt) {
    if (state_ == State::body && body_left_ > 0) {
      const std::size_t part = std::min(body_left_, bytes.size());
      reply_.body.append(bytes.substr(0, part));
      bytes.remove_prefix(part);
      body_left_ -= part;
    } else if (state_ == State::body) {
      if (bytes.front() != "\r\n"[ending_]) {
        state_ = State::spoilt;
        break;
      }
      bytes.remove_prefix(1);
      if (++ending_ < 2)
        continue;
      out.push_back(std::move(reply_));
      state_ = State::line;
    } else {
      const auto end = bytes.find('\n');
      line_.append(bytes.substr(0, std::min(end, longest_line + 1)));
      // Guards memory against a line without an end.
      if (line_.size() > longest_line)
        state_ = State::spoilt;
      if (end == std::string_view::npos)
        break;
      bytes.remove_prefix(end + 1);
      if (state_ == State::spoilt || line_.empty() || line_.back() != '\r') {
        state_ = State::spoilt;
        break;
      }
      line_.pop_back();
      if (!whole_line(out))
        state_ = State::spoilt;
    }
  }
  return state_ != State::spoilt;
}

}  // namespace lotusyard::hosts
