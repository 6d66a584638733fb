// Who else is there: one member's part in the agreement that needs no leader and no majority. Each period one
// other is asked for a sign; one that gives none, to others neither, is suspected, can speak against that,
// and is dead if it does not. After SWIM and Lifeguard; docs/fleet-view.md says what was taken and what was
// left. No I/O: messages, the time and a seed come in, messages and changes go out.
#pragma once

#include <deque>
#include <random>
#include <string>
#include <vector>

#include "view/facts.h"
#include "view/gossip.h"
#include "view/member_table.h"
#include "view/message.h"
#include "view/pace.h"

namespace lotusyard::view {

class Swim {
 public:
  struct Outgoing {
    std::string address;
    Message message;
  };
  struct Counts {
    std::uint64_t refuted = 0, suspected = 0, died = 0, stalls = 0, refused = 0;
  };
  // `seed_addresses`: addresses at which others may be found.
  Swim(Peer self, std::vector<std::string> seed_addresses, Pace pace, std::uint64_t seed, Millis now);

  void tick(Millis now);
  Millis due() const;  // when `tick` wants to be called, at the latest
  void receive(Millis now, const Message& message);
  void serve(Millis now);  // this member is joining no more
  void leave(Millis now);  // and goes on purpose; nothing is to be ticked after that
  void see(const std::string& host, double host_life, bool usable);  // a fact of its own

  const Peer& self() const { return self_; }
  // Another process goes by this name, of a later life: this one holds its peace.
  bool usurped() const { return usurped_; }
  const MemberTable& member_table() const { return member_table_; }
  Facts& facts() { return facts_; }
  const Facts& facts() const { return facts_; }
  const Counts& counts() const { return counts_; }
  int doubts() const { return doubts_; }  // of itself

  std::vector<Outgoing> take_out() { return std::exchange(out_, {}); }
  std::vector<Peer> take_changes() { return std::exchange(changes_, {}); }

 private:
  struct Probe {
    std::string name;  // empty: none is under way
    std::uint64_t number = 0;
    bool answered = false, helped = false;
    std::size_t asked = 0, nacks = 0;
  };
  struct Errand {  // a probe made for another
    std::uint64_t theirs = 0, mine = 0;
    std::string address, about;
    Millis until{0};
  };
  Pace pace_;
  Peer self_;
  std::vector<std::string> seed_addresses_;
  std::mt19937_64 random_;
  MemberTable member_table_;
  Facts facts_;
  Gossip peers_told_, facts_told_;
  std::deque<std::string> turn_;  // whom to ask next
  Probe probe_;
  std::deque<Errand> errands_;
  std::uint64_t number_ = 0, stamp_ = 0;
  int periods_ = 0, doubts_ = 0;
  Millis ticked_{0}, direct_by_{0}, period_ends_{0}, heard_{0};
  bool usurped_ = false, gone_ = false;
  Counts counts_;
  std::vector<Outgoing> out_;
  std::vector<Peer> changes_;

  double stretch() const { return 1 + doubts_; }
  void doubt(int by);
  void take(const Peer& peer, Millis now);
  void take_said(Peer peer, Millis now);
  void take(const Fact& fact);
  void speak_up(std::uint64_t against, Millis now);
  void end_period(Millis now);
  void begin_period(Millis now);
  void help();
  void ask_for_all();
  std::string next_in_turn();
  std::vector<const Peer*> some(std::size_t most, const std::string& but);
  void send(const std::string& address, Message::Kind kind, std::uint64_t number, const std::string& about,
            const Peer* about_peer = nullptr);
  void answer(const Message& to, Millis now);
};

}  // namespace lotusyard::view
