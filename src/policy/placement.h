// Where the warm instances of a function are, and where they should be.
#pragma once

#include "policy/context.h"
#include "policy/function_table.h"
#include "policy/host_table.h"
#include "policy/records.h"

namespace lotusyard::policy {

// Each router sees a sliver of a function's calls. All hash it to the same few hosts by rendezvous hashing,
// so that the instances of one router serve the others; each uses them in an order of its own.
class Placement {
 public:
  Placement(const Context& context, FunctionTable& functions, HostTable& hosts)
      : context_(context), functions_(functions), hosts_(hosts) {}

  // True if an instance is believed warm: the belief lapses after the stated keep-alive.
  bool is_warm(const InstanceSet& instances) const;
  // True if the host answered lately that it has no instance.
  bool is_absent(const InstanceSet& instances) const {
    return context_.now() - instances.absent_at <= kAbsentFor;
  }
  // Brings Function::hosts up to date with the endpoint list and the function's demand.
  void assign_hosts(Function& function) const;
  // Drops beliefs that lapsed, loads that took too long, and empty records.
  void expire_instances(Function& function);

 private:
  const Context& context_;
  FunctionTable& functions_;
  HostTable& hosts_;
};

}  // namespace lotusyard::policy
