#include "config/settings.h"

#include "config/json_read.h"

namespace lotusyard::config {

namespace {

using policy::ClassSettings;
using policy::KeyScope;
using policy::ReportField;
using policy::ReportMode;
using policy::Semantics;
using policy::Settings;

ReportField read_report_field(const json& value) {
  static const std::map<std::string, ReportField> fields = {
      {"inflight", ReportField::inflight}, {"queue", ReportField::queue},
      {"util", ReportField::utilisation},  {"latency_ms", ReportField::latency_ms},
      {"qps", ReportField::rate},          {"eps", ReportField::errors},
      {"x0", ReportField::pinned},         {"x1", ReportField::loading}};
  return word(text(value), fields, ReportField::other);
}

ClassSettings read_class(const json& row) {
  ClassSettings settings;
  settings.name = text(key(row, "Name"));
  settings.semantics =
      word<Semantics>(text(key(row, "Semantics")),
                      {{"repeatable", Semantics::idempotent}, {"by_key", Semantics::idempotent_with_key}},
                      Semantics::non_idempotent);
  settings.scope = word<KeyScope>(text(key(row, "KeyScope")),
                                  {{"zone", KeyScope::zone}, {"cell", KeyScope::cell}}, KeyScope::all);
  settings.key_window = millis(key(row, "KeyTtl"));
  settings.latency_objective = millis(key(row, "Aim"));
  settings.deadline = millis(key(row, "HardLimit"));
  settings.objective_stretch = number(key(row, "AimStretch"));
  settings.priority_weight = number(key(row, "Gain"), 1);
  settings.late_weight = number(key(row, "LateValue"));
  settings.stream = flag(key(row, "Stream"));
  return settings;
}

// What the platform's version of the host protocol does.
void read_host_family(const json& family, const json& kinds, Settings& settings) {
  settings.host_protocol.instance_idle_timeout = millis(key(family, "LingerIdle"));
  settings.load_orders.floor = number(key(family, "LoadFloor"));
  settings.load_orders.ratio = number(key(family, "LoadRatio"));
  settings.load_orders.window = millis(key(family, "LoadWindow"));
  settings.load_orders.timeout = millis(key(family, "OrderTimeout"));
  settings.host_protocol.answers_misses = text(key(family, "OnMiss")) == "miss";
  settings.load_orders.allowed = flag(key(family, "Orders"));
  settings.host_protocol.reports_warm_start = flag(key(family, "TellsWarm"));
  settings.host_protocol.reports_concurrency = flag(key(family, "NotesPeersInHand"));
  settings.costs.idle = number(key(family, "PriceOfIdle"));
  const json& memory = key(family, "MemoryMbByKind");
  for (std::size_t i = 0; kinds.is_array() && i < kinds.size(); ++i) {
    settings.kind_memory_mb[text(kinds[i])] = number(at(memory, i));
  }
}

void read_bounds(const json& bounds, Settings& settings) {
  settings.host_protocol.cancels = flag(key(bounds, "Cancel"));
  settings.retries.hedged_requests = flag(key(bounds, "SecondCopies"));
  settings.host_protocol.accepts_probes = flag(key(bounds, "Probes"));
  settings.peer_messages = flag(key(bounds, "PeerMessages"));
  settings.rejections.sends_retry_after = flag(key(bounds, "RetryAfter"));
  settings.rejections.max_retry_after = millis(key(bounds, "MaxRetryAfter"));
  settings.host_protocol.connect_timeout = millis(key(bounds, "ConnectTimeout"));
  settings.retries.max_attempts = whole(key(bounds, "SendCap"), 1);
}

void read_rules(const json& rules, Settings& settings) {
  settings.response_grace = millis(key(rules, "GraceToAnswer"));
  settings.endpoint_list.drain_grace = millis(key(rules, "DrainGrace"));
  settings.endpoint_list.poll_interval = millis(key(rules, "MustAskIn"));
  settings.slow_start.duration = millis(key(rules, "Cold"));
  settings.slow_start.initial = number(key(rules, "ColdFrom"));
  settings.slow_start.factor = number(key(rules, "FallMultiple"));
  settings.slow_start.window = millis(key(rules, "TipAfter"));
}

void read_costs(const json& env, Settings& settings) {
  settings.costs.weight_by_work = text(key(env, "WorthBy")) == "work";
  settings.costs.over_quota_weight = number(key(env, "OverShareWorth"), 1);
  const json& prices = key(env, "Prices");
  settings.costs.cross_zone = number(key(prices, "CrossZone"));
  settings.costs.origin = number(key(prices, "Origin"));
  settings.costs.probe = number(key(prices, "Probe"));
}

void read_load_reports(const json& load, Settings& settings) {
  settings.load_reports.mode =
      word<ReportMode>(text(key(load, "How")),
                       {{"piggyback", ReportMode::answers}, {"pull", ReportMode::probe}}, ReportMode::none);
  for (const auto& name : key(load, "Fields"))
    settings.load_reports.fields.push_back(read_report_field(name));
}

}  // namespace

policy::Settings read_settings(const json& env, std::uint64_t seed) {
  Settings settings;
  settings.seed = seed;
  settings.zone = text(key(env, "Az"));
  settings.rank = whole(key(env, "Rank"));
  settings.invokers = whole(key(env, "Balancers"), 1);
  settings.tick = millis(key(env, "Tick"));
  for (const auto& row : key(env, "Classes"))
    settings.classes.push_back(read_class(row));
  for (const auto& row : key(env, "Tenants")) {
    const double share = number(key(row, "Share"));
    settings.tenants.push_back({text(key(row, "Name")), share, number(key(row, "QuotaPerS"))});
  }
  read_host_family(key(env, "FamilyInfo"), key(env, "Kinds"), settings);
  read_bounds(key(env, "Bounds"), settings);
  read_rules(key(env, "Rules"), settings);
  settings.endpoint_list.polled = text(key(env, "RegistryMode")) == "ask";
  read_costs(env, settings);
  read_load_reports(key(env, "LoadInfo"), settings);
  return settings;
}

}  // namespace lotusyard::config
