#include "compliance/compliance_admin.h"

#include <utility>

#include "compliance/log_entry_codec.h"

namespace lotusyard::compliance {
namespace {

using nlohmann::json;
using State = Certificate::State;

constexpr int kHttpOk = 200;
constexpr int kHttpAccepted = 202;
constexpr int kHttpBadRequest = 400;
constexpr int kHttpNotFound = 404;
constexpr int kHttpMethodNotAllowed = 405;
constexpr int kHttpUnavailable = 503;

const std::string kStatusPath = "/-/compliance";
const std::string kPathPrefix = "/-/compliance/";

// The admin endpoint's names of the states.
const char* state_name(State state) {
  switch (state) {
    case State::valid:
      return "stands";
    case State::revoking:
      return "ending";
    case State::ended:
      return "ended";
  }
  return "";
}

std::string join(const std::vector<std::string>& names) {
  std::string out;
  for (const auto& name : names) {
    out += (out.empty() ? "" : ", ") + name;
  }
  return out;
}

}  // namespace

ComplianceAdmin::ComplianceAdmin(const InvokerServices& services, std::string member,
                                 const CertificateState& state,
                                 const maintenance::MaintenanceReplica& maintenance,
                                 MembersNotAcknowledged members_not_acknowledged, SendToLeader send_to_leader)
    : services_(services),
      member_(std::move(member)),
      state_(state),
      maintenance_(maintenance),
      members_not_acknowledged_(std::move(members_not_acknowledged)),
      send_to_leader_(std::move(send_to_leader)) {}

json ComplianceAdmin::certificate_status_to_json(const Certificate& certificate) const {
  std::string waits_for;
  if (certificate.state == State::revoking) {
    waits_for = join(members_not_acknowledged_(certificate.name));
  }
  return {{"host", certificate.host},
          {"regime", certificate.regime},
          {"state", state_name(certificate.state)},
          {"waits_for", waits_for}};
}

json ComplianceAdmin::status_to_json() const {
  json certificates = json::object();
  for (const auto& [name, certificate] : state_.certificates()) {
    certificates[name] = certificate_status_to_json(certificate);
  }
  json regimes = json::array();
  for (const auto& [name, regime] : state_.regimes()) {
    regimes.push_back(name);
  }
  return {{"member", member_},  {"index", state_.index()},      {"knows", maintenance_.is_leased()},
          {"regimes", regimes}, {"certificates", certificates}, {"tenants", state_.tenants()}};
}

std::optional<admin::Response> ComplianceAdmin::handle_request(const admin::Request& request) const {
  const bool is_get = request.method == "GET";
  if (request.path == kStatusPath) {
    return is_get ? admin::Response{kHttpOk, status_to_json().dump()}
                  : admin::Response{kHttpMethodNotAllowed, "GET"};
  }
  if (request.path.compare(0, kPathPrefix.size(), kPathPrefix) != 0) {
    return std::nullopt;
  }
  const std::string path = request.path.substr(kPathPrefix.size());
  const auto slash = path.find('/');
  const std::string action = path.substr(0, slash);
  const std::string argument = slash == std::string::npos ? "" : path.substr(slash + 1);
  if (action == "outcome") {
    return handle_outcome_query(argument);
  }
  if (action != "propose") {
    return std::nullopt;
  }
  return is_get ? admin::Response{kHttpMethodNotAllowed, "POST"} : handle_proposal(argument);
}

admin::Response ComplianceAdmin::handle_outcome_query(const std::string& proposal_id) const {
  const auto* outcome = state_.find_outcome(proposal_id);
  if (outcome == nullptr) {
    return {kHttpNotFound, "unknown proposal"};
  }
  return {kHttpOk, json{{"done", outcome->done}, {"why", outcome->why}}.dump()};
}

// Validates an operator's proposal and fills in what the operator does not know; a response if it is
// rejected.
std::optional<admin::Response> ComplianceAdmin::complete_proposal(LogEntry& entry) const {
  if (!is_operator_command(entry.command)) {
    return admin::Response{kHttpBadRequest, "t: no proposal that an operator can make"};
  }
  if (entry.proposal_id.empty()) {
    return admin::Response{kHttpBadRequest, "id: 1 to 128 bytes are needed"};
  }
  auto* certify = std::get_if<Certify>(&entry.command);
  if (certify == nullptr) {
    return std::nullopt;
  }
  Certificate& certificate = certify->certificate;
  const auto listed = services_.endpoint_states.find_listed(certificate.host);
  if (!listed) {
    return admin::Response{kHttpBadRequest, "host: unknown host " + certificate.host};
  }
  certificate.host_incarnation = listed->entry.started.count();
  return std::nullopt;
}

admin::Response ComplianceAdmin::handle_proposal(const std::string& text) const {
  try {
    LogEntry entry = parse_entry(json::parse(text));
    if (const auto rejection = complete_proposal(entry)) {
      return *rejection;
    }
    const bool is_sent = send_to_leader_(entry);
    return is_sent ? admin::Response{kHttpAccepted, "taken"}
                   : admin::Response{kHttpUnavailable, "no leader is known"};
  } catch (const std::exception& error) {
    return {kHttpBadRequest, error.what()};
  }
}

}  // namespace lotusyard::compliance
