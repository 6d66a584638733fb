// Tracks where the warm instances of a function are, and assigns the hosts where they should be.
#pragma once

#include "policy/context.h"
#include "policy/function_table.h"
#include "policy/host_table.h"
#include "policy/records.h"

namespace lotusyard::policy {

// Each invoker sees only a part of a function's calls. All invokers map it to the same few "agreed" hosts by
// rendezvous hashing, so that they share its instances; each uses these hosts in a different order.
class Placement {
 public:
  Placement(const Context& context, FunctionTable& functions, HostTable& hosts)
      : context_(context), functions_(functions), hosts_(hosts) {}

  // True if an instance is assumed to be warm, which expires after the hosts' idle time-out.
  bool is_warm(const InstanceSet& instances) const;
  // True if the host answered recently that it has no instance.
  bool is_absent(const InstanceSet& instances) const {
    return context_.now() - instances.absent_at <= kAbsenceLifetime;
  }
  // Updates Function::hosts after a change of the endpoint list or of the function's demand.
  void assign_hosts(Function& function) const;
  // Drops warm instances that expired, loads that timed out, and empty records.
  void expire_instances(Function& function);

 private:
  const Context& context_;
  FunctionTable& functions_;
  HostTable& hosts_;
};

}  // namespace lotusyard::policy
