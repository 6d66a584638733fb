// What is stored and what goes over connections keeps its form: other processes, and earlier and later
// versions of the program, read it.
#include <catch2/catch.hpp>
#include <set>

#include "golden/golden_part.h"

namespace lotusyard::golden {
namespace {

TEST_CASE("encoded forms are byte for byte those of the golden files") {
  for (const auto& [name, make] : all_parts()) {
    DYNAMIC_SECTION(name) {
      const Part part = make();
      const StoredSamples stored = read_golden(name);
      std::set<std::string> names;
      for (const auto& sample : part.samples) {
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
  for (const auto& [name, make] : all_parts()) {
    DYNAMIC_SECTION(name) {
      const Part part = make();
      const StoredSamples stored = read_golden(name);
      for (const auto& sample : part.samples) {
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

// Run by name, by whoever adds a sample. A file that changes otherwise holds forms that can't be read any
// more.
TEST_CASE("write the golden files", "[.write]") {
  for (const auto& [name, make] : all_parts())
    write_golden(make());
}

}  // namespace
}  // namespace lotusyard::golden
