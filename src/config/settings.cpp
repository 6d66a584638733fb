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
                      {{"repeatable", Semantics::repeatable}, {"by_key", Semantics::keyed}}, Semantics::once);
  read.scope = word<KeyScope>(text(key(row, "KeyScope")),
                              {{"zone", KeyScope::zone}, {"cell", KeyScope::cell}}, KeyScope::all);
  read.key_window = millis(key(row, "KeyTtl"));
  read.aim = millis(key(row, "Aim"));
  read.deadline = millis(key(row, "HardLimit"));
  read.aim_stretch = number(key(row, "AimStretch"));
  read.worth = number(key(row, "Gain"), 1);
  read.late_worth = number(key(row, "LateValue"));
  read.stream = flag(key(row, "Stream"));
  return read;
}

void read_family(const json& family, const json& kinds, Settings& out) {
  out.keep_alive = millis(key(family, "LingerIdle"));
  out.load_floor = number(key(family, "LoadFloor"));
  out.load_ratio = number(key(family, "LoadRatio"));
  out.load_window = millis(key(family, "LoadWindow"));
  out.order_timeout = millis(key(family, "OrderTimeout"));
  out.miss_is_answered = text(key(family, "OnMiss")) == "miss";
  out.orders = flag(key(family, "Orders"));
  out.tells_warm = flag(key(family, "TellsWarm"));
  out.tells_crowd = flag(key(family, "NotesPeersInHand"));
  out.idle_price = number(key(family, "PriceOfIdle"));
  const json& memory = key(family, "MemoryMbByKind");
  for (std::size_t i = 0; kinds.is_array() && i < kinds.size(); ++i) {
    out.kind_memory_mb[text(kinds[i])] = number(at(memory, i));
  }
}

void read_bounds(const json& bounds, Settings& out) {
  out.cancel = flag(key(bounds, "Cancel"));
  out.second_copies = flag(key(bounds, "SecondCopies"));
  out.probes = flag(key(bounds, "Probes"));
  out.peers = flag(key(bounds, "PeerMessages"));
  out.retry_after = flag(key(bounds, "RetryAfter"));
  out.max_retry_after = millis(key(bounds, "MaxRetryAfter"));
  out.connect_timeout = millis(key(bounds, "ConnectTimeout"));
  out.max_attempts = whole(key(bounds, "SendCap"), 1);
}

void read_rules(const json& rules, Settings& out) {
  out.answer_grace = millis(key(rules, "GraceToAnswer"));
  out.drain_grace = millis(key(rules, "DrainGrace"));
  out.ask_within = millis(key(rules, "MustAskIn"));
  out.cold_for = millis(key(rules, "Cold"));
  out.cold_from = number(key(rules, "ColdFrom"));
  out.cold_multiple = number(key(rules, "FallMultiple"));
  out.cold_window = millis(key(rules, "TipAfter"));
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
  out.ask_list = text(key(env, "RegistryMode")) == "ask";
  out.worth_by_work = text(key(env, "WorthBy")) == "work";
  out.over_share_worth = number(key(env, "OverShareWorth"), 1);
  const json& prices = key(env, "Prices");
  out.cross_zone_price = number(key(prices, "CrossZone"));
  out.origin_price = number(key(prices, "Origin"));
  out.probe_price = number(key(prices, "Probe"));
  const json& load = key(env, "LoadInfo");
  out.reports =
      word<ReportMode>(text(key(load, "How")),
                       {{"piggyback", ReportMode::answers}, {"pull", ReportMode::probe}}, ReportMode::none);
  for (const auto& name : key(load, "Fields"))
    out.report_fields.push_back(field(name));
  return out;
}

}  // namespace lotusyard::config
