#include "cli/proposal.h"

#include <algorithm>
#include <cstdio>
#include <iostream>
#include <random>
#include <stdexcept>
#include <thread>

namespace lotusyard::cli {
namespace {

using nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds kResendInterval{1000};  // a repeated proposal takes effect only once
constexpr std::chrono::milliseconds kPollInterval{50};
constexpr double kMaxConfirmationWaitS = 3;
constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr int kUnavailable = 503;

// The outcome of a proposal, or the member's last message if there was no outcome in time.
struct Decision {
  std::optional<json> outcome;
  std::string last_message;
};

std::string random_proposal_id() {
  std::random_device source;
  char text[32];
  std::snprintf(text, sizeof text, "%08x%08x", source(), source());
  return text;
}

// Sends the proposal and returns the member's message. Throws if the member rejects it as invalid.
std::string send_proposal(const AdminClient& client, const json& entry) {
  const AdminResponse response = client.post("/-/works/propose/" + entry.dump());
  if (response.status != kAccepted && response.status != kUnavailable) {
    throw std::runtime_error(response.body);
  }
  return response.body;
}

Decision await_commit(const MemberOptions& options, const json& entry, double seconds) {
  const AdminClient client(options.address);
  const auto deadline = Clock::now() + std::chrono::milliseconds(static_cast<long>(seconds * 1000));
  const std::string outcome_path = "/-/works/outcome/" + entry.at("id").get<std::string>();
  Decision decision;
  auto next_send_at = Clock::now();
  while (Clock::now() < deadline) {
    if (Clock::now() >= next_send_at) {
      decision.last_message = send_proposal(client, entry);
      next_send_at = Clock::now() + kResendInterval;
    }
    const AdminResponse response = client.get(outcome_path);
    if (response.status == kOk) {
      decision.outcome = json::parse(response.body);
      return decision;
    }
    decision.last_message = response.body;
    std::this_thread::sleep_for(kPollInterval);
  }
  return decision;
}

}  // namespace

ExitStatus propose(const MemberOptions& options, json entry) {
  entry["id"] = options.proposal_id.empty() ? random_proposal_id() : options.proposal_id;
  const Decision decision = await_commit(options, entry, options.patience_s);
  if (!decision.outcome) {
    std::cerr << "no decision within " << options.patience_s << " s (" << decision.last_message
              << "); the proposal may still be accepted: repeat it with --id "
              << entry["id"].get<std::string>() << std::endl;
    return ExitStatus::undecided;
  }
  const json& outcome = *decision.outcome;
  const bool is_done = outcome.at("done").get<bool>();
  const std::string text = is_done ? "agreed" : "refused: " + outcome.at("why").get<std::string>();
  (is_done ? std::cout : std::cerr) << text << ", index " << outcome.at("index") << std::endl;
  return is_done ? ExitStatus::done : ExitStatus::refused;
}

std::string confirm_by_majority(const MemberOptions& options) {
  const json read_barrier = {{"t", "ask"}, {"id", random_proposal_id()}};
  const double seconds = std::min(options.patience_s, kMaxConfirmationWaitS);
  const Decision decision = await_commit(options, read_barrier, seconds);
  if (!decision.outcome) {
    return "NOT confirmed: no majority answers; what follows may be old";
  }
  return "confirmed by a majority at index " + decision.outcome->at("index").dump();
}

}  // namespace lotusyard::cli
