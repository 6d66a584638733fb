#include "node/session_invoker.h"

#include <algorithm>
#include <cmath>
#include <iostream>
#include <random>

#include "core/fault_injection.h"
#include "node/event_log.h"
#include "node/session_observations.h"
#include "node/state_records.h"

namespace lotusyard::node {
namespace {

using nlohmann::json;

constexpr double kNoShare = 1e-9;  // to the module 0 would mean that none is set

std::uint64_t random_number() {
  std::random_device source;
  return static_cast<std::uint64_t>(source()) << 32 | source();
}

control::Session::Config session_config(const InvokerServices& wiring, const control::InvokerConfig& from) {
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

SessionInvoker::SessionInvoker(const InvokerServices& wiring, const control::InvokerConfig& config)
    : services_(wiring),
      config_(config),
      host_access_(wiring, [this](const std::string& text) { log_event("works", text); }),
      compliance_filter_(
          wiring, certificates_, [this] { return is_leased(); },
          [this](const std::string& text) { log_event("compliance", text); }),
      quiescence_(config.terms.max_attempt_time),
      client_(wiring.loop, wiring.counters, session_config(wiring, config), random_number()) {
  client_.replica().when_moved([this](const control::Change*) { replicate(); });
  update_host_access();
  send_report();
}

SessionInvoker::~SessionInvoker() {
  for (const auto& timer : {report_timer_, lease_timer_}) services_.loop.cancel(timer);
  client_.replica().when_moved({});
  client_.session().close(now());
}

void SessionInvoker::log_event(const std::string& part, const std::string& text) const {
  write_event(part, now(), services_.name,
              "index=" + std::to_string(client_.replica().position()) + ' ' + text);
}

// What the replica holds becomes what this process goes by.
void SessionInvoker::replicate() {
  const auto& replica = client_.replica();
  auto board = maintenance_state_from(replica.records(), replica.position(), now());
  auto book = certificate_state_from(replica.records(), replica.position());
  if (!board || !book) return fail("the group's records are of another version of the program");
  maintenance_ = std::move(*board);
  certificates_ = std::move(*book);
  services_.counters.add("control.replicated");
  update_host_access();
}

// Danger: to go on by records that cannot be read is to go on by older ones.
void SessionInvoker::fail(const std::string& why) {
  if (std::exchange(failed_, true)) return;
  services_.counters.add("control.unreadable");
  std::cerr << "lotusyard: " << why << std::endl;
  update_host_access();
}

maintenance::StateFreshness SessionInvoker::freshness() const {
  const control::Session& session = client_.session();
  maintenance::StateFreshness out;
  out.is_leased = is_leased() || (fault_injected("lease") && session.ever_held());
  const bool too_old = now() >= session.lease_until() + config_.terms.max_offline;
  out.must_suspend = failed_ || !session.ever_held() || too_old;
  return out;
}

void SessionInvoker::update_host_access() {
  const maintenance::StateFreshness known = freshness();
  if (known.must_suspend != suspended_ && known.must_suspend)
    log_event("works", "without a lease for too long: no host is used");
  suspended_ = known.must_suspend;
  host_access_.update(maintenance_, known);
  compliance_filter_.update();
}

// Danger: a process that was stopped for longer than its lease goes on where it was, with calls decided and
// not yet written.
void SessionInvoker::before_writes() {
  if (freshness().is_leased != host_access_.leased()) update_host_access();
  apply_share();
  const maintenance::Millis until = client_.session().lease_until();
  if (until == armed_for_) return;
  armed_for_ = until;
  services_.loop.cancel(lease_timer_);
  lease_timer_ = services_.loop.schedule_at(until, [this] { before_writes(); });
}

bool SessionInvoker::may_send(const std::string& host, const core::Call* call, std::uint64_t function) {
  if (freshness().is_leased != host_access_.leased()) update_host_access();
  return !suspended_ && !host_access_.is_avoided(host) && compliance_filter_.may_send(host, call, function);
}

bool SessionInvoker::allows(const std::string& tenant, std::uint64_t function, const std::string& host) {
  return compliance_filter_.allows_host(tenant, function, host);
}

void SessionInvoker::attempt_ended(const std::string& host, const core::Call& call, core::Outcome outcome) {
  host_access_.attempt_ended(host, call, outcome);
}

// This process's part of what all may send a cold host, where its node divides one.
void SessionInvoker::apply_share() {
  std::optional<double> share = client_.session().share();
  if (!share) return;
  if (!is_leased()) share = 0;
  if (share == applied_share_) return;
  applied_share_ = share;
  services_.set_share(std::max(*share, kNoShare));
}

void SessionInvoker::send_report() {
  report_timer_ =
      services_.loop.schedule_at(now() + config_.terms.heartbeat_interval(), [this] { send_report(); });
  if (freshness().must_suspend != suspended_) update_host_access();
  const auto free = [this](const std::string& host) {
    return fault_injected("drain") ||
           (host_access_.is_avoided(host) && services_.host_connections.has_no_calls(host));
  };
  const control::Index position = client_.replica().position();
  client_.session().set_settled(
      quiescence_.quiesced_index(maintenance_, certificates_, position, free, now()));
  send_observations();
}

// Only what has changed goes out, and only while there is something to report on.
void SessionInvoker::send_observations() {
  if (maintenance_.hosts().empty() && last_sent_observations_.empty()) return;
  std::string view = SessionObservations::encode(services_.name, host_access_.observe(maintenance_));
  if (view == last_sent_observations_) return;
  if (client_.session().forward("works", view)) last_sent_observations_ = std::move(view);
}

std::optional<admin::Response> SessionInvoker::handle_request(const admin::Request& request) {
  if (request.path != "/-/session") return std::nullopt;
  if (request.method != "GET") return admin::Response{405, "GET"};
  return admin::Response{200, status_to_json().dump()};
}

json SessionInvoker::status_to_json() const {
  const control::Session& session = client_.session();
  json left = json::array();
  for (const auto& [host, agreed] : maintenance_.hosts()) {
    if (host_access_.is_avoided(host)) left.push_back(host);
  }
  return {{"invoker", services_.name},
          {"node", session.node().name},
          {"open", session.open()},
          {"lease_ms", std::max(0.0, std::round((session.lease_until() - now()).count()))},
          {"index", client_.replica().position()},
          {"records", client_.replica().records().size()},
          {"left_alone", left},
          {"share", applied_share_ ? json(*applied_share_) : json()},
          {"failed", failed_}};
}

}  // namespace lotusyard::node
