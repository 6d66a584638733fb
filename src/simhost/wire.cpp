#include "wire.h"

#include <cmath>
#include <type_traits>
#include <utility>

namespace robinfold::simhost {
namespace {

using nlohmann::json;

const json& absent() {
  static const json null_value;
  return null_value;
}

const json& at(const json& row, std::size_t index) { return index < row.size() ? row[index] : absent(); }

const json& key(const json& object, const char* name) {
  if (!object.is_object()) return absent();
  const auto found = object.find(name);
  return found == object.end() ? absent() : *found;
}

double number(const json& value, double missing = 0) {
  if (!value.is_number()) return missing;
  const double read = value.get<double>();
  return std::isfinite(read) ? read : missing;
}

constexpr double int_limit = 1e9;  // the type's range, with room

int whole(const json& value, int missing = 0) {
  const double read = number(value, missing);
  return static_cast<int>(std::min(std::max(read, -int_limit), int_limit));
}

std::uint64_t large(const json& value) {
  if (value.is_number_unsigned()) return value.get<std::uint64_t>();
  return value.is_number_integer() ? static_cast<std::uint64_t>(value.get<std::int64_t>()) : 0;
}

bool flag(const json& value) { return value.is_boolean() ? value.get<bool>() : number(value) != 0; }

std::string text(const json& value) {
  if (value.is_string()) return value.get<std::string>();
  return value.is_number_integer() ? value.dump() : std::string();
}

const std::string& needed_text(const json& value, const char* what) {
  if (!value.is_string()) throw WireError(std::string("no ") + what + " where one is needed");
  return value.get_ref<const std::string&>();
}

Millis millis(const json& value, double missing = 0) { return Millis(number(value, missing)); }

template <typename T>
T word(const std::string& name, const std::map<std::string, T>& words, T otherwise) {
  const auto found = words.find(name);
  return found == words.end() ? otherwise : found->second;
}

Outcome outcome(const json& value) {
  static const std::map<std::string, Outcome> words = {
      {"GOOD", Outcome::ok},      {"BAD", Outcome::error}, {"FULL", Outcome::full},
      {"LATE", Outcome::timeout}, {"RST", Outcome::reset}, {"NOCONN", Outcome::connect_failed},
      {"NOP", Outcome::moot},     {"MISS", Outcome::miss}, {"CXL", Outcome::cancelled}};
  return word(text(value), words, Outcome::error);
}

ReportField field(const json& value) {
  static const std::map<std::string, ReportField> words = {
      {"inflight", ReportField::inflight}, {"queue", ReportField::queue},
      {"util", ReportField::utilisation},  {"latency_ms", ReportField::latency_ms},
      {"qps", ReportField::rate},          {"eps", ReportField::errors},
      {"x0", ReportField::pinned},         {"x1", ReportField::loading}};
  return word(text(value), words, ReportField::other);
}

Warmth warmth(int remark) {
  const int low = remark & 7;
  return low >= 1 && low <= 4 ? static_cast<Warmth>(low) : Warmth::untold;
}

Report report(const json& row) {
  if (!row.is_array()) return std::nullopt;
  std::vector<double> values;
  for (const auto& value : row) values.push_back(number(value));
  return values;
}

WorkerEntry entry(const json& row) {
  if (!row.is_array()) throw WireError("a list entry is no array");
  WorkerEntry read;
  read.worker = needed_text(at(row, 0), "worker");
  read.cell = whole(at(row, 1));
  read.weight = number(at(row, 2), 1);
  read.kind = text(at(row, 3));
  const int state = whole(at(row, 4), 2);
  read.state = state == 0 ? WorkerState::gone : state == 1 ? WorkerState::draining : WorkerState::ready;
  read.started = millis(at(row, 5));
  read.zone = text(at(row, 6));
  return read;
}

ListKind list_kind(int code) {
  switch (code) {
    case 1: return ListKind::delta;
    case 2: return ListKind::cached;
    case 4: return ListKind::full;
    default: return ListKind::failed;
  }
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

event::Request read_request(const json& m) {
  event::Request read;
  read.id = needed_text(at(m, 1), "request id");
  read.class_name = text(at(m, 2));
  const int bits = whole(at(m, 5));
  if (at(m, 3).is_number() && (bits & 1) != 0) read.cost_hint = number(at(m, 3));
  read.tenant = text(at(m, 4));
  read.retry = (bits & 2) != 0;
  read.write = (bits & 4) != 0;
  read.memory_mb = number(at(m, 6));
  read.function = large(at(m, 7));
  if (at(m, 8).is_number()) read.load_hint = millis(at(m, 8));
  read.expires_in = millis(at(m, 9));
  read.lanes = whole(at(m, 10), 1);
  return read;
}

event::Answer read_answer(const json& m) {
  event::Answer read;
  read.id = needed_text(at(m, 1), "request id");
  const int remark = whole(at(m, 2));
  read.warmth = warmth(remark);
  read.crowd = remark >> 3;
  read.outcome = outcome(at(m, 3));
  read.over = flag(at(m, 4));
  read.elapsed = millis(at(m, 5));
  read.attempt = whole(at(m, 6));
  read.worker = text(at(m, 7));
  read.report = report(at(m, 8));
  return read;
}

json with(const char* name, std::initializer_list<json> values) {
  json row = json::array({name});
  for (const auto& value : values) row.push_back(value);
  return row;
}

struct Writer {
  json operator()(const action::Send& a) const {
    return with("Assign", {a.id, a.worker, a.time_out.count()});
  }
  json operator()(const action::Load& a) const { return with("Load", {a.worker, a.function, a.copies}); }
  json operator()(const action::Unload& a) const { return with("Unmount", {a.worker, a.function}); }
  json operator()(const action::Refuse& a) const {
    return with("OverloadReply", {a.id, a.retry_after.count()});
  }
  json operator()(const action::Fail& a) const { return with("EndFailed", {a.id}); }
  json operator()(const action::Cancel& a) const { return with("Recall", {a.id, a.attempt}); }
  json operator()(const action::Probe& a) const { return with("Touch", {a.worker}); }
  json operator()(const action::Tell& a) const {
    return with("Publish", {a.to ? json(*a.to) : json("*"), a.text});
  }
  json operator()(const action::SetTimer& a) const { return with("Timer", {a.after.count(), a.token}); }
  json operator()(const action::Watch& a) const { return with("Subscribe", {a.on}); }
  json operator()(const action::Log& a) const { return with("Record", {a.text}); }
};

}  // namespace

Settings read_settings(const json& env, std::uint64_t seed) {
  Settings out;
  out.seed = seed;
  out.zone = text(key(env, "Az"));
  out.rank = whole(key(env, "Rank"));
  out.routers = whole(key(env, "Balancers"), 1);
  out.tick = millis(key(env, "Tick"));
  for (const auto& row : key(env, "Classes")) out.classes.push_back(read_class(row));
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
  for (const auto& name : key(load, "Fields")) out.report_fields.push_back(field(name));
  return out;
}

json write_action(const Action& action) { return std::visit(Writer{}, action); }

void Host::take(Instance& instance, Millis now, const json& m, std::vector<Action>& out) {
  if (!m.is_array() || m.empty()) throw WireError("a message is no array with a name");
  const std::string& name = needed_text(m[0], "message name");
  if (name == "Catalog") {
    const double page = number(at(m, 1), -1);
    if (page < 0 || page >= static_cast<double>(page_count)) throw WireError("no such catalog page");
    std::vector<WorkerEntry> rows;
    for (const auto& row : at(m, 2)) rows.push_back(entry(row));
    pages_[static_cast<std::size_t>(page)] = std::move(rows);
    return;
  }
  if (name == "Init") {
    instance.policy = Policy();
    instance.live = true;
    instance.policy.handle(now, event::Start{read_settings(at(m, 2), large(at(m, 1)))}, out);
    return;
  }
  if (!instance.live) return;
  const auto give = [&](Event event) { instance.policy.handle(now, event, out); };
  if (name == "Discovery") {
    event::List list;
    list.kind = list_kind(whole(at(m, 2)));
    const double page = number(at(m, 3), 0);
    if (list.kind != ListKind::failed && page >= 0 && page < static_cast<double>(page_count)) {
      list.entries = pages_[static_cast<std::size_t>(page)];
    }
    give(list);
  } else if (name == "Order") {
    give(read_request(m));
  } else if (name == "Result") {
    give(read_answer(m));
  } else if (name == "Ring") {
    give(event::Timer{large(at(m, 1))});
  } else if (name == "BroughtUp") {
    give(
        event::Loaded{text(at(m, 1)), large(at(m, 2)), outcome(at(m, 3)), millis(at(m, 4)), whole(at(m, 5))});
  } else if (name == "Gone") {
    give(event::Left{text(at(m, 1))});
  } else if (name == "HeadReceived") {
    give(event::StreamBegan{text(at(m, 1)), whole(at(m, 2))});
  } else if (name == "Sampled") {
    give(event::Probed{text(at(m, 3)), outcome(at(m, 1)), millis(at(m, 2)), report(at(m, 4))});
  } else if (name == "Heard") {
    give(event::Peer{whole(at(m, 1)), text(at(m, 2))});
  } else if (name == "PowerOff") {
    give(event::Stop{});
    instance.live = false;
  }
}

std::string Host::reply(const std::string& line) {
  json batch;
  try {
    batch = json::parse(line);
  } catch (const json::exception&) { throw WireError("a line is no JSON"); }
  if (!batch.is_object()) throw WireError("a batch is no object");
  if (!key(batch, "Time").is_number()) throw WireError("a batch without Time");
  if (!key(batch, "n").is_number()) throw WireError("a batch without n");
  if (!key(batch, "routers").is_array()) throw WireError("a batch without routers");
  const Millis now = millis(key(batch, "Time"));
  json groups = json::array();
  std::vector<Action> actions;
  for (const auto& group : key(batch, "routers")) {
    const std::string& router = needed_text(key(group, "Router"), "Router");
    const json& inbox = key(group, "inbox");
    if (!inbox.is_array()) throw WireError("a router without inbox");
    actions.clear();
    for (const auto& message : inbox) take(instances_[router], now, message, actions);
    if (actions.empty()) continue;
    json commands = json::array();
    for (const auto& action : actions) commands.push_back(write_action(action));
    groups.push_back({{"Router", router}, {"cmds", std::move(commands)}});
  }
  return json{{"n", batch["n"]}, {"routers", std::move(groups)}}.dump(-1, ' ', false,
                                                                      json::error_handler_t::replace);
}

}  // namespace robinfold::simhost
