// Costs of the gossip view per member, on a virtual clock, up to as many members as fit into one process.
// Run by name: lotusyard_scale_tests "[hollow-view]".
#include <catch2/catch.hpp>

#include "scale/hollow_view.h"

namespace lotusyard::scale {
namespace {

constexpr double kSettle = 20000;  // milliseconds until the initial updates have been disseminated

struct ViewCosts {
  double sent = 0, received = 0, messages = 0, core_share = 0, memory = 0;
};

// Measures one fleet in `repeats` intervals of `seconds` virtual seconds; each gives one value.
ViewCosts measure_view(const std::string& test, const HollowShape& shape, double seconds, int repeats) {
  HollowView view(shape);
  view.settle(kSettle);
  const double memory = view.bytes_each();
  REQUIRE(view.members_in_first_view() == shape.members);
  std::map<std::string, std::vector<double>> figures;
  for (int i = 0; i < repeats; ++i) {
    const auto before = view.totals();
    const double started = processor_seconds();
    view.run(seconds * 1000);
    const double used = processor_seconds() - started;
    const auto now = view.totals();
    figures["messages_s"].push_back((now.messages - before.messages) / seconds);
    figures["sent_bytes_s"].push_back((now.sent - before.sent) / seconds);
    figures["received_bytes_s"].push_back((now.received - before.received) / seconds);
    figures["core_share"].push_back(used / seconds / static_cast<double>(shape.complete));
  }
  figures["memory_bytes"].push_back(memory);
  figures["longest_message_bytes"].push_back(static_cast<double>(view.totals().longest));
  figures["unreadable_messages"].push_back(static_cast<double>(view.totals().unreadable));
  figures["suspected"].push_back(static_cast<double>(view.totals().suspected));
  const auto count = [](std::size_t value) { return static_cast<double>(value); };
  std::map<std::string, double> out;
  for (const auto& [metric, values] : figures) {
    out[metric] = print(
        {test,
         shape.members,
         "member",
         metric,
         seconds,
         {{"hosts", count(shape.hosts)}, {"whole", count(shape.complete)}, {"dead", count(shape.dead)}}},
        values);
  }
  return {out["sent_bytes_s"], out["received_bytes_s"], out["messages_s"], out["core_share"],
          out["memory_bytes"]};
}

void measure_views(const std::string& test, const std::vector<HollowShape>& shapes, double seconds,
                   int repeats) {
  std::map<std::string, Series> series;
  for (const auto& shape : shapes) {
    const ViewCosts costs = measure_view(test, shape, seconds, repeats);
    const double n = static_cast<double>(shape.members);
    series["sent_bytes_s"].add(n, costs.sent);
    series["received_bytes_s"].add(n, costs.received);
    series["core_share"].add(n, costs.core_share);
    series["memory_bytes"].add(n, costs.memory);
    series["messages_s"].add(n, costs.messages);
  }
  const double hosts = static_cast<double>(shapes.front().hosts);
  for (const auto& [metric, line] : series)
    print_fit({test, 0, "member", metric, 0, {{"hosts", hosts}}}, "members", line, kTargetMembers);
}

// Full syncs of a member take place every 15 s, so intervals are multiples of that.
TEST_CASE("the view, all members complete", "[.][scale][hollow-view]") {
  std::vector<HollowShape> shapes;
  for (const double n : numbers_from_env("LOTUSYARD_MEMBERS", {100, 300, 1000, 2000}))
    shapes.push_back({static_cast<std::size_t>(n), static_cast<std::size_t>(n), 0, 0});
  measure_views("view_whole", shapes, 15, 3);
}

TEST_CASE("the view, some complete members among stand-ins", "[.][scale][hollow-view]") {
  std::vector<HollowShape> shapes;
  for (const std::size_t n : {300, 1000, 3000, 10000, 16000})
    shapes.push_back({n, 16, 0, 0});
  measure_views("view_sampled", shapes, 60, 5);
}

TEST_CASE("the view with one member dead", "[.][scale][hollow-view]") {
  std::vector<HollowShape> shapes;
  for (const std::size_t n : {300, 1000, 3000, 10000, 16000})
    shapes.push_back({n, 16, 0, 1});
  measure_views("view_one_dead", shapes, 60, 3);
}

// A message of more than 20,000 rows is rejected by the decoder and counted as unreadable.
TEST_CASE("the view with facts of hosts", "[.][scale][hollow-view]") {
  for (const std::size_t hosts : {12, 120}) {
    std::vector<HollowShape> shapes;
    for (const std::size_t n : {30, 100, 300, 1000}) {
      if (n * hosts <= 40000)
        shapes.push_back({n, 16, hosts, 0});
    }
    measure_views("view_facts", shapes, 60, 3);
  }
}

TEST_CASE("the view's full syncs grow linearly", "[scale-short]") {
  constexpr double kShort = 15;  // seconds; every member has one full sync
  const ViewCosts few = measure_view("view_short", {50, 8, 0, 0}, kShort, 1);
  const ViewCosts many = measure_view("view_short", {200, 8, 0, 0}, kShort, 1);
  const ViewCosts complete = measure_view("view_short", {50, 50, 0, 0}, kShort, 1);
  CHECK(complete.sent == Approx(few.sent).epsilon(0.25));  // stand-ins poll and respond as members do
  CHECK(complete.messages == Approx(few.messages).epsilon(0.1));
  CHECK(many.messages == Approx(few.messages).epsilon(0.1));  // messages do not grow with members
  const double grown = (many.sent - few.sent) / 150;          // bytes a second for each further member
  CHECK(grown > 1);
  CHECK(grown < 15);
}

}  // namespace
}  // namespace lotusyard::scale
