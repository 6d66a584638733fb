#include "node/session_invoker.h"

#include <algorithm>
#include <cmath>
#include <iostream>
#include <random>

#include "core/fault_injection.h"
#include "metrics/control_counters.h"
#include "node/event_log.h"
#include "node/session_observations.h"
#include "node/state_records.h"

namespace lotusyard::node {
namespace {

using nlohmann::json;

// Replaces a share of 0, which the policy reads as "no share is set".
constexpr double kMinShare = 1e-9;

std::uint64_t random_number() {
  std::random_device source;
  return static_cast<std::uint64_t>(source()) << 32 | source();
}

control::Session::Config session_config(const InvokerServices& services,
                                        const control::InvokerConfig& config) {
  control::Session::Config session;
  session.cluster = config.cluster;
  session.invoker = services.name;
  session.zone = config.zone;
  session.region = config.region;
  session.incarnation = random_number();
  session.nodes = config.nodes;
  session.terms = config.terms;
  return session;
}

}  // namespace

SessionInvoker::SessionInvoker(const InvokerServices& services, const control::InvokerConfig& config)
    : services_(services),
      config_(config),
      host_access_(services, [this](const std::string& text) { log_event("works", text); }),
      compliance_filter_(
          services, certificates_, [this] { return is_leased(); },
          [this](const std::string& text) { log_event("compliance", text); }),
      quiescence_(config.terms.max_attempt_time),
      client_(services.loop, services.counters, session_config(services, config), random_number()) {
  client_.replica().set_update_listener([this](const control::Change*) { apply_records(); });
  update_host_access();
  send_report();
}

SessionInvoker::~SessionInvoker() {
  services_.loop.cancel(report_timer_);
  services_.loop.cancel(lease_timer_);
  client_.replica().set_update_listener({});
  client_.session().close(now());
}

void SessionInvoker::log_event(const std::string& component, const std::string& text) const {
  write_event(component, now(), services_.name,
              "index=" + std::to_string(client_.replica().position()) + ' ' + text);
}

// Replaces the states by those that the replicated records describe.
void SessionInvoker::apply_records() {
  const auto& replica = client_.replica();
  auto maintenance = maintenance_state_from(replica.records(), replica.position(), now());
  auto certificates = certificate_state_from(replica.records(), replica.position());
  if (!maintenance || !certificates) {
    fail("the group's records are of another version of the program");
    return;
  }
  maintenance_ = std::move(*maintenance);
  certificates_ = std::move(*certificates);
  services_.counters.add(metrics::kControlReplicated);
  update_host_access();
}

// An invoker that cannot read the records must stop: the older ones may allow what is forbidden now.
void SessionInvoker::fail(const std::string& reason) {
  if (std::exchange(failed_, true))
    return;
  services_.counters.add(metrics::kControlUnreadable);
  std::cerr << "lotusyard: " << reason << std::endl;
  update_host_access();
}

maintenance::StateFreshness SessionInvoker::freshness() const {
  const control::Session& session = client_.session();
  maintenance::StateFreshness freshness;
  freshness.is_leased = is_leased() || (fault_injected("lease") && session.has_held_lease());
  const bool too_old = now() >= session.lease_until() + config_.terms.max_offline;
  freshness.must_suspend = failed_ || !session.has_held_lease() || too_old;
  return freshness;
}

void SessionInvoker::update_host_access() {
  const maintenance::StateFreshness current = freshness();
  const bool is_newly_suspended = current.must_suspend && !suspended_;
  if (is_newly_suspended)
    log_event("works", "without a lease for too long: no host is used");
  suspended_ = current.must_suspend;
  host_access_.update(maintenance_, current);
  compliance_filter_.update();
}

void SessionInvoker::update_after_lease_change() {
  if (freshness().is_leased != host_access_.leased())
    update_host_access();
}

// A process that was paused for longer than its lease resumes with calls decided but not yet written, so the
// lease is checked again here.
void SessionInvoker::before_writes() {
  update_after_lease_change();
  apply_share();
  schedule_lease_timer();
}

void SessionInvoker::schedule_lease_timer() {
  const maintenance::Millis lease_until = client_.session().lease_until();
  if (lease_until == lease_timer_due_)
    return;
  lease_timer_due_ = lease_until;
  services_.loop.cancel(lease_timer_);
  lease_timer_ = services_.loop.schedule_at(lease_until, [this] { before_writes(); });
}

bool SessionInvoker::may_send(const std::string& host, const core::Call* call, std::uint64_t function) {
  update_after_lease_change();
  if (suspended_ || host_access_.is_avoided(host))
    return false;
  return compliance_filter_.may_send(host, call, function);
}

bool SessionInvoker::allows(const std::string& tenant, std::uint64_t function, const std::string& host) {
  return compliance_filter_.allows_host(tenant, function, host);
}

void SessionInvoker::attempt_ended(const std::string& host, const core::Call& call, core::Outcome outcome) {
  host_access_.attempt_ended(host, call, outcome);
}

// Passes on this process's share of the slow-start budget, where its control node grants shares.
void SessionInvoker::apply_share() {
  std::optional<double> share = client_.session().share();
  if (!share)
    return;
  if (!is_leased())
    share = 0;
  if (share == applied_share_)
    return;
  applied_share_ = share;
  services_.set_share(std::max(*share, kMinShare));
}

void SessionInvoker::send_report() {
  report_timer_ =
      services_.loop.schedule_at(now() + config_.terms.heartbeat_interval(), [this] { send_report(); });
  if (freshness().must_suspend != suspended_)
    update_host_access();
  const auto host_is_free = [this](const std::string& host) { return is_free(host); };
  const control::Index position = client_.replica().position();
  client_.session().set_quiesced_index(
      quiescence_.quiesced_index(maintenance_, certificates_, position, host_is_free, now()));
  send_observations();
}

bool SessionInvoker::is_free(const std::string& host) const {
  if (fault_injected("drain"))
    return true;
  return host_access_.is_avoided(host) && services_.host_connections.has_no_calls(host);
}

// Sends observations only if they have changed, and none before the first host is under maintenance.
void SessionInvoker::send_observations() {
  if (maintenance_.hosts().empty() && last_sent_observations_.empty())
    return;
  std::string observations = SessionObservations::encode(services_.name, host_access_.observe(maintenance_));
  if (observations == last_sent_observations_)
    return;
  const bool sent = client_.session().forward("works", observations);
  if (sent)
    last_sent_observations_ = std::move(observations);
}

std::optional<admin::Response> SessionInvoker::handle_request(const admin::Request& request) {
  if (request.path != "/-/session")
    return std::nullopt;
  if (request.method != "GET")
    return admin::Response{405, "GET"};
  return admin::Response{200, status_to_json().dump()};
}

json SessionInvoker::avoided_hosts_to_json() const {
  json avoided = json::array();
  for (const auto& [id, host] : maintenance_.hosts()) {
    if (host_access_.is_avoided(id))
      avoided.push_back(id);
  }
  return avoided;
}

json SessionInvoker::status_to_json() const {
  const control::Session& session = client_.session();
  const double lease_ms = std::round((session.lease_until() - now()).count());
  return {{"invoker", services_.name},
          {"node", session.node().name},
          {"open", session.open()},
          {"lease_ms", std::max(0.0, lease_ms)},
          {"index", client_.replica().position()},
          {"records", client_.replica().records().size()},
          {"left_alone", avoided_hosts_to_json()},
          {"share", applied_share_ ? json(*applied_share_) : json()},
          {"failed", failed_}};
}

}  // namespace lotusyard::node
