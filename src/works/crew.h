// Works on machines at one member: its part of the agreed log, what it tells the others, what it leads when
// it leads, and what the invoker's parts are told. What is decided stands in `board`, `order` and `lease`.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>

#include "app/app.h"
#include "group/member.h"
#include "works/board.h"
#include "works/lease.h"
#include "works/order.h"
#include "works/watch.h"

namespace lotusyard::works {

class Crew final : public Companion, private group::Member::Part {
 public:
  Crew(const Wiring& wiring, const group::Config& config);
  ~Crew() override;

  bool ready() const override;
  bool may_send(const std::string& host) override;
  void before_writes() override;
  void attempt_ended(const std::string& host, const core::Call& call, core::Outcome outcome) override;
  std::optional<console::Said> asked(const console::Request& request) override;

 private:
  struct Left {             // of a host that this member must not use
    Millis started{0};      // as listed when it was taken
    bool vanished = false;  // it has left the list since
  };
  Wiring wiring_;
  const group::Config config_;
  Board board_;
  Order order_;
  Lease lease_;
  Watch watch_;
  std::map<std::string, Left> left_;
  std::set<std::string> touched_;
  std::map<std::string, Beat> heard_;  // at the one that leads: what is not in the log yet
  net::Loop::TimerId beats_{}, turns_{}, lease_ends_{};
  bool built_ = false, leased_ = false, failed_ = false, in_flight_ = false;
  std::uint64_t led_term_ = 0, readying_term_ = 0;
  std::string told_view_, waits_;
  int untold_ = 0;
  Millis counted_at_{0}, flown_at_{0};
  double taken_ = 0, lost_ = 0;
  group::Member member_;  // last: it calls from its construction on

  Millis now() const { return wiring_.loop.now(); }
  const std::string& name() const { return config_.member; }
  void follow();
  void beat();
  void turn();
  bool lead();
  void propose(const Entry& entry);
  View view();
  void note(const std::string& text) const;
  void tell(const nlohmann::json& word);
  console::Said take_proposal(const std::string& wording);
  nlohmann::json show_works() const;
  nlohmann::json show_group() const;

  void applied(std::uint64_t index, const std::string& entry) override;
  std::string snapshot() override;
  bool restore(const std::string& snapshot) override;
  void told(const std::string& word) override;
  void failed(const std::string& why) override;
};

// For lotusyard_full: none where the file has no part `group`.
std::unique_ptr<Companion> make_crew(const Wiring& wiring, const nlohmann::json& file);

}  // namespace lotusyard::works
