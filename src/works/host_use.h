// Keeps this process to what has been agreed upon about hosts, and sees what becomes of them: which ones it
// leaves alone, with its lease or without, that nothing decided under a lease goes out after it, and what it
// reports of hosts and calls.
#pragma once

#include <functional>
#include <string>

#include "app/app.h"
#include "works/leaving.h"
#include "works/watch.h"

namespace lotusyard::works {

// What a process may take for granted about its knowledge of the board.
struct Knowledge {
  bool leased = false;     // it is current: the lease holds
  bool held_back = false;  // it is so old, or there was never any, that no host may be used
};

class HostUse {
 public:
  using Note = std::function<void(const std::string& text)>;
  HostUse(const Wiring& wiring, Note note)
      : wiring_(wiring), note_(std::move(note)), counted_at_(wiring.loop.now()) {}

  // To be called whenever the board or the knowledge of it has changed.
  void follow(const Board& board, const Knowledge& knowledge);
  bool leased() const { return leased_; }  // as of the last `follow`
  bool left(const std::string& host) const { return leaving_.left(host); }
  bool sees_down(const std::string& host) const { return watch_.down(host, wiring_.loop.now()); }

  void attempt_ended(const std::string& host, const core::Call& call, core::Outcome outcome);
  // What this process sees of hosts now, and of its calls since it was asked before.
  View see(const Board& board);

 private:
  Wiring wiring_;
  Note note_;
  Leaving leaving_;
  Watch watch_;
  bool leased_ = false;
  Millis counted_at_;
  double taken_ = 0, lost_ = 0;

  void note_lease(bool leased);
};

}  // namespace lotusyard::works
