// The wording of what members agree upon about regimes and certificates, and the book's snapshot.
#include <algorithm>
#include <array>
#include <cmath>
#include <stdexcept>

#include "compliance/certificate_state.h"

namespace lotusyard::compliance {
namespace {

using nlohmann::json;
using Kind = LogEntry::Kind;

constexpr std::array<const char*, 6> kKinds{"regime", "tenant", "certify", "revoke", "told", "ended"};
constexpr std::size_t kLongestName = 128, kRegimesMost = 64;

[[noreturn]] void fault(const std::string& key, const std::string& what) {
  throw std::invalid_argument(key + ": " + what);
}
std::string text(const json& from, const char* key, bool needed = true) {
  const auto found = from.find(key);
  if (found == from.end() && !needed) return {};
  if (found == from.end() || !found->is_string()) fault(key, "a text is needed");
  const auto& read = found->get_ref<const std::string&>();
  if ((needed && read.empty()) || read.size() > kLongestName) fault(key, "1 to 128 bytes are needed");
  return read;
}
double number(const json& from, const char* key) {
  const auto found = from.find(key);
  if (found == from.end() || !found->is_number() || !std::isfinite(found->get<double>()))
    fault(key, "a number is needed");
  return found->get<double>();
}
bool flag(const json& from, const char* key) {
  const auto found = from.find(key);
  if (found != from.end() && !found->is_boolean()) fault(key, "true or false is needed");
  return found != from.end() && found->get<bool>();
}
std::uint64_t whole(const json& from, const char* key) {
  const auto found = from.find(key);
  if (found == from.end()) return 0;
  if (!found->is_number_integer() || (!found->is_number_unsigned() && found->get<std::int64_t>() < 0))
    fault(key, "a whole number is needed");
  return found->get<std::uint64_t>();
}

void only(const json& from, const std::string& path, std::initializer_list<const char*> known) {
  for (const auto& [key, value] : from.items()) {
    const auto same = [&key = key](const char* k) { return key == k; };
    if (std::none_of(known.begin(), known.end(), same)) fault(path + key, "no such key");
  }
}

json encode_entry(const Regime& r) {
  return {{"name", r.name}, {"zone", r.zone}, {"exclusive", r.exclusive}};
}
Regime read_regime(const json& from) {
  if (!from.is_object()) fault("regime", "an object is needed");
  only(from, "regime.", {"name", "zone", "exclusive"});
  return {text(from, "name"), text(from, "zone", false), flag(from, "exclusive")};
}

json encode_entry(const Certificate& c) {
  return {{"name", c.name},
          {"host", c.host},
          {"regime", c.regime},
          {"from_ms", c.valid_from.count()},
          {"until_ms", c.valid_until.count()},
          {"outlives_start", c.survives_restart},
          {"host_life", c.host_incarnation},
          {"state", static_cast<int>(c.state)},
          {"round", c.revoked_at_index}};
}
Certificate read_certificate(const json& from) {
  if (!from.is_object()) fault("certificate", "an object is needed");
  only(from, "certificate.",
       {"name", "host", "regime", "from_ms", "until_ms", "outlives_start", "host_life", "state", "round"});
  Certificate out;
  out.name = text(from, "name");
  out.host = text(from, "host");
  out.regime = text(from, "regime");
  out.valid_from = Millis(number(from, "from_ms"));
  out.valid_until = Millis(number(from, "until_ms"));
  if (!(out.valid_from < out.valid_until)) fault("until_ms", "expires before it is issued");
  out.survives_restart = flag(from, "outlives_start");
  if (from.contains("host_life")) out.host_incarnation = number(from, "host_life");
  const auto state = whole(from, "state");
  if (state > 2) fault("state", "there is no such");
  out.state = static_cast<Certificate::State>(state);
  out.revoked_at_index = whole(from, "round");
  return out;
}

}  // namespace

std::string encode_entry(const LogEntry& e) {
  json out = {{"t", kKinds[static_cast<std::size_t>(e.kind)]}};
  if (!e.proposal.empty()) out["id"] = e.proposal;
  if (e.kind == Kind::put_regime) out["regime"] = encode_entry(e.regime);
  if (e.kind == Kind::certify) out["certificate"] = encode_entry(e.certificate);
  if (e.kind == Kind::put_tenant) {
    out["tenant"] = e.tenant;
    out["regimes"] = e.regimes;
  }
  if (!e.name.empty()) out["name"] = e.name;
  if (!e.member.empty()) out["member"] = e.member;
  if (e.incarnation > 0) out["life"] = e.incarnation;
  if (e.revoked_at_index > 0) out["round"] = e.revoked_at_index;
  return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

LogEntry parse_entry(const json& from) {
  if (!from.is_object()) fault("entry", "an object is needed");
  only(from, "",
       {"t", "id", "regime", "certificate", "tenant", "regimes", "name", "member", "life", "round"});
  LogEntry out;
  const std::string kind = text(from, "t");
  const auto at = std::find(kKinds.begin(), kKinds.end(), kind);
  if (at == kKinds.end()) fault("t", "no entry is called " + kind);
  out.kind = static_cast<Kind>(at - kKinds.begin());
  out.proposal = text(from, "id", false);
  if (out.kind == Kind::put_regime) out.regime = read_regime(from.value("regime", json()));
  if (out.kind == Kind::certify) out.certificate = read_certificate(from.value("certificate", json()));
  if (out.kind == Kind::put_tenant) {
    out.tenant = text(from, "tenant", false);  // calls may name none
    const json regimes = from.value("regimes", json());
    if (!regimes.is_array() || regimes.size() > kRegimesMost) fault("regimes", "an array is needed");
    for (const auto& name : regimes) {
      if (!name.is_string()) fault("regimes", "texts are needed");
      out.regimes.insert(name.get<std::string>());
    }
  }
  out.name = text(from, "name", out.kind >= Kind::revoke);
  out.member = text(from, "member", out.kind == Kind::acknowledge);
  out.incarnation = whole(from, "life");
  out.revoked_at_index = whole(from, "round");
  return out;
}

json CertificateState::snapshot() const {
  json regimes = json::array(), certificates = json::array(), outcomes = json::array();
  for (const auto& [name, r] : regimes_) regimes.push_back(encode_entry(r));
  for (const auto& [name, c] : certificates_) certificates.push_back(encode_entry(c));
  for (const auto& [id, o] : outcomes_) outcomes.push_back({id, o.done, o.why, o.index});
  return {{"index", index_},       {"regimes", regimes},   {"tenants", tenants_},
          {"told", acknowledged_}, {"outcomes", outcomes}, {"certificates", certificates}};
}

bool CertificateState::restore(const json& from) {
  try {
    CertificateState out;
    from.at("index").get_to(out.index_);
    from.at("tenants").get_to(out.tenants_);
    from.at("told").get_to(out.acknowledged_);
    for (const auto& row : from.at("regimes")) {
      const Regime r = read_regime(row);
      out.regimes_[r.name] = r;
    }
    for (const auto& row : from.at("certificates")) {
      const Certificate c = read_certificate(row);
      out.certificates_[c.name] = c;
    }
    for (const auto& row : from.at("outcomes"))
      out.outcomes_[row.at(0)] = {row.at(1).get<bool>(), row.at(2).get<std::string>(),
                                  row.at(3).get<std::uint64_t>()};
    for (const auto& [tenant, names] : out.tenants_) {
      for (const auto& name : names) (void)out.regimes_.at(name);
    }
    *this = std::move(out);
    return true;
  } catch (const std::exception&) { return false; }
}

}  // namespace lotusyard::compliance
