// Holds one process to the book of regimes and certificates: which hosts the module may consider for a call,
// and the last check before anything goes out.
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
  using IsLeased = std::function<bool()>;  // whether this process's lease holds: the book is current
  // The book outlives it.
  ComplianceFilter(const InvokerServices& wiring, const CertificateState& book, IsLeased knows, LogSink note);

  // To be called whenever the lease may have come or gone.
  void update();
  FilterResult check(const std::string& tenant, const std::string& host) const;
  // Whether the module may consider the host for a call of this tenant. Remembers who asked for the function.
  bool allows_host(const std::string& tenant, std::uint64_t function, const std::string& host);
  // The last check: a call, a load of the function, or what names neither. A refusal is counted.
  bool may_send(const std::string& host, const core::Call* call, std::uint64_t function) const;
  // A call never went out: counted and noted if these rules are the reason.
  void on_rejected(const core::Call& call) const;

 private:
  static constexpr std::size_t max_functions = 8192;
  InvokerServices services_;
  const CertificateState& state_;
  IsLeased is_leased_;
  LogSink log_;
  bool was_leased_ = false;
  std::unordered_map<std::uint64_t, std::string> tenant_of_;  // by function: who asked for it last

  bool check_before_write(const std::string& tenant, const std::string& host) const;
};

}  // namespace lotusyard::compliance
