// Hosts, according to the endpoint lists.
#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "policy/class_table.h"
#include "policy/context.h"
#include "policy/function_table.h"
#include "policy/records.h"

namespace lotusyard::policy {

// Owns hosts by index. An index stays valid while a call is in flight there; references to hosts stay valid
// until the next list.
class HostTable {
 public:
  HostTable(const Context& context, const ClassTable& classes, FunctionTable& functions)
      : context_(context), classes_(classes), functions_(functions) {}

  Host& at(int index) { return hosts_[static_cast<std::size_t>(index)]; }
  const Host& at(int index) const { return hosts_[static_cast<std::size_t>(index)]; }
  Host& host_of(const InstanceSet& instances) { return at(instances.host); }
  // The host, or null.
  Host* find(const std::string& id);
  int index_of(const Host& host) const { return static_cast<int>(&host - hosts_.data()); }
  // Counts lists that were applied.
  int list_version() const { return list_version_; }

  // All entries, including those of removed hosts.
  auto begin() { return hosts_.begin(); }
  auto end() { return hosts_.end(); }
  auto begin() const { return hosts_.begin(); }
  auto end() const { return hosts_.end(); }
  bool empty() const { return hosts_.empty(); }

  // Applies a list or a delta. Its kind must not be ListKind::failed.
  void apply(const event::EndpointListUpdate& list);
  // Follows a change of ClassTable: resets the health of the `changed` classes.
  void apply_classes(const std::vector<int>& changed);
  // Drops hosts that were removed a while ago. Their ids never return, so without this each deployment of the
  // fleet would leave some behind.
  void prune();

 private:
  int index_for(const std::string& id);
  void apply_entry(int index, const HostEntry& entry);

  const Context& context_;
  const ClassTable& classes_;
  FunctionTable& functions_;
  std::vector<Host> hosts_;
  std::unordered_map<std::string, int> index_;
  std::vector<int> free_;  // indices of hosts that were dropped
  int list_version_ = 0;
};

}  // namespace lotusyard::policy
