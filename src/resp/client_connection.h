// One connection of a client: which of its bytes are requests, and when it has to be whole.
#pragma once

#include <algorithm>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "metrics/client_counters.h"
#include "resp/arrival_clock.h"
#include "resp/front_end.h"

namespace lotusyard::resp {

// What is read at one go of what a client has sent; 32 calls with the longest bodies are less.
inline constexpr int kReadsAtOnce = 6;

// From connecting, or a request's first byte, to its last. Some clients write one over 2 s and more; whoever
// sends none is owed an end within 3 s.
inline constexpr core::Millis kWholeMost{2800};

class FrontEnd::ClientConnection final : public net::BufferedConnection {
 public:
  ClientConnection(FrontEnd& front, net::Socket socket, core::Millis connected_since)
      : BufferedConnection(front.loop_, front.pool_, std::move(socket), false),
        front_(front),
        arrivals_(connected_since, front.loop_.now()) {
    expect_whole();
  }
  ~ClientConnection() override { loop().cancel(whole_by_); }
  std::unordered_map<std::string, core::CallId> open_calls;
  Clients::iterator place;
  bool asked = false;      // stands among the clients, else among the newcomers
  bool malformed = false;  // nothing more that it sends can be understood
  bool refuses = false;    // each further call is refused, and it ends once it owes no answer
  bool no_place = false, parting = false;
  std::size_t faults = 0, pieces = 0;  // pieces: that came before its first request was whole

  std::uint64_t unread() const { return is_closing() ? 0 : send_queue().appended() - send_queue().written(); }
  bool idle() const { return open_calls.empty() && send_queue().empty(); }
  bool at_rest() const { return asked && idle() && !parser_.begun() && !is_closing(); }
  // The time no later than which what was read last can have come.
  core::Millis earliest_arrival() const { return earliest_arrival_; }
  // All that had been sent by then has been read.
  core::Millis heard_at() const { return heard_at_; }
  // To the last byte that has come, within bounds.
  void drain_socket() {
    for (int i = 0; i < kReadsAtOnce && !is_closing(); ++i) {
      const core::Millis now = loop().now();
      if (peer_state() == net::PeerState::idle) {
        heard_at_ = now;
        return;
      }
      ready(POLLIN);
    }
  }

 private:
  FrontEnd& front_;
  Parser parser_;
  ArrivalClock arrivals_;
  core::Millis earliest_arrival_{0}, heard_at_{0};
  net::EventLoop::TimerId whole_by_{};
  bool request_begun_ = true;  // a newcomer owes its first request from the start

  // Half a request, or none, would hold a descriptor for good.
  void expect_whole() {
    whole_by_ = loop().schedule_at(loop().now() + kWholeMost, [this] {
      front_.close_malformed(*this, asked ? metrics::kRespHalfRequest : metrics::kRespNoRequest);
    });
  }
  void on_received(std::string_view bytes) override {
    earliest_arrival_ = arrivals_.earliest_arrival(loop());
    if (bytes.size() < net::BufferPool::block_size)
      arrivals_.all_read();
    if (malformed)
      return;
    std::vector<Words> commands;
    const bool sound = parser_.parse(bytes, commands);
    if (!commands.empty() && !no_place && !front_.promote(*this))
      refuses = no_place = true;
    if (!asked)
      front_.heard(*this);
    // A timer a begun request: the next one's time starts with its own first byte.
    if (request_begun_ && (!commands.empty() || !parser_.begun()))
      loop().cancel(whole_by_);
    if (parser_.begun() && (!request_begun_ || !commands.empty()))
      expect_whole();
    request_begun_ = parser_.begun() || !asked;
    leave_out_taken_back(commands);
    for (auto& words : commands) {
      if (is_closing())
        return;
      front_.handle_command(*this, std::move(words));
    }
    if (!sound)
      return front_.close_malformed(*this, metrics::kRespMalformed);
    front_.close_if_drained(*this);
  }
  // Hundreds of calls that are taken back in the bytes they came in would each cost a host something.
  void leave_out_taken_back(std::vector<Words>& commands) {
    std::unordered_set<std::string> cancelled;
    const auto taken_back = [&](const Words& words) {
      if (words.size() < 2)
        return false;
      if (words[0] == "CANCEL")
        cancelled.insert(words[1]);
      return words[0] == "CALL" && open_calls.count(words[1]) == 0 && cancelled.count(words[1]) != 0;
    };
    const auto kept = std::remove_if(commands.rbegin(), commands.rend(), taken_back);
    if (kept == commands.rend())
      return;
    front_.counters_.add(metrics::kRespTakenBack, static_cast<std::uint64_t>(commands.rend() - kept));
    commands.erase(commands.begin(), kept.base());
  }
  void on_closed() override {
    loop().cancel(whole_by_);
    front_.on_disconnected(*this);
  }
};

}  // namespace lotusyard::resp
