// Reads the platform's start-up settings, for the invoker and for the simulator's adapter.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>

#include "lotusyard/policy/policy.h"

namespace lotusyard::config {

// `env`: the object with the names of the platform's page, which the glossary maps to the fields of
// policy::Settings. A value that is absent or of another type reads as its default.
policy::Settings read_settings(const nlohmann::json& env, std::uint64_t seed);

}  // namespace lotusyard::config
