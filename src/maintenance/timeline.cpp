#include "maintenance/timeline.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <set>

namespace lotusyard::maintenance {
namespace {

constexpr double kWidth = 960, kLabelWidth = 120, kRowHeight = 18, kChartHeight = 120;

std::string format(const char* pattern, double value) {
  char text[64];
  std::snprintf(text, sizeof text, pattern, value);
  return text;
}

std::string escape_xml(const std::string& from) {
  std::string out;
  for (const char c : from) {
    if (c == '&')
      out += "&amp;";
    else if (c == '<')
      out += "&lt;";
    else if (c == '>')
      out += "&gt;";
    else if (static_cast<unsigned char>(c) >= 0x20)
      out += c;
  }
  return out;
}

// Splits a line into key=value fields; quoted values may contain blanks. The one word without a key is the
// kind of the entry, stored under the empty key.
std::map<std::string, std::string> parse_fields(const std::string& line) {
  std::map<std::string, std::string> out;
  for (std::size_t at = 0; at < line.size();) {
    if (line[at] == ' ') {
      ++at;
      continue;
    }
    const std::size_t equals = line.find('=', at), blank = line.find(' ', at);
    if (equals == std::string::npos || blank < equals) {
      const std::string word = line.substr(at, blank - at);
      std::string& what = out[""];
      if (what.empty() || word == "refused") what += (what.empty() ? "" : " ") + word;
      at = blank == std::string::npos ? line.size() : blank;
      continue;
    }
    const std::string key = line.substr(at, equals - at);
    const bool quoted = equals + 1 < line.size() && line[equals + 1] == '"';
    const std::size_t from = equals + (quoted ? 2 : 1);
    const std::size_t to = quoted ? line.rfind('"') : line.find(' ', from);
    if (quoted && to < from) break;
    out[key] = line.substr(from, to == std::string::npos ? to : to - from);
    at = to == std::string::npos ? line.size() : to + 1;
  }
  return out;
}

}  // namespace

Timeline parse_timeline(const std::vector<std::string>& lines) {
  static const std::set<std::string> kKinds = {"add",      "alter", "bounds", "name", "take", "touch",
                                               "returned", "back",  "late",   "join", "leave"};
  Timeline out;
  std::map<std::uint64_t, AppliedEntry> by_index;
  const std::string prefix = "works at=";
  for (const auto& line : lines) {
    if (line.compare(0, prefix.size(), prefix) != 0) continue;
    auto fields = parse_fields(line.substr(6));
    const double at = std::atof(fields["at"].c_str());
    const std::string& what = fields[""];
    if (what == "calls") {
      out.call_rates.push_back(
          {at, std::atof(fields["asked"].c_str()), std::atof(fields["lost"].c_str()), fields["member"]});
      continue;
    }
    if (kKinds.count(what.substr(0, what.find(' '))) == 0) continue;
    const std::uint64_t index = std::strtoull(fields["index"].c_str(), nullptr, 10);
    const auto [found, inserted] = by_index.try_emplace(index);
    AppliedEntry& entry = found->second;
    if (!inserted && (entry.what != what || entry.host != fields["host"] || entry.job != fields["work"]) &&
        out.fault.empty())
      out.fault = "index " + std::to_string(index) + ": " + entry.what + ' ' + entry.host + " and " + what +
                  ' ' + fields["host"];
    if (inserted) entry = {at, index, what, fields["work"], fields["host"], fields["reason"], {}};
    entry.at = std::min(entry.at, at);
    entry.members.emplace(fields["member"], at);
  }
  for (auto& [index, entry] : by_index) out.entries.push_back(std::move(entry));
  const auto earlier = [](const auto& a, const auto& b) { return a.at < b.at; };
  std::stable_sort(out.call_rates.begin(), out.call_rates.end(), earlier);
  return out;
}

std::string render_table(const Timeline& timeline) {
  std::string out;
  if (!timeline.fault.empty()) out += "members disagree: " + timeline.fault + "\n";
  if (timeline.entries.empty()) return out + "nothing has happened\n";
  const double began = timeline.entries.front().at;
  out += "   seconds   index  what      host            members  reason\n";
  for (const auto& entry : timeline.entries) {
    char head[160];
    std::snprintf(head, sizeof head, "%10.3f  %6llu  %-9s %-15s %7zu  ", (entry.at - began) / 1000,
                  static_cast<unsigned long long>(entry.index), entry.what.c_str(),
                  (entry.host.empty() ? entry.job : entry.host).c_str(), entry.members.size());
    out += head + entry.reason + "\n";
  }
  return out;
}

std::string render_svg(const Timeline& timeline) {
  std::vector<std::string> hosts;
  double from = 0, to = 1;
  for (const auto& entry : timeline.entries) {
    if (!entry.host.empty() && std::find(hosts.begin(), hosts.end(), entry.host) == hosts.end())
      hosts.push_back(entry.host);
    from = from == 0 ? entry.at : std::min(from, entry.at);
    to = std::max(to, entry.at);
  }
  for (const auto& c : timeline.call_rates) to = std::max(to, c.at);
  const double scale = (kWidth - kLabelWidth - 20) / std::max(1.0, to - from);
  const auto x = [&](double at) { return kLabelWidth + (std::max(at, from) - from) * scale; };
  const double high = kChartHeight + 60 + kRowHeight * static_cast<double>(hosts.size());
  std::string out = "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" + format("%.0f", kWidth) +
                    "\" height=\"" + format("%.0f", high) +
                    "\" font-family=\"sans-serif\" font-size=\"11\">\n" +
                    "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
  const auto bar = [&](double begin, double end, double y, const char* colour, const std::string& title) {
    out += "<rect x=\"" + format("%.1f", x(begin)) + "\" y=\"" + format("%.1f", y) + "\" width=\"" +
           format("%.1f", std::max(1.0, (end - begin) * scale)) + "\" height=\"" +
           format("%.0f", kRowHeight - 5) + "\" fill=\"" + colour + "\"><title>" + escape_xml(title) +
           "</title></rect>\n";
  };
  const auto text = [&](double at, double y, const std::string& said) {
    out += "<text x=\"" + format("%.1f", at) + "\" y=\"" + format("%.1f", y) + "\">" + escape_xml(said) +
           "</text>\n";
  };
  text(8, 16, "grey: leaving, red: out, amber: back and cold");
  double y = 30;
  for (const auto& host : hosts) {
    text(8, y + 11, host);
    std::string stage;
    double since = 0;
    const auto close = [&](double at) {
      if (stage == "take") bar(since, at, y, "#999999", host + " leaving");
      if (stage == "touch") bar(since, at, y, "#c0392b", host + " out");
      if (stage == "returned") bar(since, at, y, "#e0a030", host + " back and cold");
    };
    for (const auto& entry : timeline.entries) {
      const bool moves =
          entry.what == "take" || entry.what == "touch" || entry.what == "returned" || entry.what == "back";
      if (entry.host != host || !moves) continue;
      close(entry.at);
      stage = entry.what;
      since = entry.at;
    }
    close(to);
    y += kRowHeight;
  }
  // Sum of the call rates over all members; each rate is valid until that member's next one.
  std::map<std::string, Timeline::CallRates> last;
  std::vector<Timeline::CallRates> sums;
  for (const auto& c : timeline.call_rates) {
    last[c.member] = c;
    Timeline::CallRates sum{c.at, 0, 0, {}};
    for (const auto& [member, one] : last) {
      if (c.at - one.at > 5000) continue;
      sum.asked += one.asked;
      sum.lost += one.lost;
    }
    sums.push_back(sum);
  }
  double most = 1;
  for (const auto& s : sums) most = std::max(most, s.asked);
  const double floor = y + kChartHeight;
  const auto line = [&](double Timeline::CallRates::*what, const char* colour) {
    out += "<polyline fill=\"none\" stroke=\"" + std::string(colour) + "\" points=\"";
    for (const auto& s : sums)
      out +=
          format("%.1f", x(s.at)) + "," + format("%.1f", floor - s.*what / most * (kChartHeight - 20)) + " ";
    out += "\"/>\n";
  };
  line(&Timeline::CallRates::asked, "#2c5f9e");
  line(&Timeline::CallRates::lost, "#c0392b");
  text(8, floor, "calls a second,");
  text(8, floor + 12, "most " + format("%.0f", most));
  text(kLabelWidth, floor + 24, "0 s");
  text(kWidth - 70, floor + 24, format("%.1f s", (to - from) / 1000));
  return out + "</svg>\n";
}

}  // namespace lotusyard::maintenance
