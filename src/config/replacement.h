// Whether a configuration file may replace that of the running program.
#pragma once

#include <nlohmann/json.hpp>

namespace lotusyard::config {

// The part of the running file that check_replacement() needs: its keys and the types of their values; of a
// list, the keys that all its elements have.
nlohmann::json outline(nlohmann::json file);

// Throws a ConfigError for the first key that the running file has and the next one lacks, or has with
// another type. At a start, a missing key gets its default; in a running program, a file that was cut short
// or edited by mistake would change rules by accident.
void check_replacement(const nlohmann::json& outline, const nlohmann::json& next);

}  // namespace lotusyard::config
