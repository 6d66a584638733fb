// The decision module's interface: settings and events go in, actions come out. No decision is made in this
// header.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <variant>
#include <vector>

namespace lotusyard::policy {

using Millis = std::chrono::duration<double, std::milli>;  // a span, or a time on the caller's clock

enum class Semantics { repeatable, keyed, once };  // may it run again?
enum class KeyScope { all, zone, cell };           // workers that drop a repeated key
enum class ReportMode { none, answers, probe };    // how load reports arrive
enum class WorkerState { gone, draining, ready };
enum class ListKind { delta, cached, failed, full };
enum class Outcome { ok, error, full, timeout, connect_failed, reset, cancelled, moot, miss };
inline bool proves_never_ran(Outcome o) {  // as the wire states it
  return o == Outcome::full || o == Outcome::connect_failed || o == Outcome::moot || o == Outcome::miss;
}
enum class ReportField { inflight, queue, utilisation, latency_ms, rate, errors, pinned, loading, other };
enum class Warmth { untold, stood, began, waited, load_failed };  // what an answer says of the copy

// Times left at zero mean: not told, or no such limit.
struct ClassSettings {
  std::string name;
  Semantics semantics = Semantics::once;
  KeyScope scope = KeyScope::all;
  Millis key_window{0}, aim{0}, deadline{0};
  double aim_stretch = 0, worth = 1, late_worth = 0;
  bool stream = false;
  bool operator==(const ClassSettings& o) const {
    return std::tie(name, semantics, scope, key_window, aim, deadline, aim_stretch, worth, late_worth,
                    stream) == std::tie(o.name, o.semantics, o.scope, o.key_window, o.aim, o.deadline,
                                        o.aim_stretch, o.worth, o.late_worth, o.stream);
  }
};
struct TenantSettings {
  std::string name;
  double share = 0, quota_per_s = 0;
};
struct Settings {
  std::string zone;
  int rank = 0, routers = 1;
  double share = 0;  // this router's part of what all may send a cold worker; 0: as each of `routers`
  std::vector<ClassSettings> classes;
  std::vector<TenantSettings> tenants;
  std::map<std::string, double> kind_memory_mb;
  Millis tick{0}, answer_grace{0}, drain_grace{0}, cold_for{0}, cold_window{0}, ask_within{0};
  double cold_from = 0, cold_multiple = 0;
  Millis keep_alive{0}, order_timeout{0}, load_window{0};
  double load_floor = 0, load_ratio = 0;
  bool miss_is_answered = false, orders = false, tells_warm = false, tells_crowd = false;
  bool cancel = false, second_copies = false, probes = false, peers = false, ask_list = false;
  bool retry_after = false, worth_by_work = false;
  Millis max_retry_after{0}, connect_timeout{0};
  int max_attempts = 1;
  ReportMode reports = ReportMode::none;
  std::vector<ReportField> report_fields;
  double over_share_worth = 1, cross_zone_price = 0, origin_price = 0, probe_price = 0, idle_price = 0;
  std::uint64_t seed = 0;
};

using Report = std::optional<std::vector<double>>;

struct WorkerEntry {
  std::string worker, kind, zone;
  int cell = 0;
  double weight = 1;
  WorkerState state = WorkerState::ready;
  Millis started{0};
  bool put_back = false;  // by an operator's hand, who wants it used
};

namespace event {
struct Start {
  Settings settings;
};
struct Stop {};
// The settings have changed. Requests that are open keep the rules under which they came.
struct Retune {
  Settings settings;
};
struct List {
  ListKind kind = ListKind::full;
  std::vector<WorkerEntry> entries;
};
struct Request {
  std::string id, class_name, tenant;
  std::optional<double> cost_hint;
  bool retry = false, write = false;
  std::uint64_t function = 0;
  double memory_mb = 0;
  std::optional<Millis> load_hint;
  Millis expires_in{0};
  int lanes = 1;
};
struct StreamBegan {
  std::string id;
  int attempt = 0;
};
struct Answer {
  std::string id, worker;
  int attempt = 0;
  Outcome outcome = Outcome::error;
  Warmth warmth = Warmth::untold;
  int crowd = 0;
  bool over = false;
  Millis elapsed{0};
  Report report;
};
struct Left {
  std::string id;
};
struct Timer {
  std::uint64_t token = 0;
};
struct Probed {
  std::string worker;
  Outcome outcome = Outcome::ok;
  Millis elapsed{0};
  Report report;
};
struct Loaded {
  std::string worker;
  std::uint64_t function = 0;
  Outcome outcome = Outcome::ok;
  Millis elapsed{0};
  int copies = 0;
};
struct Peer {
  int from = 0;
  std::string text;
};
}  // namespace event
using Event =
    std::variant<event::Start, event::Stop, event::Retune, event::List, event::Request, event::StreamBegan,
                 event::Answer, event::Left, event::Timer, event::Probed, event::Loaded, event::Peer>;

namespace action {
struct Send {
  std::string id, worker;
  Millis time_out{0};
};
struct Load {
  std::string worker;
  std::uint64_t function = 0;
  int copies = 0;
};  // 0 copies: only ask
struct Unload {
  std::string worker;
  std::uint64_t function = 0;
};
struct Refuse {
  std::string id;
  Millis retry_after{0};
};
struct Fail {
  std::string id;
};
struct Cancel {
  std::string id;
  int attempt = 0;
};
struct Probe {
  std::string worker;
};
struct Tell {
  std::optional<int> to;
  std::string text;
};  // no addressee: every peer
struct SetTimer {
  Millis after{0};
  std::uint64_t token = 0;
};
struct Watch {
  bool on = true;
};
struct Log {
  std::string text;
};
}  // namespace action
using Action =
    std::variant<action::Send, action::Load, action::Unload, action::Refuse, action::Fail, action::Cancel,
                 action::Probe, action::Tell, action::SetTimer, action::Watch, action::Log>;

// Rules that stand outside the module: whether a call of the tenant for the function, or a copy for it, may
// be at the worker now. Asked wherever a worker is considered.
class HostFilter {
 public:
  virtual ~HostFilter() = default;
  virtual bool allows(const std::string& tenant, std::uint64_t function, const std::string& worker) = 0;
};

// The decisions of one router. Begin with a Start; it needs nothing but its own events.
class Policy {
 public:
  Policy();
  ~Policy();
  Policy(Policy&&) noexcept;
  Policy& operator=(Policy&&) noexcept;
  void set_host_filter(HostFilter* gate);  // outlives it; none: every worker may have everything
  void handle(Millis now, const Event& event, std::vector<Action>& out);

 private:
  class State;
  std::unique_ptr<State> state_;
};

}  // namespace lotusyard::policy
