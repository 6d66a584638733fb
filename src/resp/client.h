// One connection of a client: which of its bytes are requests, and when it has to be whole.
#pragma once

#include <algorithm>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "resp/front.h"

namespace lotusyard::resp {

// From connecting, or a request's first byte, to its last. Some clients write one over 2 s and more; whoever
// sends none is owed an end within 3 s.
inline constexpr core::Millis kWholeMost{2800};

class Front::Client final : public net::Stream {
 public:
  Client(Front& front, net::Socket socket)
      : Stream(front.loop_, front.pool_, std::move(socket), false), front_(front) {
    expect_whole();
  }
  ~Client() override { loop().cancel(whole_by_); }
  std::unordered_map<std::string, core::CallId> open_calls;
  Clients::iterator place;
  bool asked = false;                  // stands among the clients, else among the newcomers
  bool spoilt = false;                 // nothing more is read from it
  std::size_t faults = 0, pieces = 0;  // pieces: that came before its first request was whole

  std::uint64_t unread() const { return ending() ? 0 : outbox().appended() - outbox().written(); }
  bool idle() const { return open_calls.empty() && outbox().empty(); }
  bool at_rest() const { return asked && idle() && !parser_.begun() && !ending(); }

 private:
  Front& front_;
  Parser parser_;
  net::Loop::TimerId whole_by_{};
  bool begun_ = true;  // a newcomer owes its first request from the start

  // Danger: half a request, or none, would hold a descriptor for good.
  void expect_whole() {
    whole_by_ = loop().at(loop().now() + kWholeMost,
                          [this] { front_.spoil(*this, asked ? "resp.half_request" : "resp.no_request"); });
  }
  void received(std::string_view bytes) override {
    if (spoilt) return;
    std::vector<Words> commands;
    const bool sound = parser_.take(bytes, commands);
    if (!commands.empty() && !front_.promote(*this)) return front_.turn_away(*this, commands);
    if (!asked) front_.heard(*this);
    // A timer a begun request: the next one's time starts with its own first byte.
    if (begun_ && (!commands.empty() || !parser_.begun())) loop().cancel(whole_by_);
    if (parser_.begun() && (!begun_ || !commands.empty())) expect_whole();
    begun_ = parser_.begun() || !asked;
    leave_out_taken_back(commands);
    for (auto& words : commands) {
      if (ending() || spoilt) return;  // what came behind a fault is not begun
      front_.take(*this, std::move(words));
    }
    if (!sound) front_.spoil(*this, "resp.malformed");
  }
  // Danger: hundreds of calls that are taken back in the bytes they came in would each cost a host something.
  void leave_out_taken_back(std::vector<Words>& commands) {
    std::unordered_set<std::string> cancelled;
    const auto taken_back = [&](const Words& words) {
      if (words.size() < 2) return false;
      if (words[0] == "CANCEL") cancelled.insert(words[1]);
      return words[0] == "CALL" && open_calls.count(words[1]) == 0 && cancelled.count(words[1]) != 0;
    };
    const auto kept = std::remove_if(commands.rbegin(), commands.rend(), taken_back);
    if (kept == commands.rend()) return;
    front_.counters_.add("resp.taken_back", static_cast<std::uint64_t>(commands.rend() - kept));
    commands.erase(commands.begin(), kept.base());
  }
  void ended() override {
    loop().cancel(whole_by_);
    front_.gone(*this);
  }
};

}  // namespace lotusyard::resp
