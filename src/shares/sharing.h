// The agreed parts of one member: its part of the log, what it proposes when it leads, and what the module is
// told.
#pragma once

#include "app/app.h"
#include "group/member.h"
#include "shares/epochs.h"
#include "works/coordinator.h"

namespace lotusyard::shares {

class Sharing final : public group::Part {
 public:
  using Note = std::function<void(const std::string& text)>;
  // The coordinator outlives it: its signs of life and its lease are what parts go by.
  Sharing(const Wiring& wiring, const group::Config& config, works::Coordinator& coordinator, Note note);
  ~Sharing() override { wiring_.loop.cancel(turns_); }
  void attach(group::Member& member);
  void update(
      std::size_t seen);  // whatever a part hangs on may have changed; `seen`: members that the view holds
  double part() const { return part_; }
  const Epochs& epochs() const { return epochs_; }

  const char* kind() const override { return "shares"; }
  void applied(std::uint64_t index, const std::string& entry) override;
  std::string snapshot() override { return epochs_.snapshot().dump(); }
  bool restore(const std::string& snapshot) override;
  void told(const std::string&) override {
    wiring_.counters.add("shares.malformed");
  }  // nobody tells anything
  void failed(const std::string&) override { update(seen_); }

 private:
  Wiring wiring_;
  const group::Config config_;
  works::Coordinator& coordinator_;
  Note note_;
  group::Member* member_ = nullptr;
  Epochs epochs_;
  net::Loop::TimerId turns_{};
  Millis parted_{0}, proposed_{0};
  std::size_t seen_ = 0;
  double part_ = -1;

  void turn();
};

}  // namespace lotusyard::shares
