// Random cuts of a stream and random bytes, from seeds that a test names.
#pragma once

#include <algorithm>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace lotusyard::test {

using Random = std::mt19937_64;

inline std::size_t below(Random& random, std::size_t bound) { return random() % bound; }

// The parser must give the same for a message however it is cut.
template <typename Parser, typename Out>
std::vector<Out> parse_cut(Random& random, const std::string& bytes, bool& sound) {
  Parser parser;
  std::vector<Out> out;
  sound = true;
  for (std::size_t at = 0; at < bytes.size() && sound;) {
    const std::size_t part = std::min(bytes.size() - at, 1 + below(random, 1 + below(random, 40)));
    sound = parser.parse(std::string_view(bytes).substr(at, part), out);
    at += part;
  }
  return out;
}
inline std::string garbage(Random& random, const std::string& alphabet) {
  std::string out(below(random, 400), ' ');
  for (char& c : out)
    c = below(random, 3) == 0 ? static_cast<char>(random()) : alphabet[below(random, alphabet.size())];
  return out;
}

}  // namespace lotusyard::test
