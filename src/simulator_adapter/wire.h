// Translation between the bench's JSON lines and the decision module's interface. No decision lives here.
#pragma once

#include <algorithm>
#include <array>
#include <map>
#include <nlohmann/json.hpp>
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

// Turns batches into replies, with one Policy for each instance.
class Host {
 public:
  std::string reply(const std::string& line);

 private:
  struct Instance {
    Policy policy;
    bool live = false;
  };
  static constexpr std::size_t page_count = 16;
  std::array<std::vector<HostEntry>, page_count> pages_;
  std::map<std::string, Instance> instances_;

  void take(Instance& instance, Millis now, const nlohmann::json& message, std::vector<Action>& out);
};

using lotusyard::config::read_settings;
nlohmann::json write_action(const Action& action);

}  // namespace lotusyard::simulator_adapter
