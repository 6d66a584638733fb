#include "cli/timeline_command.h"

#include <fstream>
#include <iostream>
#include <stdexcept>
#include <string>
#include <vector>

#include "maintenance/timeline.h"

namespace lotusyard::cli {
namespace {

struct TimelineOptions {
  std::vector<std::string> logs;
  std::string svg;  // path of the chart; empty: none
};

std::vector<std::string> read_lines(const std::vector<std::string>& paths) {
  std::vector<std::string> lines;
  for (const auto& path : paths) {
    std::ifstream in(path);
    if (!in) {
      throw std::runtime_error(path + ": cannot be read");
    }
    for (std::string line; std::getline(in, line);) {
      lines.push_back(line);
    }
  }
  return lines;
}

void write_file(const std::string& path, const std::string& text) {
  std::ofstream out(path);
  out << text;
  out.close();
  if (!out) {
    throw std::runtime_error(path + ": cannot be written");
  }
}

ExitStatus timeline(const TimelineOptions& options) {
  const auto events = maintenance::parse_timeline(read_lines(options.logs));
  std::cout << maintenance::render_table(events) << std::flush;
  if (!options.svg.empty()) {
    write_file(options.svg, maintenance::render_svg(events));
  }
  return ExitStatus::done;
}

}  // namespace

void add_timeline_command(CLI::App& works, ChosenCommand& chosen) {
  const auto options = std::make_shared<TimelineOptions>();
  CLI::App* command = add_command(works, chosen, options, "timeline",
                                  "which hosts were out and when, from the members' logs", &timeline);
  command->add_option("log", options->logs)->required();
  command->add_option("--svg", options->svg, "writes a chart to this file");
}

}  // namespace lotusyard::cli
