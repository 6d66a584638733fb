// What the members of a group agree upon about works on machines, one entry at a time, and its one wording
// (JSON) in the log and on the links.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "robinfold/policy.h"

namespace lotusyard::works {

using robinfold::Millis;

// A host as a work names it: where it stands and of what kind it is decide which bounds it counts for.
struct HostKey {
  std::string id, zone, kind;
};

// How many hosts may be out at once, over all works together. 0: no bound of that sort.
struct Bounds {
  int out = 1, zone = 0, kind = 0;
  double usable = 0.5;   // least share of all listed hosts that stays usable, as every member sees them
  Millis away{600000};   // time allowed out; one that takes longer holds up the work and is named
  Millis pause{0};       // from one host's return to the next host's leaving
  bool answers = false;  // a host that starts anew while it is out is back without being told so
};

struct Work {
  enum class State { running, paused, done, cancelled };
  std::string id;
  std::vector<HostKey> hosts;
  Bounds bounds;
  State state = State::running;
};

// What one member saw of the hosts, as it was put into the log.
struct View {
  std::map<std::string, double>
      cost;                      // by host: worth a second that it serves, more where copies stand alone
  std::set<std::string> down;    // listed, not usable, and not out for a work
  std::set<std::string> reborn;  // out for a work, and started anew meanwhile
  std::set<std::string> served;  // back from a work, and has answered a call since
  double asked = 0, lost = 0;    // calls a second taken, and those of them that were not served
  int listed = 0;                // hosts
};

// One member's sign of life. `stamp` is its own clock's; `has` the index up to which it follows the log.
struct Beat {
  std::string member;
  std::uint64_t life = 0;
  double stamp = 0;
  std::uint64_t has = 0;
  std::set<std::string> drained;  // hosts that take no call of this member's any more, and hold none
  std::optional<View> view = std::nullopt;  // absent where it is as before
  // Up to where also those have followed that it represents and that may go on without a lease; absent:
  // `has`.
  std::optional<std::uint64_t> followed = std::nullopt;
};

struct Entry {
  enum class Kind {
    beats,     // signs of life, as the leader gathered them
    join,      // a member begins a new life
    leave,     // an operator says that a member is gone for good
    add,       // a work
    alter,     // a work is paused, resumed, called off
    bounds,    // a work's bounds change
    name,      // these hosts may be next: a member without its lease does not use them
    take,      // no member uses this host from now on
    touch,     // the operators may touch it
    returned,  // it is in use again, cold
    back,      // it has served: it counts as back
    late,      // its time is up
    ask        // changes nothing: who asked knows that a majority stands behind what it reads
  };
  Kind kind = Kind::ask;
  std::string proposal;  // an operator's, by which its outcome can be asked for
  std::string work, host, member, reason;
  std::uint64_t life = 0, round = 0;  // round: the index at which the host was named or taken
  bool serves = true;
  Work::State state = Work::State::running;
  std::vector<Beat> beats;
  std::vector<std::string> hosts;
  std::optional<Work> added;
  std::optional<Bounds> bounds;
};

constexpr std::size_t longest_entry = 256 * 1024;  // bytes of its wording

std::string worded(const Entry& entry);
std::optional<Entry> read_entry(const std::string& text);  // nothing: it is none that this version knows
nlohmann::json worded_work(const Work& work);
// Throws std::invalid_argument naming the key.
Work read_work(const nlohmann::json& from);
Bounds read_bounds(const nlohmann::json& from);
const char* name_of(Work::State state);
const char* name_of(Entry::Kind kind);
nlohmann::json worded_beat(const Beat& beat);
std::optional<Beat> read_beat(const nlohmann::json& from);

}  // namespace lotusyard::works
