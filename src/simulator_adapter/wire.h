// Translates between the simulator's JSON lines and the decision module's interface. No decision is made
// here.
#pragma once

#include <algorithm>
#include <array>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "config/settings.h"
#include "lotusyard/policy/policy.h"

namespace lotusyard::simulator_adapter {

using policy::Action;
using policy::Event;
using policy::HostEntry;
using policy::HostState;
using policy::ListKind;
using policy::Millis;
using policy::Outcome;
using policy::Policy;
using policy::Report;
using policy::Warmth;
namespace action = policy::action;
namespace event = policy::event;

struct WireError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Turns a batch of messages into a reply, with one Policy for each simulated invoker. Throws WireError.
class Adapter {
 public:
  std::string reply(const std::string& line);

 private:
  struct Instance {
    Policy policy;
    bool started = false;
  };
  static constexpr std::size_t kPageCount = 16;
  std::array<std::vector<HostEntry>, kPageCount> pages_;  // of endpoint lists
  std::map<std::string, Instance> instances_;

  nlohmann::json handle_inbox(const std::string& router, Millis now, const nlohmann::json& inbox);
  void handle_message(Instance& instance, Millis now, const nlohmann::json& message,
                      std::vector<Action>& actions);
  // Stores a page of the endpoint list; a later message refers to it by its number.
  void store_page(const nlohmann::json& message);
  event::EndpointListUpdate read_endpoint_list(const nlohmann::json& message) const;
  // Returns nothing for a message of an unknown name.
  std::optional<Event> read_event(const std::string& name, const nlohmann::json& message) const;
};

using lotusyard::config::read_settings;
nlohmann::json write_action(const Action& action);

}  // namespace lotusyard::simulator_adapter
