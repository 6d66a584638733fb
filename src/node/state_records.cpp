#include "node/state_records.h"

#include <string>

namespace lotusyard::node {
namespace {

using nlohmann::json;

// Prefixes of the keys. They are on the wire: `work` is a maintenance job.
const std::string kHostPrefix = "maintenance/host/";
const std::string kJobPrefix = "maintenance/work/";
const std::string kRegimePrefix = "compliance/regime/";
const std::string kTenantPrefix = "compliance/tenant/";
const std::string kCertificatePrefix = "compliance/certificate/";

std::string to_text(const json& value) { return value.dump(-1, ' ', false, json::error_handler_t::replace); }

bool has_prefix(const std::string& key, const std::string& prefix) {
  return key.compare(0, prefix.size(), prefix) == 0;
}

// Adds one record for each row; `name_field` is the field that names a row.
void add_rows(control::Records& records, const std::string& prefix, const json& rows,
              const char* name_field) {
  for (const auto& row : rows)
    records[prefix + row.at(name_field).get<std::string>()] = to_text(row);
}

// Calls `visit` with the rest of the key and the value of each record whose key has the prefix. Throws
// json::exception if a value is malformed.
template <typename Visitor>
void visit_records(const control::Records& records, const std::string& prefix, const Visitor& visit) {
  for (auto record = records.lower_bound(prefix); record != records.end(); ++record) {
    if (!has_prefix(record->first, prefix))
      return;
    visit(record->first.substr(prefix.size()), json::parse(record->second));
  }
}

json rows_of(const control::Records& records, const std::string& prefix) {
  json rows = json::array();
  visit_records(records, prefix, [&rows](const std::string&, const json& row) { rows.push_back(row); });
  return rows;
}

}  // namespace

control::Records records_of(const maintenance::MaintenanceState& maintenance,
                            const compliance::CertificateState& certificates) {
  control::Records records;
  const json maintenance_rows = maintenance.snapshot();
  add_rows(records, kHostPrefix, maintenance_rows.at("hosts"), "id");
  add_rows(records, kJobPrefix, maintenance_rows.at("works"), "id");
  const json compliance_rows = certificates.snapshot();
  add_rows(records, kRegimePrefix, compliance_rows.at("regimes"), "name");
  add_rows(records, kCertificatePrefix, compliance_rows.at("certificates"), "name");
  for (const auto& [tenant, regimes] : compliance_rows.at("tenants").items()) {
    records[kTenantPrefix + tenant] = to_text(regimes);
  }
  return records;
}

std::optional<maintenance::MaintenanceState> maintenance_state_from(const control::Records& records,
                                                                    control::Index index,
                                                                    maintenance::Millis now) {
  try {
    const json snapshot = {{"index", index},
                           {"hosts", rows_of(records, kHostPrefix)},
                           {"works", rows_of(records, kJobPrefix)},
                           {"members", json::array()},
                           {"lives", json::object()},
                           {"outcomes", json::array()}};
    maintenance::MaintenanceState state;
    if (!state.restore(snapshot, now))
      return std::nullopt;
    return state;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::optional<compliance::CertificateState> certificate_state_from(const control::Records& records,
                                                                   control::Index index) {
  try {
    json tenants = json::object();
    const auto add_tenant = [&tenants](const std::string& tenant, const json& regimes) {
      tenants[tenant] = regimes;
    };
    visit_records(records, kTenantPrefix, add_tenant);
    const json snapshot = {{"index", index},
                           {"regimes", rows_of(records, kRegimePrefix)},
                           {"certificates", rows_of(records, kCertificatePrefix)},
                           {"tenants", tenants},
                           {"told", json::object()},
                           {"outcomes", json::array()}};
    compliance::CertificateState state;
    if (!state.restore(snapshot))
      return std::nullopt;
    return state;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace lotusyard::node
