// Regimes and certificates at one member: its part of the log, what it says of revocations, what it proposes
// when it leads, and what operators ask. What is decided stands in `book`.
#pragma once

#include "app/app.h"
#include "compliance/enforcer.h"
#include "group/member.h"
#include "works/coordinator.h"

namespace lotusyard::compliance {

class Officer final : public group::Part {
 public:
  using Note = std::function<void(const std::string& text)>;
  // The coordinator outlives it: its signs of life and its lease are what a member's knowledge goes by.
  Officer(const Wiring& wiring, const group::Config& config, works::Coordinator& coordinator, Note note);
  ~Officer() override { wiring_.loop.cancel(turns_); }
  void attach(group::Member& member);
  void update();  // the lease may have come or gone

  Enforcer& enforcer() { return enforcer_; }
  // Whether all that this member represents have settled past an index of the log; it speaks for itself alone
  // without one.
  using OthersSettled = std::function<bool(std::uint64_t index)>;
  void represent(OthersSettled others_settled) { others_settled_ = std::move(others_settled); }
  std::uint64_t changes() const { return changes_; }  // grows whenever the book may have changed
  std::optional<console::Said> asked(const console::Request& request);
  const Book& book() const { return book_; }

  const char* kind() const override { return "compliance"; }
  void applied(std::uint64_t index, const std::string& entry) override;
  std::string snapshot() override { return book_.snapshot().dump(); }
  bool restore(const std::string& snapshot) override;
  void told(const std::string& word) override;
  void failed(const std::string&) override { update(); }

 private:
  Wiring wiring_;
  const group::Config config_;
  works::Coordinator& coordinator_;
  Note note_;
  group::Member* member_ = nullptr;
  Book book_;
  Enforcer enforcer_;
  OthersSettled others_settled_;
  std::uint64_t changes_ = 0;
  net::Loop::TimerId turns_{};
  std::map<std::string, Millis> stopped_;  // by revoked certificate: since when it is not used here
  Millis proposed_{0};

  void turn();
  void lead();
  std::string waits_for(const Certificate& certificate) const;  // members; empty: for none
  nlohmann::json shown() const;
};

}  // namespace lotusyard::compliance
