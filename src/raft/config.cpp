#include "raft/config.h"

#include <algorithm>

#include "config/config.h"
#include "config/json_read.h"
#include "net/socket.h"

namespace lotusyard::raft {
namespace {

using nlohmann::json;

[[noreturn]] void fault(const std::string& name, const std::string& what) {
  throw config::ConfigError("configuration: group." + name + ": " + what);
}

std::string text(const json& from, const char* name, const std::string& path, const std::string* otherwise) {
  const json& value = config::key(from, name);
  if (value.is_null() && otherwise != nullptr) return *otherwise;
  if (!value.is_string() || value.get_ref<const std::string&>().empty()) fault(path, "a text is needed");
  const std::string out = value.get<std::string>();
  if (out.size() > 255) fault(path, "at most 255 bytes");
  return out;
}

std::string member_name(const json& from, const char* name, const std::string& path,
                        const std::string* otherwise) {
  const std::string out = text(from, name, path, otherwise);
  const auto plain = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
           c == '_' || c == '.';
  };
  if (out.size() > 64 || !std::all_of(out.begin(), out.end(), plain))
    fault(path, "at most 64 letters, digits, '-', '_' and '.'");
  return out;
}

std::string address(const json& from, const char* name, const std::string& path,
                    const std::string* otherwise) {
  const std::string out = text(from, name, path, otherwise);
  if (!net::valid_address(out)) fault(path, "no numeric address with a port: '" + out + "'");
  return out;
}

double number(const json& from, const char* name, double missing, double least, double most) {
  const json& value = config::key(from, name);
  if (value.is_null()) return missing;
  if (!value.is_number() || !(value.get<double>() >= least && value.get<double>() <= most))
    fault(name, "must lie between " + json(least).dump() + " and " + json(most).dump());
  return value.get<double>();
}

bool flag(const json& from, const char* name, const std::string& path, bool missing) {
  const json& value = config::key(from, name);
  if (!value.is_null() && !value.is_boolean()) fault(path, "true or false is needed");
  return value.is_null() ? missing : value.get<bool>();
}

}  // namespace

std::optional<Config> parse_config(const json& file, const std::string& name, policy::Millis last_call) {
  const json& from = config::key(file, "group");
  if (from.is_null()) return std::nullopt;
  if (!from.is_object()) throw config::ConfigError("configuration: group: an object is needed");
  static const char* const known[] = {"cluster",  "member", "store",       "listen", "address", "members",
                                      "lease_ms", "drift",  "election_ms", "serves", "view"};
  for (const auto& [key, value] : from.items()) {
    const auto same = [&key = key](const char* k) { return key == k; };
    if (std::none_of(std::begin(known), std::end(known), same)) fault(key, "no such key");
  }
  Config out;
  out.cluster = text(from, "cluster", "cluster", nullptr);
  out.member = member_name(from, "member", "member", &name);
  out.store = text(from, "store", "store", nullptr);
  out.listen = address(from, "listen", "listen", nullptr);
  const json& members = config::key(from, "members");
  if (!members.is_array() || members.empty()) fault("members", "at least one is needed");
  int votes = 0;
  std::string mine = out.listen;
  for (std::size_t i = 0; i < members.size(); ++i) {
    const std::string path = "members[" + std::to_string(i) + "]";
    PeerAddress peer;
    peer.name = member_name(members[i], "name", path + ".name", nullptr);
    peer.address = address(members[i], "address", path + ".address", nullptr);
    peer.votes = flag(members[i], "votes", path + ".votes", true);
    for (const auto& other : out.members) {
      if (other.name == peer.name) fault(path + ".name", peer.name + " stands twice");
      if (other.address == peer.address) fault(path + ".address", peer.address + " stands twice");
    }
    votes += peer.votes;
    if (peer.name == out.member) mine = peer.address;
    out.members.push_back(std::move(peer));
  }
  if (votes % 2 == 0) fault("members", "an odd number of them must vote, so that a half is no majority");
  if (votes > 7) fault("members", "at most 7 may vote");
  out.address = address(from, "address", "address", &mine);
  out.terms.lease = policy::Millis(number(from, "lease_ms", 3000, 200, 600000));
  out.terms.clock_drift = number(from, "drift", out.terms.clock_drift, 0, 0.2);
  out.terms.max_attempt_time = last_call;
  out.election = policy::Millis(number(from, "election_ms", 1000, 50, 60000));
  if (out.election > out.terms.lease)
    fault("election_ms", "longer than lease_ms: no lease would outlive a leader");
  out.serves = flag(from, "serves", "serves", true);
  const json& view = config::key(from, "view");
  if (view.is_null()) return out;
  if (!view.is_object()) fault("view", "an object is needed");
  for (const auto& [key, value] : view.items()) {
    if (key != "period_ms") fault("view." + key, "no such key");
  }
  const json& period = config::key(view, "period_ms");
  if (!period.is_null() &&
      !(period.is_number() && period.get<double>() >= 50 && period.get<double>() <= 60000))
    fault("view.period_ms", "must lie between 50 and 60000");
  out.view = policy::Millis(config::number(period, 500));
  return out;
}

}  // namespace lotusyard::raft
