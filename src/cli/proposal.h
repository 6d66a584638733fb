// Proposals of operators to a group: sent until the group has decided.
#pragma once

#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "cli/admin_client.h"

namespace lotusyard::cli {

// Options common to the sub-commands that query a member.
struct MemberOptions {
  std::string address;
  std::string proposal_id;  // empty: a random one
  double patience_s = 10;   // how long to wait for the group's decision
};

// The exit statuses of sub-commands.
enum class ExitStatus { done = 0, refused = 1, undecided = 3 };

// Proposes the entry, waits for the group's decision and prints it.
ExitStatus propose(const MemberOptions& options, nlohmann::json entry);

// Returns a text with the index up to which a majority confirms the member's state.
std::string confirm_by_majority(const MemberOptions& options);

}  // namespace lotusyard::cli
