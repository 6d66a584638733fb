// Outlier ejection: hosts that fail or stop answering get no calls for a while.
#pragma once

#include "policy/class_table.h"
#include "policy/context.h"
#include "policy/function_table.h"
#include "policy/records.h"

namespace lotusyard::policy {

// Decides which hosts are outliers, for all classes or for one. After an ejection a host is on probation: it
// gets one call at a time until one succeeds; a failure ejects it for twice as long.
class OutlierDetector {
 public:
  OutlierDetector(const Context& context, ClassTable& classes, const FunctionTable& functions)
      : context_(context), classes_(classes), functions_(functions) {}

  // True if calls may go to the host: it is ready, and neither ejected, silent nor suspect.
  bool is_usable(const Host& host) const;
  // True if the host is not ejected for this class.
  bool serves(const Host& host, int class_index) const;
  // True if the host has answered none of this invoker's calls for too long. It would otherwise seem idle.
  bool is_silent(const Host& host) const;
  // How long to wait for the answer to a call that usually takes `run_time` milliseconds.
  static Millis answer_timeout(double run_time);

  // Records how a call of a class ended. `immediate`: it failed well before its usual run time.
  void record_success(Host& host, int class_index);
  void record_failure(Host& host, int class_index, bool immediate) {
    record_result(host, class_index, true, immediate);
  }
  // Ejects the host, unless it is ejected already.
  void eject(Host& host) const { eject(host.health); }

 private:
  void record_result(Host& host, int class_index, bool failed, bool immediate);
  bool admits_call(const Host& host, const Health& health) const;
  void eject(Health& health) const;

  const Context& context_;
  ClassTable& classes_;
  const FunctionTable& functions_;
};

}  // namespace lotusyard::policy
