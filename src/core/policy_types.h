// The types of the policy that the core passes on, and lookups in its settings.
#pragma once

#include <functional>
#include <string>

#include "lotusyard/policy/policy.h"

namespace lotusyard::core {

using policy::HostEntry;
using policy::HostState;
using policy::ListKind;
using policy::Millis;
using policy::Outcome;
using policy::Report;
using policy::Settings;

// Returns the current time; monotonic.
using Clock = std::function<Millis()>;

// The settings of the class, or null if the settings have no class of that name. The result points into
// `settings`.
inline const policy::ClassSettings* class_named(const Settings& settings, const std::string& name) {
  for (const auto& call_class : settings.classes) {
    if (call_class.name == name)
      return &call_class;
  }
  return nullptr;
}

// The longest deadline of any class; 0 if there are no classes.
inline Millis longest_deadline(const Settings& settings) {
  Millis longest{0};
  for (const auto& call_class : settings.classes) {
    if (call_class.deadline > longest)
      longest = call_class.deadline;
  }
  return longest;
}

}  // namespace lotusyard::core
