// Whether a file may take the place of the one that the program runs by.
#pragma once

#include <nlohmann/json.hpp>

namespace lotusyard::config {

// What has to be kept of a file for that: its keys and the types of their values.
nlohmann::json outline(nlohmann::json file);

// Throws a ConfigError that names the key which the running file has and the next one lacks, or holds as
// something else. A start gives what is missing its default; a file that was cut short or edited by
// mistake would change rules that nobody meant to change.
void check_replacement(const nlohmann::json& outline, const nlohmann::json& next);

}  // namespace lotusyard::config
