// Test clocks whose wall clock can be set forwards and back while the steady clock keeps running.
#pragma once

#include <unistd.h>

#include <cstdio>
#include <string>

#include "net/wall_clock.h"

namespace lotusyard::test {

using net::Millis;

constexpr Millis kHour{3600e3};

// The system's clocks, with `step` added to the wall clock.
struct SteppedClock {
  Millis step{0};
  net::Clocks clocks() {
    const auto system = net::Clocks::system();
    return {system.steady, [this, system] { return system.wall() + step; }};
  }
  Millis wall() { return clocks().wall(); }
};

// Both clocks advance only through `advance` or by assignment.
struct ManualClock {
  Millis steady{5e6}, wall{1e12};
  net::Clocks clocks() {
    return {[this] { return steady; }, [this] { return wall; }};
  }
  void advance(Millis time) {
    steady += time;
    wall += time;
  }
};

// A path for an SQLite database; its file and its -wal and -shm files are removed before and after the test.
struct ScratchFile {
  explicit ScratchFile(const std::string& name)
      : path("wall-clock-" + name + "-" + std::to_string(getpid()) + ".db") {
    remove();
  }
  ~ScratchFile() { remove(); }
  void remove() const {
    for (const char* end : {"", "-wal", "-shm"})
      std::remove((path + end).c_str());
  }
  std::string path;
};

}  // namespace lotusyard::test
