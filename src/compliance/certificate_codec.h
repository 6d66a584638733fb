// JSON form of regimes and certificates, shared by log entries, snapshots and stored records.
#pragma once

#include <nlohmann/json.hpp>

#include "compliance/certificate.h"

namespace lotusyard::compliance {

nlohmann::json to_json(const Regime& regime);
nlohmann::json to_json(const Certificate& certificate);

// Both throw std::invalid_argument whose text begins with the key at fault.
Regime parse_regime(const nlohmann::json& from);
Certificate parse_certificate(const nlohmann::json& from);

}  // namespace lotusyard::compliance
