// Proposes certificates to a fleet of real processes; each one is an entry of the agreed log.
#pragma once

#include "scale/process_fleet.h"

namespace lotusyard::scale {

constexpr double kTargetChangesPerSecond = 0.43;

// Proposes at a constant rate; a rate of 0 proposes nothing.
class CertificateProposer {
 public:
  CertificateProposer(ProcessFleet& fleet, const ProcessFleet::Member& at, double rate)
      : fleet_(fleet), at_(at), rate_(rate) {
    if (rate_ <= 0)
      return;
    const nlohmann::json regime = {{"t", "regime"}, {"id", "regime"}, {"regime", {{"name", "r"}}}};
    REQUIRE(fleet_.propose(at_, regime) == 202);
    next_at_ = fleet_.now() + 1 / rate_;
  }
  // Proposes a certificate if one is due; returns whether it did.
  bool propose_if_due() {
    if (rate_ <= 0 || fleet_.now() < next_at_)
      return false;
    next_at_ += 1 / rate_;
    const std::string name = "c" + std::to_string(++count_);
    const nlohmann::json certificate = {
        {"name", name}, {"host", "h0"}, {"regime", "r"}, {"from_ms", 1}, {"until_ms", 4e12}};
    const int status = fleet_.propose(at_, {{"t", "certify"}, {"id", name}, {"certificate", certificate}});
    accepted_ += status == 202;
    return true;
  }
  int accepted() const { return accepted_; }

 private:
  ProcessFleet& fleet_;
  const ProcessFleet::Member& at_;
  double rate_, next_at_ = 0;
  int count_ = 0, accepted_ = 0;
};

}  // namespace lotusyard::scale
