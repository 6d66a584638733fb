// Stored data and messages must keep their encoded forms: other processes, and earlier and later versions of
// the program, read them.
#include <catch2/catch.hpp>
#include <set>

#include "golden/golden_file.h"

namespace lotusyard::golden {
namespace {

TEST_CASE("encoded forms are byte for byte those of the golden files") {
  for (const auto& [name, make] : all_golden_files()) {
    DYNAMIC_SECTION(name) {
      const GoldenFile golden = make();
      const StoredSamples stored = read_golden(name);
      std::set<std::string> names;
      for (const auto& sample : golden.samples) {
        INFO(name << ": " << sample.name);
        CHECK(names.insert(sample.name).second);
        REQUIRE(stored.count(sample.name) == 1);
        CHECK(sample.encoded == stored.at(sample.name));
      }
      CHECK(names.size() == stored.size());
    }
  }
}

TEST_CASE("golden bytes are decoded, and encode to the same bytes again") {
  for (const auto& [name, make] : all_golden_files()) {
    DYNAMIC_SECTION(name) {
      const GoldenFile golden = make();
      const StoredSamples stored = read_golden(name);
      for (const auto& sample : golden.samples) {
        if (!sample.reencode)
          continue;
        INFO(name << ": " << sample.name);
        REQUIRE(stored.count(sample.name) == 1);
        std::string again;
        CHECK_NOTHROW(again = sample.reencode(stored.at(sample.name)));
        CHECK(again == stored.at(sample.name));
      }
    }
  }
}

// Run it by name after adding a sample. Any other change of a golden file means that existing data can no
// longer be read.
TEST_CASE("write the golden files", "[.write]") {
  for (const auto& [name, make] : all_golden_files())
    write_golden(make());
}

}  // namespace
}  // namespace lotusyard::golden
