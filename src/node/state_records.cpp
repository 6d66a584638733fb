#include "node/state_records.h"

#include <string>

namespace lotusyard::node {
namespace {

using nlohmann::json;

// The kinds of records, as the first part of their keys.
const std::string kHosts = "maintenance/host/";
const std::string kWorks = "maintenance/work/";
const std::string kRegimes = "compliance/regime/";
const std::string kTenants = "compliance/tenant/";
const std::string kCertificates = "compliance/certificate/";

std::string dumped(const json& value) { return value.dump(-1, ' ', false, json::error_handler_t::replace); }

void add_rows(control::Records& out, const std::string& prefix, const json& rows, const char* name) {
  for (const auto& row : rows) out[prefix + row.at(name).get<std::string>()] = dumped(row);
}

// Calls `use` with the rest of the key and the value of each record of a kind. Throws json::exception.
template <typename Use>
void each_of(const control::Records& records, const std::string& prefix, const Use& use) {
  for (auto record = records.lower_bound(prefix); record != records.end(); ++record) {
    if (record->first.compare(0, prefix.size(), prefix) != 0) return;
    use(record->first.substr(prefix.size()), json::parse(record->second));
  }
}

json rows_of(const control::Records& records, const std::string& prefix) {
  json out = json::array();
  each_of(records, prefix, [&out](const std::string&, const json& row) { out.push_back(row); });
  return out;
}

}  // namespace

control::Records records_of(const maintenance::MaintenanceState& board,
                            const compliance::CertificateState& book) {
  control::Records out;
  const json agreed = board.snapshot();
  add_rows(out, kHosts, agreed.at("hosts"), "id");
  add_rows(out, kWorks, agreed.at("works"), "id");
  const json rules = book.snapshot();
  add_rows(out, kRegimes, rules.at("regimes"), "name");
  add_rows(out, kCertificates, rules.at("certificates"), "name");
  for (const auto& [tenant, regimes] : rules.at("tenants").items()) out[kTenants + tenant] = dumped(regimes);
  return out;
}

std::optional<maintenance::MaintenanceState> maintenance_state_from(const control::Records& records,
                                                                    control::Index index,
                                                                    maintenance::Millis now) {
  try {
    const json snapshot = {
        {"index", index},           {"hosts", rows_of(records, kHosts)}, {"works", rows_of(records, kWorks)},
        {"members", json::array()}, {"lives", json::object()},           {"outcomes", json::array()}};
    maintenance::MaintenanceState out;
    if (!out.restore(snapshot, now)) return std::nullopt;
    return out;
  } catch (const json::exception&) { return std::nullopt; }
}

std::optional<compliance::CertificateState> certificate_state_from(const control::Records& records,
                                                                   control::Index index) {
  try {
    json tenants = json::object();
    each_of(records, kTenants,
            [&tenants](const std::string& tenant, const json& regimes) { tenants[tenant] = regimes; });
    const json snapshot = {{"index", index},
                           {"regimes", rows_of(records, kRegimes)},
                           {"certificates", rows_of(records, kCertificates)},
                           {"tenants", tenants},
                           {"told", json::object()},
                           {"outcomes", json::array()}};
    compliance::CertificateState out;
    if (!out.restore(snapshot)) return std::nullopt;
    return out;
  } catch (const json::exception&) { return std::nullopt; }
}

}  // namespace lotusyard::node
