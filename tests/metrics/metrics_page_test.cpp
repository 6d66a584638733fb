// The table of docs/metrics.md is made from the headers of src/metrics:
//   LOTUSYARD_WRITE_PAGES=1 build-tests/lotusyard_tests "[metrics-page]"
#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>
#include <string>
#include <vector>

namespace {

namespace fs = std::filesystem;

constexpr char kMarker[] = "<!-- The rest of this page is made from src/metrics by metrics_page_test. -->\n";

std::string read_file(const fs::path& path) {
  std::ifstream in(path);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

std::vector<fs::path> counter_headers() {
  std::vector<fs::path> out;
  for (const auto& entry : fs::directory_iterator(fs::path(LOTUSYARD_SOURCE_FOLDER) / "src/metrics")) {
    const std::string name = entry.path().filename().string();
    const std::string suffix = "_counters.h";
    if (name.size() > suffix.size() && name.substr(name.size() - suffix.size()) == suffix) {
      out.push_back(entry.path());
    }
  }
  std::sort(out.begin(), out.end());
  return out;
}

struct Definition {
  std::string name;  // as it is printed, with <label> for a label
  std::string help;
};

std::vector<Definition> definitions_of(const std::string& header) {
  static const std::regex form(
      R"re(inline constexpr (Counter|LabelledCounter)\s+k\w+\{\s*"([^"]+)",\s*"([^"]+)"\s*\};)re");
  std::vector<Definition> out;
  for (std::sregex_iterator i(header.begin(), header.end(), form), end; i != end; ++i) {
    const bool labelled = (*i)[1] == "LabelledCounter";
    out.push_back({(*i)[2].str() + (labelled ? "<label>" : ""), (*i)[3].str()});
  }
  return out;
}

std::string table_of(const fs::path& path) {
  const std::string header = read_file(path);
  std::string out =
      "\n## " + header.substr(3, header.find(".\n") - 3) + "\n\n| counter | counts |\n|---|---|\n";
  for (const Definition& definition : definitions_of(header)) {
    out += "| `" + definition.name + "` | " + definition.help + " |\n";
  }
  return out;
}

}  // namespace

TEST_CASE("the page of counters matches the definitions in the headers", "[metrics-page]") {
  std::string tables;
  for (const auto& path : counter_headers()) {
    tables += table_of(path);
  }
  const fs::path page = fs::path(LOTUSYARD_SOURCE_FOLDER) / "docs/metrics.md";
  const std::string text = read_file(page);
  const auto marker = text.find(kMarker);
  REQUIRE(marker != std::string::npos);
  const std::string expected = text.substr(0, marker) + kMarker + tables;
  if (std::getenv("LOTUSYARD_WRITE_PAGES") != nullptr) {
    std::ofstream(page) << expected;
  } else {
    CHECK(text == expected);
  }
}

TEST_CASE("every definition of a counter is on the page, and no name is defined twice") {
  std::set<std::string> names;
  for (const auto& path : counter_headers()) {
    const std::string header = read_file(path);
    const auto definitions = definitions_of(header);
    std::size_t declared = 0;
    for (auto at = header.find("inline constexpr"); at != std::string::npos;
         at = header.find("inline constexpr", at + 1)) {
      ++declared;
    }
    INFO(path);
    CHECK(definitions.size() ==
          declared);  // a definition that the regular expression does not match would be left out
    for (const Definition& definition : definitions) {
      CHECK(names.insert(definition.name).second);
    }
  }
  CHECK(names.size() > 200);
}
