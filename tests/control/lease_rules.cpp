#include "control/lease_rules.h"

#include <algorithm>
#include <limits>
#include <map>
#include <set>

namespace lotusyard::test {
namespace {

constexpr double kClockRounding = 5;  // lines have times in integer milliseconds
// A process logs the end of its lease once it runs again, which may be late on a busy machine. What it does
// meanwhile is checked at the hosts, without any slack.
constexpr double kSchedulingSlack = 300;

struct Line {
  double at = 0;
  std::string process, text;
  std::uint64_t index = 0;
};

struct AvoidedHosts {  // the hosts that a process avoids from a time on
  double at = 0;
  bool avoids_all = true;  // it uses no host at all
  std::set<std::string> hosts;
};
using History = std::vector<AvoidedHosts>;

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

void apply(const Line& line, AvoidedHosts& state) {
  const std::string host = value_of(line.text, "host");
  if (contains(line.text, "lease held"))
    state.avoids_all = false;
  if (contains(line.text, "no host is used"))
    state.avoids_all = true;
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
      AvoidedHosts state = out.back();
      state.at = next->at;
      apply(*next, state);
      out.push_back(std::move(state));
    }
  };
  for (const auto& downtime : downtimes) {
    if (downtime.name != process || !downtime.killed)
      continue;
    apply_until(downtime.from);
    out.push_back({downtime.from, true, {}});  // a new process uses no host before its first lease
  }
  apply_until(kForever);
  return out;
}

const AvoidedHosts& state_at(const History& history, double at) {
  const auto later = [](double time, const AvoidedHosts& state) { return time < state.at; };
  return *std::prev(std::upper_bound(history.begin(), history.end(), at, later));
}

bool was_down(const std::string& process, double at, const std::vector<Downtime>& downtimes) {
  return std::any_of(downtimes.begin(), downtimes.end(), [&](const Downtime& downtime) {
    return downtime.name == process && at >= downtime.from && at <= downtime.to + kSchedulingSlack;
  });
}

std::string used_while_released(const std::string& process, const History& history,
                                const ReleasePeriod& period, const std::vector<Downtime>& downtimes) {
  const auto check = [&](double at) -> std::string {
    const AvoidedHosts& state = state_at(history, at);
    if (state.avoids_all || state.hosts.count(period.host) != 0 || was_down(process, at, downtimes))
      return {};
    return process + " may use " + period.host + " which operators have since " + std::to_string(period.from);
  };
  const double from = period.from + kSchedulingSlack;
  if (from >= period.to)
    return {};
  std::string violation = check(from);
  for (const auto& state : history) {
    if (violation.empty() && state.at > from && state.at < period.to)
      violation = check(state.at);
  }
  return violation;
}

struct Release {
  std::uint64_t index = 0;
  double touched_at = 0;
};

std::vector<Release> touched_releases(const maintenance::Timeline& timeline) {
  std::map<std::string, std::uint64_t> released;
  std::vector<Release> out;
  for (const auto& entry : timeline.entries) {
    if (entry.kind == "take")
      released[entry.host] = entry.index;
    if (entry.kind == "touch")
      out.push_back({released[entry.host], entry.at});
  }
  return out;
}

std::string leased_while_behind(const std::vector<Line>& lines, const std::vector<Release>& releases) {
  for (const auto& line : lines) {
    if (!contains(line.text, "lease held"))
      continue;
    for (const auto& release : releases) {
      if (release.touched_at + kClockRounding < line.at && line.index < release.index)
        return line.process + " has a lease as of " + std::to_string(line.index) + " after " +
               std::to_string(release.index) + " was followed by all";
    }
  }
  return {};
}

}  // namespace

std::string violated_lease_rule(const std::vector<std::string>& lines,
                                const std::vector<Downtime>& downtimes) {
  const maintenance::Timeline timeline = maintenance::parse_timeline(lines);
  std::vector<ReleasePeriod> periods;
  find_release_periods(timeline, std::numeric_limits<int>::max(), periods);
  const std::vector<Release> releases = touched_releases(timeline);
  for (const auto& [process, written] : lines_by_process(lines)) {
    const History history = history_of(process, written, downtimes);
    std::string violation = leased_while_behind(written, releases);
    for (auto period = periods.begin(); violation.empty() && period != periods.end(); ++period)
      violation = used_while_released(process, history, *period, downtimes);
    if (!violation.empty())
      return violation;
  }
  return {};
}

}  // namespace lotusyard::test
