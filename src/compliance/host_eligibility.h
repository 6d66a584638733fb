// Decides whether a host may serve a call of a tenant by the regimes and certificates in force.
#pragma once

#include <string>

#include "compliance/certificate.h"

namespace lotusyard::compliance {

class CertificateState;

// Whether a host may serve a call, and if not, why.
struct FilterResult {
  bool allowed = true;
  // Suffix of the counter that counts the rejection; null if allowed.
  const char* reason = nullptr;
  // The regime that forbids it, if one does.
  std::string regime;
};

// How far this member may rely on its copy of the state and on its clock.
struct EvaluationContext {
  // Whether this member holds its lease, so that its state is current. Without it no regulated call is
  // allowed.
  bool is_leased = false;
  // Unix time in milliseconds.
  Millis now{0};
  // Bound on the error of any clock. A certificate that may not be valid yet, or may have expired, is not
  // used.
  Millis clock_error{0};
};

FilterResult check_host(const CertificateState& state, const std::string& tenant, const HostLocation& host,
                        const EvaluationContext& context);

}  // namespace lotusyard::compliance
