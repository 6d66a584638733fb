#include "raft/config.h"

#include <algorithm>

#include "config/config.h"
#include "config/json_read.h"
#include "net/socket.h"

namespace lotusyard::raft {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxTextBytes = 255;
constexpr std::size_t kMaxNameBytes = 64;
constexpr int kMaxVoters = 7;

// A number that a setting may take, in milliseconds unless it is a ratio.
struct Range {
  double least;
  double most;
  bool contains(double value) const { return value >= least && value <= most; }
};
constexpr Range kLeaseRange{200, 600000};
constexpr Range kClockDriftRange{0, 0.2};
constexpr Range kElectionTimeoutRange{50, 60000};
constexpr Range kGossipPeriodRange{50, 60000};
constexpr double kDefaultLease = 3000;
constexpr double kDefaultElectionTimeout = 1000;
constexpr double kDefaultGossipPeriod = 500;

constexpr const char* kKnownKeys[] = {"cluster",  "member", "store",       "listen", "address", "members",
                                      "lease_ms", "drift",  "election_ms", "serves", "view"};

[[noreturn]] void reject(const std::string& key, const std::string& reason) {
  throw config::ConfigError("configuration: group." + key + ": " + reason);
}

// The readers below read the value of `key` in `object`; `path` names it in errors. A null `fallback` means
// that the key is required.
std::string read_text(const json& object, const char* key, const std::string& path,
                      const std::string* fallback) {
  const json& value = config::key(object, key);
  if (value.is_null() && fallback != nullptr) {
    return *fallback;
  }
  if (!value.is_string() || value.get_ref<const std::string&>().empty()) {
    reject(path, "a text is needed");
  }
  std::string out = value.get<std::string>();
  if (out.size() > kMaxTextBytes) {
    reject(path, "at most 255 bytes");
  }
  return out;
}

bool is_name_character(char c) {
  const bool is_letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
  const bool is_digit = c >= '0' && c <= '9';
  const bool is_separator = c == '-' || c == '_' || c == '.';
  return is_letter || is_digit || is_separator;
}

std::string read_member_name(const json& object, const char* key, const std::string& path,
                             const std::string* fallback) {
  std::string out = read_text(object, key, path, fallback);
  if (out.size() > kMaxNameBytes || !std::all_of(out.begin(), out.end(), is_name_character)) {
    reject(path, "at most 64 letters, digits, '-', '_' and '.'");
  }
  return out;
}

std::string read_address(const json& object, const char* key, const std::string& path,
                         const std::string* fallback) {
  std::string out = read_text(object, key, path, fallback);
  if (!net::valid_address(out)) {
    reject(path, "no numeric address with a port: '" + out + "'");
  }
  return out;
}

double read_number(const json& object, const char* key, double fallback, const Range& range) {
  const json& value = config::key(object, key);
  if (value.is_null()) {
    return fallback;
  }
  if (!value.is_number() || !range.contains(value.get<double>())) {
    reject(key, "must lie between " + json(range.least).dump() + " and " + json(range.most).dump());
  }
  return value.get<double>();
}

bool read_flag(const json& object, const char* key, const std::string& path, bool fallback) {
  const json& value = config::key(object, key);
  if (!value.is_null() && !value.is_boolean()) {
    reject(path, "true or false is needed");
  }
  return value.is_null() ? fallback : value.get<bool>();
}

void check_keys(const json& group) {
  for (const auto& item : group.items()) {
    const auto is_same = [&](const char* known) { return item.key() == known; };
    if (std::none_of(std::begin(kKnownKeys), std::end(kKnownKeys), is_same)) {
      reject(item.key(), "no such key");
    }
  }
}

PeerAddress read_peer(const json& object, const std::string& path) {
  PeerAddress out;
  out.name = read_member_name(object, "name", path + ".name", nullptr);
  out.address = read_address(object, "address", path + ".address", nullptr);
  out.votes = read_flag(object, "votes", path + ".votes", true);
  return out;
}

std::vector<PeerAddress> read_members(const json& group) {
  const json& members = config::key(group, "members");
  if (!members.is_array() || members.empty()) {
    reject("members", "at least one is needed");
  }
  std::vector<PeerAddress> out;
  for (const json& member : members) {
    const std::string path = "members[" + std::to_string(out.size()) + "]";
    PeerAddress peer = read_peer(member, path);
    for (const auto& other : out) {
      if (other.name == peer.name) {
        reject(path + ".name", peer.name + " is listed twice");
      }
      if (other.address == peer.address) {
        reject(path + ".address", peer.address + " is listed twice");
      }
    }
    out.push_back(std::move(peer));
  }
  const auto voters =
      std::count_if(out.begin(), out.end(), [](const PeerAddress& member) { return member.votes; });
  if (voters % 2 == 0) {
    reject("members", "an odd number of them must vote, so that a half is no majority");
  }
  if (voters > kMaxVoters) {
    reject("members", "at most 7 may vote");
  }
  return out;
}

// The address at which others reach this member, unless the settings specify another.
std::string default_address(const Config& config) {
  for (const auto& member : config.members) {
    if (member.name == config.member) {
      return member.address;
    }
  }
  return config.listen;
}

std::optional<policy::Millis> read_gossip_period(const json& group) {
  const json& view = config::key(group, "view");
  if (view.is_null()) {
    return std::nullopt;
  }
  if (!view.is_object()) {
    reject("view", "an object is needed");
  }
  for (const auto& item : view.items()) {
    if (item.key() != "period_ms") {
      reject("view." + item.key(), "no such key");
    }
  }
  const json& period = config::key(view, "period_ms");
  const bool valid = period.is_number() && kGossipPeriodRange.contains(period.get<double>());
  if (!period.is_null() && !valid) {
    reject("view.period_ms", "must lie between 50 and 60000");
  }
  return policy::Millis(config::number(period, kDefaultGossipPeriod));
}

}  // namespace

std::optional<Config> parse_config(const json& file, const std::string& name, policy::Millis last_call) {
  const json& group = config::key(file, "group");
  if (group.is_null()) {
    return std::nullopt;
  }
  if (!group.is_object()) {
    throw config::ConfigError("configuration: group: an object is needed");
  }
  check_keys(group);
  Config out;
  out.cluster = read_text(group, "cluster", "cluster", nullptr);
  out.member = read_member_name(group, "member", "member", &name);
  out.store = read_text(group, "store", "store", nullptr);
  out.listen = read_address(group, "listen", "listen", nullptr);
  out.members = read_members(group);
  const std::string reachable_at = default_address(out);
  out.address = read_address(group, "address", "address", &reachable_at);
  out.terms.lease = policy::Millis(read_number(group, "lease_ms", kDefaultLease, kLeaseRange));
  out.terms.clock_drift = read_number(group, "drift", out.terms.clock_drift, kClockDriftRange);
  out.terms.max_attempt_time = last_call;
  out.election_timeout =
      policy::Millis(read_number(group, "election_ms", kDefaultElectionTimeout, kElectionTimeoutRange));
  if (out.election_timeout > out.terms.lease) {
    reject("election_ms", "longer than lease_ms: no lease would outlive a leader");
  }
  out.serves = read_flag(group, "serves", "serves", true);
  out.view = read_gossip_period(group);
  return out;
}

}  // namespace lotusyard::raft
