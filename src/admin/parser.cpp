#include "admin/parser.h"

#include <algorithm>
#include <cctype>
#include <optional>
#include <utility>

#include "net/fields.h"

namespace lotusyard::admin {
namespace {

constexpr int kBadRequest = 400, kTooLarge = 413, kUriTooLong = 414, kHeadTooLong = 431,
              kNotImplemented = 501, kVersion = 505;

bool token(std::string_view text) {
  static constexpr std::string_view others = "!#$%&'*+-.^_`|~";
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return std::isalnum(static_cast<unsigned char>(c)) != 0 || others.find(c) != std::string_view::npos;
  });
}

std::string lower(std::string_view text) {
  std::string out(text);
  for (char& c : out)
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  return out;
}

std::string_view trimmed(std::string_view text) {
  const auto blank = [](char c) { return c == ' ' || c == '\t'; };
  while (!text.empty() && blank(text.front()))
    text.remove_prefix(1);
  while (!text.empty() && blank(text.back()))
    text.remove_suffix(1);
  return text;
}

int hex_digit(char c) {
  if (c >= '0' && c <= '9')
    return c - '0';
  const char l = static_cast<char>(c | 0x20);
  return l >= 'a' && l <= 'f' ? l - 'a' + 10 : -1;
}

// Nothing if it is no path: what is encoded badly could be read in two ways.
std::optional<std::string> decoded_path(std::string_view target) {
  for (const std::string_view scheme : {"http://", "https://"}) {  // a proxy's form names the server as well
    if (lower(target.substr(0, scheme.size())) != scheme)
      continue;
    const auto slash = target.find('/', scheme.size());
    target = slash == std::string_view::npos ? "/" : target.substr(slash);
  }
  target = target.substr(0, target.find('?'));
  if (target.empty() || target.front() != '/')
    return std::nullopt;
  std::string out;
  for (std::size_t i = 0; i < target.size(); ++i) {
    if (target[i] != '%') {
      out += target[i];
      continue;
    }
    if (i + 2 >= target.size())
      return std::nullopt;
    const int high = hex_digit(target[i + 1]), low = hex_digit(target[i + 2]);
    if (high < 0 || low < 0)
      return std::nullopt;
    out += static_cast<char>(high * 16 + low);
    i += 2;
  }
  return out;
}

}  // namespace

Parser::State Parser::fail(int status) {
  fault_ = status;
  return state_ = State::faulty;
}

Parser::State Parser::request_line() {
  if (line_.empty())
    return State::more;  // empty lines before a request are passed over
  const auto first = line_.find(' '), second = line_.rfind(' ');
  if (first == std::string::npos || first == second)
    return fail(kBadRequest);
  const std::string_view all = line_;
  const auto method = all.substr(0, first), target = all.substr(first + 1, second - first - 1),
             version = all.substr(second + 1);
  if (!token(method) || target.find(' ') != std::string_view::npos)
    return fail(kBadRequest);
  if (version.size() != 8 || version.substr(0, 5) != "HTTP/" || version[6] != '.')
    return fail(kBadRequest);
  if (version[5] != '1')
    return fail(kVersion);
  needs_host_ = version[7] != '0';
  const auto path = decoded_path(target);
  if (!path)
    return fail(kBadRequest);
  request_ = {std::string(method), *path};
  part_ = Part::headers;
  return State::more;
}

Parser::State Parser::header() {
  if (line_.empty())
    return head_ended();
  const auto colon = line_.find(':');
  // A line that goes on from the one before, or a name with a blank, is read in two ways by different
  // parsers.
  if (colon == std::string::npos || !token(std::string_view(line_).substr(0, colon)))
    return fail(kBadRequest);
  const std::string name = lower(std::string_view(line_).substr(0, colon));
  const std::string_view value = trimmed(std::string_view(line_).substr(colon + 1));
  if (name == "host") {
    if (std::exchange(host_seen_, true))
      return fail(kBadRequest);
  } else if (name == "content-length") {
    const auto length = net::parse_whole(value, UINT64_MAX);
    if (!length)
      return fail(value.size() > 18 ? kTooLarge : kBadRequest);
    if (std::exchange(length_seen_, true) && *length != left_)
      return fail(kBadRequest);
    left_ = *length;
  } else if (name == "transfer-encoding") {
    if (lower(value) != "chunked")
      return fail(kNotImplemented);
    chunked_ = true;
  } else if (name == "expect") {
    wants_continue_ = lower(value) == "100-continue";
  }
  return State::more;
}

Parser::State Parser::head_ended() {
  if (needs_host_ && !host_seen_)
    return fail(kBadRequest);
  if (chunked_ && length_seen_)
    return fail(kBadRequest);  // which of the two holds is a guess
  if (left_ > longest_body)
    return fail(kTooLarge);
  if (chunked_) {
    part_ = Part::chunk_size;
  } else if (left_ > 0) {
    part_ = Part::body;
  } else {
    return state_ = State::whole;
  }
  return State::more;
}

Parser::State Parser::chunk_size() {
  const std::string_view digits = trimmed(std::string_view(line_).substr(0, line_.find(';')));
  if (digits.empty() || digits.size() > 8)
    return fail(digits.empty() ? kBadRequest : kTooLarge);
  left_ = 0;
  for (const char c : digits) {
    if (hex_digit(c) < 0)
      return fail(kBadRequest);
    left_ = left_ * 16 + static_cast<std::uint64_t>(hex_digit(c));
  }
  body_ += left_;
  if (body_ > longest_body)
    return fail(kTooLarge);
  part_ = left_ == 0 ? Part::trailers : Part::chunk;
  return State::more;
}

Parser::State Parser::line() {
  if (!line_.empty() && line_.back() == '\r')
    line_.pop_back();
  State now = State::more;
  if (part_ == Part::request_line) {
    now = request_line();
  } else if (part_ == Part::headers) {
    now = header();
  } else if (part_ == Part::chunk_size) {
    now = chunk_size();
  } else if (part_ == Part::chunk_end) {
    part_ = Part::chunk_size;
    now = line_.empty() ? State::more : fail(kBadRequest);
  } else if (line_.empty()) {  // the end of the trailers
    now = state_ = State::whole;
  }
  line_.clear();
  return now;
}

Parser::State Parser::parse(std::string_view bytes) {
  while (!bytes.empty() && state_ == State::more) {
    if (part_ == Part::body || part_ == Part::chunk) {
      const auto part = std::min<std::uint64_t>(left_, bytes.size());
      bytes.remove_prefix(static_cast<std::size_t>(part));
      left_ -= part;
      if (left_ > 0)
        break;
      if (part_ == Part::body)
        return state_ = State::whole;
      part_ = Part::chunk_end;
      continue;
    }
    const char c = bytes.front();
    bytes.remove_prefix(1);
    if (++head_ > longest_head)
      return fail(kHeadTooLong);
    if (c == '\n') {
      line();
    } else if (c == '\0') {
      return fail(kBadRequest);
    } else {
      line_ += c;
      // Guards memory against a line without an end.
      if (line_.size() > longest_line)
        return fail(part_ == Part::request_line ? kUriTooLong : kHeadTooLong);
    }
  }
  return state_;
}

}  // namespace lotusyard::admin
