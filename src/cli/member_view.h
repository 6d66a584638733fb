// The state of a group as one member shows it.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "cli/proposal.h"

namespace lotusyard::cli {

// Fetches the path from the member and prints a heading with the index and its confirmation. With `as_json`
// the state is printed as it was received, and nothing is returned.
std::optional<nlohmann::json> show_member_view(const MemberOptions& options, const std::string& path,
                                               bool as_json);

}  // namespace lotusyard::cli
