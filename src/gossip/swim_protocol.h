// Who else is there: one member's part in the agreement that needs no leader and no majority. Each period one
// other is asked for a sign; one that gives none, to others neither, is suspected, can speak against that,
// and is dead if it does not. After SWIM and Lifeguard; docs/fleet-view.md says what was taken and what was
// left. No I/O: messages, the time and a seed come in, messages and changes go out.
#pragma once

#include <deque>
#include <random>
#include <string>
#include <vector>

#include "gossip/dissemination_queue.h"
#include "gossip/gossip_timing.h"
#include "gossip/member_metadata.h"
#include "gossip/member_table.h"
#include "gossip/message.h"

namespace lotusyard::gossip {

class SwimProtocol {
 public:
  struct OutgoingMessage {
    std::string address;
    Message message;
  };
  struct Counts {
    std::uint64_t refuted = 0, suspected = 0, died = 0, stalls = 0, refused = 0;
  };
  // `seed_addresses`: addresses at which others may be found.
  SwimProtocol(MemberRecord self, std::vector<std::string> seed_addresses, GossipTiming pace,
               std::uint64_t seed, Millis now);

  void tick(Millis now);
  Millis next_deadline() const;  // when `tick` wants to be called, at the latest
  void receive(Millis now, const Message& message);
  void serve(Millis now);  // this member is joining no more
  void leave(Millis now);  // and goes on purpose; nothing is to be ticked after that
  void observe(const std::string& host, double host_life, bool usable);  // a fact of its own

  const MemberRecord& self() const { return self_; }
  // Another process goes by this name, of a later life: this one holds its peace.
  bool is_superseded() const { return usurped_; }
  const MemberTable& member_table() const { return member_table_; }
  MemberMetadata& metadata() { return facts_; }
  const MemberMetadata& metadata() const { return facts_; }
  const Counts& counts() const { return counts_; }
  int health_multiplier() const { return doubts_; }  // of itself

  std::vector<OutgoingMessage> take_outgoing() { return std::exchange(out_, {}); }
  std::vector<MemberRecord> take_changes() { return std::exchange(changes_, {}); }

 private:
  struct Probe {
    std::string name;  // empty: none is under way
    std::uint64_t number = 0;
    bool answered = false, helped = false;
    std::size_t asked = 0, nacks = 0;
  };
  struct IndirectProbe {  // a probe made for another
    std::uint64_t requester_number = 0, own_number = 0;
    std::string address, subject;
    Millis until{0};
  };
  GossipTiming pace_;
  MemberRecord self_;
  std::vector<std::string> seed_addresses_;
  std::mt19937_64 random_;
  MemberTable member_table_;
  MemberMetadata facts_;
  DisseminationQueue peers_told_, facts_told_;
  std::deque<std::string> turn_;  // whom to ask next
  Probe probe_;
  std::deque<IndirectProbe> errands_;
  std::uint64_t number_ = 0, stamp_ = 0;
  int periods_ = 0, doubts_ = 0;
  Millis ticked_{0}, direct_by_{0}, period_ends_{0}, heard_{0};
  bool usurped_ = false, gone_ = false;
  Counts counts_;
  std::vector<OutgoingMessage> out_;
  std::vector<MemberRecord> changes_;

  double stretched_period() const { return 1 + doubts_; }
  void raise_health_multiplier(int by);
  void merge_record(const MemberRecord& peer, Millis now);
  void merge_message(MemberRecord peer, Millis now);
  void merge_record(const HostObservation& fact);
  void refute(std::uint64_t against, Millis now);
  void end_period(Millis now);
  void begin_period(Millis now);
  void probe_for_other();
  void request_full_sync();
  std::string next_probe_target();
  std::vector<const MemberRecord*> random_members(std::size_t most, const std::string& but);
  void send(const std::string& address, Message::Kind kind, std::uint64_t number, const std::string& about,
            const MemberRecord* about_peer = nullptr);
  void answer(const Message& to, Millis now);
};

}  // namespace lotusyard::gossip
