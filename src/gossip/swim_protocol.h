// SWIM failure detection with Lifeguard's extensions, for one member; docs/gossip.md says which parts
// were adopted. In each period one other member is probed: directly, then indirectly through others. One that
// does not answer is suspected; it is declared dead unless it refutes the suspicion in time. Needs no leader
// and no quorum. No I/O: messages, the time and a random seed come in, messages and changes go out.
#pragma once

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "gossip/gossip_timing.h"
#include "gossip/indirect_probe_relay.h"
#include "gossip/local_health.h"
#include "gossip/membership_state.h"
#include "gossip/message.h"
#include "gossip/probe_order.h"

namespace lotusyard::gossip {

class SwimProtocol {
 public:
  struct OutgoingMessage {
    std::string address;
    Message message;
  };

  // `seed_addresses`: where other members may be found at first. `seed`: of the random number generator.
  SwimProtocol(MemberRecord self, std::vector<std::string> seed_addresses, const GossipTiming& timing,
               std::uint64_t seed, Millis now);
  SwimProtocol(const SwimProtocol&) = delete;
  SwimProtocol& operator=(const SwimProtocol&) = delete;

  // Runs what is due: probes, timeouts and full syncs.
  void tick(Millis now);
  // The latest time for the next tick; infinite if none is needed.
  Millis next_deadline() const;
  void receive(Millis now, const Message& message);
  // This member accepts calls from now on: its status changes from joining to alive.
  void serve(Millis now);
  // Announces that this member leaves; it neither probes nor answers afterwards.
  void leave(Millis now);
  // Reports this member's own observation of a host. `host_incarnation`: Unix milliseconds of its start.
  void observe(const std::string& host, double host_incarnation, bool usable);

  const MemberRecord& self() const { return state_.self(); }
  // Another process with this name has a later incarnation; this one is silent.
  bool is_superseded() const { return state_.is_superseded(); }
  const MemberTable& member_table() const { return state_.members(); }
  MemberMetadata& metadata() { return state_.metadata(); }
  const MemberMetadata& metadata() const { return state_.metadata(); }
  const MembershipState::Counts& counts() const { return state_.counts(); }
  // Score of Lifeguard's local health multiplier; 0 if this member is healthy.
  int health_multiplier() const { return health_.score(); }

  // Messages and changes of records since the last call.
  std::vector<OutgoingMessage> take_outgoing() { return std::exchange(outgoing_, {}); }
  std::vector<MemberRecord> take_changes() { return state_.take_changes(); }

 private:
  struct Probe {
    std::string target;  // empty: no probe is in flight
    std::uint64_t number = 0;
    bool acked = false;
    bool indirect_requested = false;
    std::size_t indirect_probes = 0;
    std::size_t nacks = 0;

    bool awaits_ack() const { return !target.empty() && !acked; }
    bool awaits_direct_ack() const { return awaits_ack() && !indirect_requested; }
  };

  GossipTiming timing_;
  std::vector<std::string> seed_addresses_;
  std::mt19937_64 random_;
  LocalHealth health_;
  ProbeOrder probe_order_;
  MembershipState state_;
  Probe probe_;
  IndirectProbeRelay relay_;
  std::uint64_t last_probe_number_ = 0;
  int periods_ = 0;
  Millis last_tick_at_{0};
  Millis direct_probe_deadline_{0};
  Millis period_ends_at_{0};
  Millis last_received_at_{0};
  bool left_ = false;
  std::vector<OutgoingMessage> outgoing_;

  bool is_silent() const { return left_ || is_superseded(); }
  void detect_pause(Millis now);
  void reset_after_isolation(Millis now);
  void end_period(Millis now);
  void begin_period(Millis now);
  void start_probe();
  void request_indirect_probes();

  bool is_sync_period(int interval) const;
  void start_full_syncs();
  void sync_with_absent_member();

  void announce_refutation(const Message& cause);
  void handle_ping(const Message& ping);
  void handle_ping_request(const Message& request, Millis now);
  void handle_ack(const Message& ack);
  void handle_nack(const Message& nack);
  bool answers_own_probe(const Message& answer) const;
  const MemberRecord* newer_record_of_sender(const Message& message) const;

  std::vector<const MemberRecord*> sample_present(std::size_t limit, const std::string& excluded);
  void send(const std::string& address, Message::Kind kind, std::uint64_t number, const std::string& subject,
            const MemberRecord* urgent_update = nullptr);
  void send_urgent(const std::string& address, const MemberRecord& update);
};

}  // namespace lotusyard::gossip
