// The start-up settings, under the names of the wire page: read here for the adapter and for the invoker.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>

#include "lotusyard/policy/policy.h"

namespace lotusyard::config {

policy::Settings read_settings(const nlohmann::json& env, std::uint64_t seed);

}  // namespace lotusyard::config
