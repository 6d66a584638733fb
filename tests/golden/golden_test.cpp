// What is stored and what goes over connections keeps its form: other processes, and earlier and later
// versions of the program, read it.
#include <catch2/catch.hpp>
#include <set>

#include "golden_part.h"

namespace lotusyard::golden {
namespace {

TEST_CASE("encoded forms are byte for byte those of the golden files") {
  for (const auto& part : all_parts()) {
    const StoredSamples stored = read_golden(part.name);
    std::set<std::string> names;
    for (const auto& sample : part.samples) {
      INFO(part.name << ": " << sample.name);
      CHECK(names.insert(sample.name).second);
      REQUIRE(stored.count(sample.name) == 1);
      CHECK(sample.encoded == stored.at(sample.name));
    }
    INFO(part.name);
    CHECK(names.size() == stored.size());
  }
}

TEST_CASE("golden bytes are decoded, and encode to the same bytes again") {
  std::size_t decoded_samples = 0;
  for (const auto& part : all_parts()) {
    const StoredSamples stored = read_golden(part.name);
    for (const auto& sample : part.samples) {
      if (!sample.reencode) continue;
      INFO(part.name << ": " << sample.name);
      REQUIRE(stored.count(sample.name) == 1);
      std::string again;
      REQUIRE_NOTHROW(again = sample.reencode(stored.at(sample.name)));
      CHECK(again == stored.at(sample.name));
      ++decoded_samples;
    }
  }
  CHECK(decoded_samples > 0);
}

// Run by name, by whoever adds a sample. Files that change by it hold forms that no longer can be read.
TEST_CASE("write the golden files", "[.write]") {
  for (const auto& part : all_parts()) write_golden(part);
}

}  // namespace
}  // namespace lotusyard::golden
