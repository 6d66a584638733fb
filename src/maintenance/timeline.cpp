#include "maintenance/timeline.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <set>

namespace lotusyard::maintenance {
namespace {

constexpr double kWide = 960, kLeft = 120, kRow = 18, kCalls = 120;

std::string format(const char* pattern, double value) {
  char text[64];
  std::snprintf(text, sizeof text, pattern, value);
  return text;
}

std::string sound_text(const std::string& from) {
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

// Words of the form key=value, values in quotes with blanks; the one word without a key is what happened.
std::map<std::string, std::string> words_of(const std::string& line) {
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
  static const std::set<std::string> told = {"add",      "alter", "bounds", "name", "take", "touch",
                                             "returned", "back",  "late",   "join", "leave"};
  Timeline out;
  std::map<std::uint64_t, AppliedEntry> by_index;
  const std::string head = "works at=";
  for (const auto& line : lines) {
    if (line.compare(0, head.size(), head) != 0) continue;
    auto words = words_of(line.substr(6));
    const double at = std::atof(words["at"].c_str());
    const std::string& what = words[""];
    if (what == "calls") {
      out.call_rates.push_back(
          {at, std::atof(words["asked"].c_str()), std::atof(words["lost"].c_str()), words["member"]});
      continue;
    }
    if (told.count(what.substr(0, what.find(' '))) == 0) continue;
    const std::uint64_t index = std::strtoull(words["index"].c_str(), nullptr, 10);
    const auto [found, fresh] = by_index.try_emplace(index);
    AppliedEntry& h = found->second;
    if (!fresh && (h.what != what || h.host != words["host"] || h.work != words["work"]) && out.fault.empty())
      out.fault = "index " + std::to_string(index) + ": " + h.what + ' ' + h.host + " and " + what + ' ' +
                  words["host"];
    if (fresh) h = {at, index, what, words["work"], words["host"], words["reason"], {}};
    h.at = std::min(h.at, at);
    h.members.emplace(words["member"], at);
  }
  for (auto& [index, h] : by_index) out.entries.push_back(std::move(h));
  const auto earlier = [](const auto& a, const auto& b) { return a.at < b.at; };
  std::stable_sort(out.call_rates.begin(), out.call_rates.end(), earlier);
  return out;
}

std::string render_table(const Timeline& course) {
  std::string out;
  if (!course.fault.empty()) out += "members disagree: " + course.fault + "\n";
  if (course.entries.empty()) return out + "nothing has happened\n";
  const double began = course.entries.front().at;
  out += "   seconds   index  what      host            members  reason\n";
  for (const auto& h : course.entries) {
    char head[160];
    std::snprintf(head, sizeof head, "%10.3f  %6llu  %-9s %-15s %7zu  ", (h.at - began) / 1000,
                  static_cast<unsigned long long>(h.index), h.what.c_str(),
                  (h.host.empty() ? h.work : h.host).c_str(), h.members.size());
    out += head + h.reason + "\n";
  }
  return out;
}

std::string render_svg(const Timeline& course) {
  std::vector<std::string> hosts;
  double from = 0, to = 1;
  for (const auto& h : course.entries) {
    if (!h.host.empty() && std::find(hosts.begin(), hosts.end(), h.host) == hosts.end())
      hosts.push_back(h.host);
    from = from == 0 ? h.at : std::min(from, h.at);
    to = std::max(to, h.at);
  }
  for (const auto& c : course.call_rates) to = std::max(to, c.at);
  const double scale = (kWide - kLeft - 20) / std::max(1.0, to - from);
  const auto x = [&](double at) { return kLeft + (std::max(at, from) - from) * scale; };
  const double high = kCalls + 60 + kRow * static_cast<double>(hosts.size());
  std::string out = "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" + format("%.0f", kWide) +
                    "\" height=\"" + format("%.0f", high) +
                    "\" font-family=\"sans-serif\" font-size=\"11\">\n" +
                    "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
  const auto bar = [&](double begin, double end, double y, const char* colour, const std::string& title) {
    out += "<rect x=\"" + format("%.1f", x(begin)) + "\" y=\"" + format("%.1f", y) + "\" width=\"" +
           format("%.1f", std::max(1.0, (end - begin) * scale)) + "\" height=\"" + format("%.0f", kRow - 5) +
           "\" fill=\"" + colour + "\"><title>" + sound_text(title) + "</title></rect>\n";
  };
  const auto text = [&](double at, double y, const std::string& said) {
    out += "<text x=\"" + format("%.1f", at) + "\" y=\"" + format("%.1f", y) + "\">" + sound_text(said) +
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
    for (const auto& h : course.entries) {
      const bool moves = h.what == "take" || h.what == "touch" || h.what == "returned" || h.what == "back";
      if (h.host != host || !moves) continue;
      close(h.at);
      stage = h.what;
      since = h.at;
    }
    close(to);
    y += kRow;
  }
  // Calls a second over all members: each count holds till that member's next.
  std::map<std::string, Timeline::CallRates> last;
  std::vector<Timeline::CallRates> sums;
  for (const auto& c : course.call_rates) {
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
  const double floor = y + kCalls;
  const auto line = [&](double Timeline::CallRates::*what, const char* colour) {
    out += "<polyline fill=\"none\" stroke=\"" + std::string(colour) + "\" points=\"";
    for (const auto& s : sums)
      out += format("%.1f", x(s.at)) + "," + format("%.1f", floor - s.*what / most * (kCalls - 20)) + " ";
    out += "\"/>\n";
  };
  line(&Timeline::CallRates::asked, "#2c5f9e");
  line(&Timeline::CallRates::lost, "#c0392b");
  text(8, floor, "calls a second,");
  text(8, floor + 12, "most " + format("%.0f", most));
  text(kLeft, floor + 24, "0 s");
  text(kWide - 70, floor + 24, format("%.1f s", (to - from) / 1000));
  return out + "</svg>\n";
}

}  // namespace lotusyard::maintenance
