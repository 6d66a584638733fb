// Random segmentations of a byte stream and random bytes, from a seed that the test gives.
#pragma once

#include <algorithm>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace lotusyard::test {

using Random = std::mt19937_64;

inline std::size_t below(Random& random, std::size_t bound) { return random() % bound; }

// Feeds `bytes` to a parser in parts of random length. A parser must give the same results however the bytes
// are split. `valid` tells whether it accepted them all.
template <typename Parser, typename Out>
std::vector<Out> parse_in_parts(Random& random, const std::string& bytes, bool& valid) {
  Parser parser;
  std::vector<Out> out;
  valid = true;
  for (std::size_t at = 0; at < bytes.size() && valid;) {
    const std::size_t part = std::min(bytes.size() - at, 1 + below(random, 1 + below(random, 40)));
    valid = parser.parse(std::string_view(bytes).substr(at, part), out);
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
