#include "control/lease_rules.h"

#include <algorithm>
#include <limits>
#include <map>
#include <set>

namespace lotusyard::test {
namespace {

constexpr double kClockRounding = 5;  // lines carry whole milliseconds
// A process writes that its lease is over once it runs again; on a busy machine that may be late. What it
// does meanwhile is checked at the hosts, without any slack.
constexpr double kSchedulingSlack = 300;

struct Line {
  double at = 0;
  std::string process, text;
  std::uint64_t index = 0;
};

struct LeftAlone {  // the hosts that a process left alone, from a point in time on
  double at = 0;
  bool all = true;  // it uses no host
  std::set<std::string> hosts;
};
using History = std::vector<LeftAlone>;

std::string value_of(const std::string& line, const std::string& key) {
  const auto at = line.find(' ' + key + '=');
  if (at == std::string::npos)
    return {};
  const auto from = at + key.size() + 2;
  return line.substr(from, line.find(' ', from) - from);
}

bool contains(const std::string& text, const char* part) { return text.find(part) != std::string::npos; }

std::map<std::string, std::vector<Line>> lines_by_process(const std::vector<std::string>& lines) {
  std::map<std::string, std::vector<Line>> out;
  for (const auto& text : lines) {
    if (text.compare(0, 9, "works at=") != 0)
      continue;
    Line line{std::stod(value_of(text, "at")), value_of(text, "member"), text, 0};
    const std::string index = value_of(text, "index");
    if (!index.empty())
      line.index = std::stoull(index);
    out[line.process].push_back(std::move(line));
  }
  return out;
}

void apply(const Line& line, LeftAlone& state) {
  const std::string host = value_of(line.text, "host");
  if (contains(line.text, "lease held"))
    state.all = false;
  if (contains(line.text, "no host is used"))
    state.all = true;
  if (contains(line.text, "is left alone"))
    state.hosts.insert(host);
  if (contains(line.text, "is used again"))
    state.hosts.erase(host);
}

History history_of(const std::string& process, const std::vector<Line>& lines,
                   const std::vector<Downtime>& downtimes) {
  History out{{}};
  auto next = lines.begin();
  const auto apply_until = [&](double end) {
    for (; next != lines.end() && next->at < end; ++next) {
      LeftAlone state = out.back();
      state.at = next->at;
      apply(*next, state);
      out.push_back(std::move(state));
    }
  };
  for (const auto& absence : downtimes) {
    if (absence.name != process || !absence.killed)
      continue;
    apply_until(absence.from);
    out.push_back({absence.from, true, {}});  // a new process uses no host before its first lease
  }
  apply_until(kForever);
  return out;
}

const LeftAlone& state_at(const History& history, double at) {
  const auto later = [](double time, const LeftAlone& state) { return time < state.at; };
  return *std::prev(std::upper_bound(history.begin(), history.end(), at, later));
}

bool was_absent(const std::string& process, double at, const std::vector<Downtime>& downtimes) {
  return std::any_of(downtimes.begin(), downtimes.end(), [&](const Downtime& absence) {
    return absence.name == process && at >= absence.from && at <= absence.to + kSchedulingSlack;
  });
}

std::string used_while_touched(const std::string& process, const History& history, const ReleasePeriod& span,
                               const std::vector<Downtime>& downtimes) {
  const auto check = [&](double at) -> std::string {
    const LeftAlone& state = state_at(history, at);
    if (state.all || state.hosts.count(span.host) != 0 || was_absent(process, at, downtimes))
      return {};
    return process + " may use " + span.host + " which operators have since " + std::to_string(span.from);
  };
  const double from = span.from + kSchedulingSlack;
  if (from >= span.to)
    return {};
  std::string broken = check(from);
  for (const auto& state : history) {
    if (broken.empty() && state.at > from && state.at < span.to)
      broken = check(state.at);
  }
  return broken;
}

struct Taking {
  std::uint64_t index = 0;
  double touched_at = 0;
};

std::vector<Taking> touched_takings(const maintenance::Timeline& scenario) {
  std::map<std::string, std::uint64_t> taken;
  std::vector<Taking> out;
  for (const auto& happening : scenario.entries) {
    if (happening.kind == "take")
      taken[happening.host] = happening.index;
    if (happening.kind == "touch")
      out.push_back({taken[happening.host], happening.at});
  }
  return out;
}

std::string leased_while_behind(const std::vector<Line>& lines, const std::vector<Taking>& takings) {
  for (const auto& line : lines) {
    if (!contains(line.text, "lease held"))
      continue;
    for (const auto& taking : takings) {
      if (taking.touched_at + kClockRounding < line.at && line.index < taking.index)
        return line.process + " has a lease as of " + std::to_string(line.index) + " after " +
               std::to_string(taking.index) + " was followed by all";
    }
  }
  return {};
}

}  // namespace

std::string broken_lease_rule(const std::vector<std::string>& lines, const std::vector<Downtime>& downtimes) {
  const maintenance::Timeline scenario = maintenance::parse_timeline(lines);
  std::vector<ReleasePeriod> spans;
  find_release_periods(scenario, std::numeric_limits<int>::max(), spans);
  const std::vector<Taking> takings = touched_takings(scenario);
  for (const auto& [process, written] : lines_by_process(lines)) {
    const History history = history_of(process, written, downtimes);
    std::string broken = leased_while_behind(written, takings);
    for (auto span = spans.begin(); broken.empty() && span != spans.end(); ++span)
      broken = used_while_touched(process, history, *span, downtimes);
    if (!broken.empty())
      return broken;
  }
  return {};
}

}  // namespace lotusyard::test
