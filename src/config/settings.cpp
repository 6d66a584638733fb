#include "config/settings.h"

#include "config/json_read.h"

namespace lotusyard::config {

using namespace lotusyard::policy;

namespace {

ReportField field(const json& value) {
  static const std::map<std::string, ReportField> words = {
      {"inflight", ReportField::inflight}, {"queue", ReportField::queue},
      {"util", ReportField::utilisation},  {"latency_ms", ReportField::latency_ms},
      {"qps", ReportField::rate},          {"eps", ReportField::errors},
      {"x0", ReportField::pinned},         {"x1", ReportField::loading}};
  return word(text(value), words, ReportField::other);
}

ClassSettings read_class(const json& row) {
  ClassSettings read;
  read.name = text(key(row, "Name"));
  read.semantics =
      word<Semantics>(text(key(row, "Semantics")),
                      {{"repeatable", Semantics::idempotent}, {"by_key", Semantics::idempotent_with_key}},
                      Semantics::non_idempotent);
  read.scope = word<KeyScope>(text(key(row, "KeyScope")),
                              {{"zone", KeyScope::zone}, {"cell", KeyScope::cell}}, KeyScope::all);
  read.key_window = millis(key(row, "KeyTtl"));
  read.latency_objective = millis(key(row, "Aim"));
  read.deadline = millis(key(row, "HardLimit"));
  read.objective_stretch = number(key(row, "AimStretch"));
  read.priority_weight = number(key(row, "Gain"), 1);
  read.late_weight = number(key(row, "LateValue"));
  read.stream = flag(key(row, "Stream"));
  return read;
}

void read_family(const json& family, const json& kinds, Settings& out) {
  out.host_protocol.instance_idle_timeout = millis(key(family, "LingerIdle"));
  out.load_orders.floor = number(key(family, "LoadFloor"));
  out.load_orders.ratio = number(key(family, "LoadRatio"));
  out.load_orders.window = millis(key(family, "LoadWindow"));
  out.load_orders.timeout = millis(key(family, "OrderTimeout"));
  out.host_protocol.answers_misses = text(key(family, "OnMiss")) == "miss";
  out.load_orders.allowed = flag(key(family, "Orders"));
  out.host_protocol.reports_warm_start = flag(key(family, "TellsWarm"));
  out.host_protocol.reports_concurrency = flag(key(family, "NotesPeersInHand"));
  out.costs.idle = number(key(family, "PriceOfIdle"));
  const json& memory = key(family, "MemoryMbByKind");
  for (std::size_t i = 0; kinds.is_array() && i < kinds.size(); ++i) {
    out.kind_memory_mb[text(kinds[i])] = number(at(memory, i));
  }
}

void read_bounds(const json& bounds, Settings& out) {
  out.host_protocol.cancels = flag(key(bounds, "Cancel"));
  out.retries.hedged_requests = flag(key(bounds, "SecondCopies"));
  out.host_protocol.accepts_probes = flag(key(bounds, "Probes"));
  out.peer_messages = flag(key(bounds, "PeerMessages"));
  out.rejections.sends_retry_after = flag(key(bounds, "RetryAfter"));
  out.rejections.max_retry_after = millis(key(bounds, "MaxRetryAfter"));
  out.host_protocol.connect_timeout = millis(key(bounds, "ConnectTimeout"));
  out.retries.max_attempts = whole(key(bounds, "SendCap"), 1);
}

void read_rules(const json& rules, Settings& out) {
  out.response_grace = millis(key(rules, "GraceToAnswer"));
  out.endpoint_list.drain_grace = millis(key(rules, "DrainGrace"));
  out.endpoint_list.poll_interval = millis(key(rules, "MustAskIn"));
  out.slow_start.duration = millis(key(rules, "Cold"));
  out.slow_start.initial = number(key(rules, "ColdFrom"));
  out.slow_start.factor = number(key(rules, "FallMultiple"));
  out.slow_start.window = millis(key(rules, "TipAfter"));
}

}  // namespace

Settings read_settings(const json& env, std::uint64_t seed) {
  Settings out;
  out.seed = seed;
  out.zone = text(key(env, "Az"));
  out.rank = whole(key(env, "Rank"));
  out.routers = whole(key(env, "Balancers"), 1);
  out.tick = millis(key(env, "Tick"));
  for (const auto& row : key(env, "Classes"))
    out.classes.push_back(read_class(row));
  for (const auto& row : key(env, "Tenants")) {
    out.tenants.push_back({text(key(row, "Name")), number(key(row, "Share")), number(key(row, "QuotaPerS"))});
  }
  read_family(key(env, "FamilyInfo"), key(env, "Kinds"), out);
  read_bounds(key(env, "Bounds"), out);
  read_rules(key(env, "Rules"), out);
  out.endpoint_list.polled = text(key(env, "RegistryMode")) == "ask";
  out.costs.weight_by_work = text(key(env, "WorthBy")) == "work";
  out.costs.over_quota_weight = number(key(env, "OverShareWorth"), 1);
  const json& prices = key(env, "Prices");
  out.costs.cross_zone = number(key(prices, "CrossZone"));
  out.costs.origin = number(key(prices, "Origin"));
  out.costs.probe = number(key(prices, "Probe"));
  const json& load = key(env, "LoadInfo");
  out.load_reports.mode =
      word<ReportMode>(text(key(load, "How")),
                       {{"piggyback", ReportMode::answers}, {"pull", ReportMode::probe}}, ReportMode::none);
  for (const auto& name : key(load, "Fields"))
    out.load_reports.fields.push_back(field(name));
  return out;
}

}  // namespace lotusyard::config
