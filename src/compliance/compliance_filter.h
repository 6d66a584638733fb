// Enforces the compliance state in one process: which hosts the policy may consider for a call, and a final
// check before anything is written to a host.
#pragma once

#include <functional>
#include <string>
#include <unordered_map>

#include "app/app.h"
#include "compliance/certificate_state.h"

namespace lotusyard::compliance {

class ComplianceFilter {
 public:
  using LogSink = std::function<void(const std::string& text)>;
  // Whether this process holds its lease, so that the state is current.
  using IsLeased = std::function<bool()>;

  // Keeps references to the services and to the state; both must outlive the filter.
  ComplianceFilter(const InvokerServices& services, const CertificateState& state, IsLeased is_leased,
                   LogSink log);

  // To be called whenever the lease may have been gained or lost. On loss, requests to certified hosts that
  // have not been written yet are aborted.
  void update();

  // Whether the host may serve a call of the tenant now.
  FilterResult check(const std::string& tenant, const std::string& host) const;

  // Whether the policy may consider the host for a call of the tenant. Records the tenant as the last one
  // that used the function, for the check of later loads of the function.
  bool allows_host(const std::string& tenant, std::uint64_t function, const std::string& host);

  // Final check before a write to the host. `call` is null for a load of the function; the function is 0 if
  // the write concerns neither. Rejections are counted and logged.
  bool may_send(const std::string& host, const core::Call* call, std::uint64_t function) const;

  // Counts and logs a call that was never sent, if no listed host was allowed to serve it.
  void on_rejected(const core::Call& call) const;

 private:
  static constexpr std::size_t kMaxFunctions = 8192;

  InvokerServices services_;
  const CertificateState& state_;
  IsLeased is_leased_;
  LogSink log_;
  bool was_leased_ = false;
  // The tenant that used a function last, by function.
  std::unordered_map<std::uint64_t, std::string> last_tenant_;

  HostLocation locate(const std::string& host) const;
  bool check_before_write(const std::string& tenant, const std::string& host) const;
};

}  // namespace lotusyard::compliance
