// Proposes certificates to a fleet of real processes; each is one entry of the agreed log.
#pragma once

#include "scale/process_fleet.h"

namespace lotusyard::scale {

constexpr double kChangesAtTarget = 0.43;  // a second

// Proposes at an even pace; with a pace of 0 nothing.
class Proposer {
 public:
  Proposer(ProcessFleet& fleet, const ProcessFleet::Member& at, double pace)
      : fleet_(fleet), at_(at), pace_(pace) {
    if (pace_ <= 0)
      return;
    const nlohmann::json regime = {{"t", "regime"}, {"id", "regime"}, {"regime", {{"name", "r"}}}};
    REQUIRE(fleet_.propose(at_, regime) == 202);
    next_ = fleet_.now() + 1 / pace_;
  }
  // Whether one was proposed.
  bool turn() {
    if (pace_ <= 0 || fleet_.now() < next_)
      return false;
    next_ += 1 / pace_;
    const std::string name = "c" + std::to_string(++count_);
    const nlohmann::json certificate = {
        {"name", name}, {"host", "h0"}, {"regime", "r"}, {"from_ms", 1}, {"until_ms", 4e12}};
    const int status = fleet_.propose(at_, {{"t", "certify"}, {"id", name}, {"certificate", certificate}});
    taken_ += status == 202;
    return true;
  }
  int taken() const { return taken_; }

 private:
  ProcessFleet& fleet_;
  const ProcessFleet::Member& at_;
  double pace_, next_ = 0;
  int count_ = 0, taken_ = 0;
};

}  // namespace lotusyard::scale
