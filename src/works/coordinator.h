// Works on machines at one member: its part of the agreed log, what it tells the others, what it leads when
// it leads, and what the invoker's parts are told. Its signs of life carry the lease that other parts go by,
// too. What is decided stands in `board`, `order` and `leaving`.
#pragma once

#include <map>
#include <string>

#include "app/app.h"
#include "group/member.h"
#include "works/board.h"
#include "works/host_use.h"
#include "works/order.h"

namespace lotusyard::works {

class Coordinator final : public group::Part {
 public:
  using Note = std::function<void(const std::string& text)>;
  // `lease` outlives it.
  Coordinator(const Wiring& wiring, const group::Config& config, group::Lease& lease, Note note);
  ~Coordinator() override;
  void attach(group::Member& member);  // once, before the loop's next turn

  bool ready() const { return !config_.serves || (lease_.ever() && !failed_); }
  bool may_send(const std::string& host);
  void before_writes();
  void attempt_ended(const std::string& host, const core::Call& call, core::Outcome outcome);
  std::optional<console::Said> asked(const console::Request& request);
  const Board& board() const { return board_; }
  bool sees_down(const std::string& host) const { return host_use_.sees_down(host); }
  bool leased() const { return !failed_ && lease_.holds(now()); }
  bool has_failed() const { return failed_; }
  // What this member says for others that it represents, beside what it says for itself, each up to an index
  // of the log: what all that hold a lease have applied, what all have applied that go on with a lease or
  // without, and what nothing that is under way at any of them goes against.
  struct Represented {
    std::uint64_t applied = 0, followed = 0, settled = 0;
  };
  using Represent = std::function<Represented()>;
  using MergeViews = std::function<View(View own)>;
  void represent(Represent represent, MergeViews merge_views) {
    represent_ = std::move(represent);
    merge_views_ = std::move(merge_views);
  }
  // Grows whenever the board may have changed in more than signs of life.
  std::uint64_t changes() const { return changes_; }
  // Told whenever an entry has been applied, or the lease has come or gone.
  void when_changed(std::function<void()> changed) { changed_ = std::move(changed); }
  // The one member that leads, once all that was agreed before it has been applied here.
  bool leads();

  const char* kind() const override { return "works"; }
  void applied(std::uint64_t index, const std::string& entry) override;
  std::string snapshot() override;
  bool restore(const std::string& snapshot) override;
  void told(const std::string& word) override;
  void failed(const std::string& why) override;

 private:
  Wiring wiring_;
  const group::Config config_;
  group::Lease& lease_;
  Note note_;
  group::Member* member_ = nullptr;
  Board board_;
  Order order_;
  HostUse host_use_;
  Represent represent_;
  MergeViews merge_views_;
  std::uint64_t changes_ = 0;
  std::map<std::string, Beat> heard_;  // at the one that leads: what is not in the log yet
  std::function<void()> changed_;
  net::Loop::TimerId beats_{}, turns_{}, lease_ends_{}, lives_{};
  bool failed_ = false, in_flight_ = false, has_joined_ = false;
  std::uint64_t led_term_ = 0, readying_term_ = 0;
  std::string told_view_, waits_;
  int untold_ = 0;
  Millis flown_at_{0};

  Millis now() const { return wiring_.loop.now(); }
  const std::string& name() const { return config_.member; }
  void follow();
  void beat();
  void turn();
  void propose(const Entry& entry);
  std::set<std::string> drained(const Represented* others) const;
  void tell(const nlohmann::json& word);
  void told_beat(Beat&& beat);
  void begin_anew();
  void pass_earlier_lives();
  void take_new_life();
  void note_entry(const Entry& entry, const Board::Outcome& outcome);
};

}  // namespace lotusyard::works
