#include "node/session_member.h"

#include <algorithm>
#include <cmath>
#include <iostream>
#include <random>

#include "core/breaks.h"
#include "node/lines.h"
#include "node/records.h"
#include "node/session_views.h"

namespace lotusyard::node {
namespace {

using nlohmann::json;

constexpr double kNoShare = 1e-9;  // to the module 0 would mean that none is set

std::uint64_t random_number() {
  std::random_device source;
  return static_cast<std::uint64_t>(source()) << 32 | source();
}

control::Session::Config session_config(const Wiring& wiring, const control::InvokerConfig& from) {
  control::Session::Config out;
  out.cluster = from.cluster;
  out.invoker = wiring.name;
  out.zone = from.zone;
  out.region = from.region;
  out.incarnation = random_number();
  out.nodes = from.nodes;
  out.terms = from.terms;
  return out;
}

}  // namespace

SessionMember::SessionMember(const Wiring& wiring, const control::InvokerConfig& config)
    : wiring_(wiring),
      config_(config),
      host_use_(wiring, [this](const std::string& text) { note("works", text); }),
      enforcer_(
          wiring, book_, [this] { return leased(); },
          [this](const std::string& text) { note("compliance", text); }),
      settled_(config.terms.last_call),
      client_(wiring.loop, wiring.counters, session_config(wiring, config), random_number()) {
  client_.replica().when_moved([this](const control::Change*) { replicate(); });
  follow();
  report();
}

SessionMember::~SessionMember() {
  for (const auto& timer : {reports_, lease_ends_}) wiring_.loop.cancel(timer);
  client_.replica().when_moved({});
  client_.session().close(now());
}

void SessionMember::note(const std::string& part, const std::string& text) const {
  write_line(part, now(), wiring_.name, "index=" + std::to_string(client_.replica().position()) + ' ' + text);
}

// What the replica holds becomes what this process goes by.
void SessionMember::replicate() {
  const auto& replica = client_.replica();
  auto board = board_of(replica.records(), replica.position(), now());
  auto book = book_of(replica.records(), replica.position());
  if (!board || !book) return fail("the group's records are of another version of the program");
  board_ = std::move(*board);
  book_ = std::move(*book);
  wiring_.counters.add("control.replicated");
  follow();
}

// Danger: to go on by records that cannot be read is to go on by older ones.
void SessionMember::fail(const std::string& why) {
  if (std::exchange(failed_, true)) return;
  wiring_.counters.add("control.unreadable");
  std::cerr << "lotusyard: " << why << std::endl;
  follow();
}

works::Knowledge SessionMember::knowledge() const {
  const control::Session& session = client_.session();
  works::Knowledge out;
  out.leased = leased() || (breaks("lease") && session.ever_held());
  const bool too_old = now() >= session.lease_until() + config_.terms.offline;
  out.held_back = failed_ || !session.ever_held() || too_old;
  return out;
}

void SessionMember::follow() {
  const works::Knowledge known = knowledge();
  if (known.held_back != held_back_ && known.held_back)
    note("works", "without a lease for too long: no host is used");
  held_back_ = known.held_back;
  host_use_.follow(board_, known);
  enforcer_.update();
}

// Danger: a process that was stopped for longer than its lease goes on where it was, with calls decided and
// not yet written.
void SessionMember::before_writes() {
  if (knowledge().leased != host_use_.leased()) follow();
  take_share();
  const works::Millis until = client_.session().lease_until();
  if (until == armed_for_) return;
  armed_for_ = until;
  wiring_.loop.cancel(lease_ends_);
  lease_ends_ = wiring_.loop.at(until, [this] { before_writes(); });
}

bool SessionMember::may_send(const std::string& host, const core::Call* call, std::uint64_t function) {
  if (knowledge().leased != host_use_.leased()) follow();
  return !held_back_ && !host_use_.left(host) && enforcer_.may_send(host, call, function);
}

bool SessionMember::open(const std::string& tenant, std::uint64_t function, const std::string& host) {
  return enforcer_.considers(tenant, function, host);
}

void SessionMember::attempt_ended(const std::string& host, const core::Call& call, core::Outcome outcome) {
  host_use_.attempt_ended(host, call, outcome);
}

// This process's part of what all may send a cold host, where its node divides one.
void SessionMember::take_share() {
  std::optional<double> share = client_.session().share();
  if (!share) return;
  if (!leased()) share = 0;
  if (share == told_share_) return;
  told_share_ = share;
  wiring_.set_share(std::max(*share, kNoShare));
}

void SessionMember::report() {
  reports_ = wiring_.loop.at(now() + config_.terms.beat(), [this] { report(); });
  if (knowledge().held_back != held_back_) follow();
  const auto free = [this](const std::string& host) {
    return breaks("drain") || (host_use_.left(host) && wiring_.fleet.free_of_calls(host));
  };
  const control::Index position = client_.replica().position();
  client_.session().set_settled(settled_.settled(board_, book_, position, free, now()));
  report_view();
}

// Only what has changed goes out, and only while there is something to report on.
void SessionMember::report_view() {
  if (board_.hosts().empty() && told_view_.empty()) return;
  std::string view = SessionViews::encode(wiring_.name, host_use_.see(board_));
  if (view == told_view_) return;
  if (client_.session().forward("works", view)) told_view_ = std::move(view);
}

std::optional<console::Said> SessionMember::asked(const console::Request& request) {
  if (request.path != "/-/session") return std::nullopt;
  if (request.method != "GET") return console::Said{405, "GET"};
  return console::Said{200, shown().dump()};
}

json SessionMember::shown() const {
  const control::Session& session = client_.session();
  json left = json::array();
  for (const auto& [host, agreed] : board_.hosts()) {
    if (host_use_.left(host)) left.push_back(host);
  }
  return {{"invoker", wiring_.name},
          {"node", session.node().name},
          {"open", session.open()},
          {"lease_ms", std::max(0.0, std::round((session.lease_until() - now()).count()))},
          {"index", client_.replica().position()},
          {"records", client_.replica().records().size()},
          {"left_alone", left},
          {"share", told_share_ ? json(*told_share_) : json()},
          {"failed", failed_}};
}

}  // namespace lotusyard::node
