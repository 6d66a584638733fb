// The chart of a timeline: a row for each host, and the call rates of all members below.
#include <algorithm>
#include <cstdio>
#include <utility>

#include "maintenance/timeline.h"

namespace lotusyard::maintenance {
namespace {

constexpr double kTopMargin = 30, kRightMargin = 20;
constexpr double kRateValidityMs = 5000;  // a member's call rates are valid for this long
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

// Draws one timeline.
class SvgChart {
 public:
  explicit SvgChart(const Timeline& timeline);
  std::string render();

 private:
  const Timeline& timeline_;
  std::vector<std::string> hosts_;  // in the order of their first entry
  double from_ = 0, to_ = 1;        // Unix milliseconds
  double scale_ = 1;                // pixels per millisecond
  std::string out_;

  double x_of(double at) const { return kLabelWidth + (std::max(at, from_) - from_) * scale_; }
  void add_text(double x, double y, const std::string& text);
  void add_stage(const std::string& stage, const std::string& host, double begin, double end, double y);
  void add_host_row(const std::string& host, double y);
  std::vector<Timeline::CallRates> total_call_rates() const;
  void add_call_rates(double floor);
};

SvgChart::SvgChart(const Timeline& timeline) : timeline_(timeline) {
  for (const auto& entry : timeline.entries) {
    const bool is_known = std::find(hosts_.begin(), hosts_.end(), entry.host) != hosts_.end();
    if (!entry.host.empty() && !is_known)
      hosts_.push_back(entry.host);
    from_ = from_ == 0 ? entry.at : std::min(from_, entry.at);
    to_ = std::max(to_, entry.at);
  }
  for (const auto& rates : timeline.call_rates)
    to_ = std::max(to_, rates.at);
  scale_ = (kWidth - kLabelWidth - kRightMargin) / std::max(1.0, to_ - from_);
}

void SvgChart::add_text(double x, double y, const std::string& text) {
  out_ += "<text x=\"" + format("%.1f", x) + "\" y=\"" + format("%.1f", y) + "\">" + escape_xml(text) +
          "</text>\n";
}

// Draws a bar for the stage that begins with an entry of this kind; other stages have none.
void SvgChart::add_stage(const std::string& stage, const std::string& host, double begin, double end,
                         double y) {
  const char* colour = nullptr;
  std::string title;
  if (stage == "take") {
    colour = "#999999";
    title = host + " draining";
  } else if (stage == "touch") {
    colour = "#c0392b";
    title = host + " out";
  } else if (stage == "returned") {
    colour = "#e0a030";
    title = host + " in slow start";
  }
  if (colour == nullptr)
    return;
  out_ += "<rect x=\"" + format("%.1f", x_of(begin)) + "\" y=\"" + format("%.1f", y) + "\" width=\"" +
          format("%.1f", std::max(1.0, (end - begin) * scale_)) + "\" height=\"" +
          format("%.0f", kRowHeight - 5) + "\" fill=\"" + colour + "\"><title>" + escape_xml(title) +
          "</title></rect>\n";
}

void SvgChart::add_host_row(const std::string& host, double y) {
  add_text(8, y + 11, host);
  std::string stage;
  double since = 0;
  for (const auto& entry : timeline_.entries) {
    const bool begins_stage =
        entry.kind == "take" || entry.kind == "touch" || entry.kind == "returned" || entry.kind == "back";
    if (entry.host != host || !begins_stage)
      continue;
    add_stage(stage, host, since, entry.at, y);
    stage = entry.kind;
    since = entry.at;
  }
  add_stage(stage, host, since, to_, y);
}

// The sum over all members at each time; a member's rates are valid until its next ones, or expire.
std::vector<Timeline::CallRates> SvgChart::total_call_rates() const {
  std::map<std::string, Timeline::CallRates> latest;
  std::vector<Timeline::CallRates> out;
  for (const auto& rates : timeline_.call_rates) {
    latest[rates.member] = rates;
    Timeline::CallRates total{rates.at, 0, 0, {}};
    for (const auto& [member, member_rates] : latest) {
      if (rates.at - member_rates.at > kRateValidityMs)
        continue;
      total.received += member_rates.received;
      total.failed += member_rates.failed;
    }
    out.push_back(std::move(total));
  }
  return out;
}

void SvgChart::add_call_rates(double floor) {
  const std::vector<Timeline::CallRates> totals = total_call_rates();
  double highest = 1;
  for (const auto& total : totals)
    highest = std::max(highest, total.received);
  const auto add_line = [&](double Timeline::CallRates::*rate, const char* colour) {
    out_ += "<polyline fill=\"none\" stroke=\"" + std::string(colour) + "\" points=\"";
    for (const auto& total : totals) {
      const double y = floor - total.*rate / highest * (kChartHeight - 20);
      out_ += format("%.1f", x_of(total.at)) + "," + format("%.1f", y) + " ";
    }
    out_ += "\"/>\n";
  };
  add_line(&Timeline::CallRates::received, "#2c5f9e");
  add_line(&Timeline::CallRates::failed, "#c0392b");
  add_text(8, floor, "calls per second,");
  add_text(8, floor + 12, "max. " + format("%.0f", highest));
  add_text(kLabelWidth, floor + 24, "0 s");
  add_text(kWidth - 70, floor + 24, format("%.1f s", (to_ - from_) / 1000));
}

std::string SvgChart::render() {
  const double height = kChartHeight + 60 + kRowHeight * static_cast<double>(hosts_.size());
  out_ = "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" + format("%.0f", kWidth) + "\" height=\"" +
         format("%.0f", height) + "\" font-family=\"sans-serif\" font-size=\"11\">\n" +
         "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
  add_text(8, 16, "grey: draining, red: out, amber: slow start");
  double y = kTopMargin;
  for (const auto& host : hosts_) {
    add_host_row(host, y);
    y += kRowHeight;
  }
  add_call_rates(y + kChartHeight);
  return std::move(out_) + "</svg>\n";
}

}  // namespace

std::string render_svg(const Timeline& timeline) { return SvgChart(timeline).render(); }

}  // namespace lotusyard::maintenance
