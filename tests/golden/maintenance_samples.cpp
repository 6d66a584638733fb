#include "maintenance_samples.h"

namespace lotusyard::golden {
namespace {

using works::Entry;
using works::Millis;
using works::Work;
using Kind = Entry::Kind;

Entry entry(Kind kind) {
  Entry out;
  out.kind = kind;
  return out;
}

Entry about_host(Kind kind, const std::string& host, std::uint64_t round) {
  Entry out = entry(kind);
  out.work = "job-1";
  out.host = host;
  out.round = round;
  return out;
}

Entry addition(const std::string& proposal, const Work& job) {
  Entry out = entry(Kind::add);
  out.proposal = proposal;
  out.added = job;
  return out;
}

Entry alteration(Work::State state) {
  Entry out = entry(Kind::alter);
  out.proposal = "proposal-" + std::string(works::name_of(state));
  out.work = "job-2";
  out.state = state;
  return out;
}

Entry joining(const std::string& member, std::uint64_t incarnation, bool serves) {
  Entry out = entry(Kind::join);
  out.member = member;
  out.life = incarnation;
  out.serves = serves;
  return out;
}

Entry heartbeats() {
  Entry out = entry(Kind::beats);
  out.reason = R"({"job-1":"zone: 1 out at once"})";
  out.beats = {sample_heartbeat(), {"member-2", 2, 900, 4, {}, std::nullopt, std::nullopt}};
  return out;
}

Entry selection(const std::vector<std::string>& hosts) {
  Entry out = entry(Kind::name);
  out.work = "job-1";
  out.hosts = hosts;
  return out;
}

Entry new_bounds() {
  Entry out = entry(Kind::bounds);
  out.proposal = "proposal-bounds";
  out.work = "job-2";
  out.bounds = works::Bounds{3, 2, 1, 0.125, Millis(90000.5), Millis(250), true};
  return out;
}

Work second_job() {
  Work out;
  out.id = "job-2";
  out.hosts = {{"h5", "zone-b", "kind-b"}};
  return out;
}

}  // namespace

Work sample_job() {
  Work out;
  out.id = "job-1";
  out.hosts = {
      {"h1", "zone-a", "kind-a"}, {"h2", "zone-a", "kind-b"}, {"h3", "zone-b", "kind-a"}, {"h4", "", ""}};
  out.bounds = {4, 0, 0, 0.25, Millis(600000), Millis(1500), true};
  return out;
}

works::Beat sample_heartbeat() {
  works::View view;
  view.cost = {{"h1", 0.5}, {"h2", 12.25}};
  view.down = {"h3"};
  view.reborn = {"h1"};
  view.served = {"h2", "h4"};
  view.asked = 81.5;
  view.lost = 0.125;
  view.listed = 12;
  return {"member-1", 1ULL << 60, 1234567.875, 42, {"h1", "h2"}, view, 40};
}

std::vector<std::pair<std::string, Entry>> sample_maintenance_entries() {
  Entry leave = entry(Kind::leave);
  leave.proposal = "proposal-leave";
  leave.member = "member-3";
  Entry late = about_host(Kind::late, "h2", 11);
  late.reason = "not drained at member-2";
  return {{"heartbeats", heartbeats()},
          {"join", joining("member-1", 7, true)},
          {"join not serving", joining("member-2", 2, false)},
          {"leave", leave},
          {"add", addition("proposal-1", sample_job())},
          {"alter running", alteration(Work::State::running)},
          {"alter paused", alteration(Work::State::paused)},
          {"alter done", alteration(Work::State::done)},
          {"alter cancelled", alteration(Work::State::cancelled)},
          {"bounds", new_bounds()},
          {"name", selection({"h1", "h2"})},
          {"take", about_host(Kind::take, "h1", 9)},
          {"touch", about_host(Kind::touch, "h1", 10)},
          {"returned", about_host(Kind::returned, "h1", 10)},
          {"back", about_host(Kind::back, "h1", 10)},
          {"late", late},
          {"ask", entry(Kind::ask)},
          {"text that is no UTF-8", selection({"h\xc3\xa9", "\xff"})}};
}

works::Board sample_maintenance_state() {
  works::Board out;
  std::uint64_t index = 0;
  const auto apply = [&](const Entry& e) {
    ++index;
    out.apply(index, e, Millis(1000));
  };
  apply(joining("member-1", 1ULL << 60, true));
  apply(joining("member-2", 2, false));
  apply(heartbeats());
  apply(addition("proposal-1", sample_job()));
  apply(addition("proposal-1b", sample_job()));  // refused: it is known
  apply(addition("proposal-2", second_job()));
  apply(alteration(Work::State::paused));
  apply(selection({"h1", "h2", "h3"}));
  const std::uint64_t selected = index;
  apply(about_host(Kind::take, "h1", selected));
  const std::uint64_t taken = index;
  apply(about_host(Kind::take, "h2", selected));
  apply(about_host(Kind::touch, "h1", taken));
  apply(about_host(Kind::late, "h1", taken));
  return out;
}

}  // namespace lotusyard::golden
