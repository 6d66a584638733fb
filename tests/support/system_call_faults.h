// Makes system calls on sockets fail, as often and with the errors that a test chooses. A program that links
// system_call_faults.cpp uses these calls instead of those of src/net/system_calls.cpp.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <random>
#include <vector>

namespace lotusyard::test {

enum class SystemCall { socket, connect, pending_error, accept, poll, receive, send, count };

// Active from construction to destruction; only one may exist at a time.
class SystemCallFaults {
 public:
  explicit SystemCallFaults(std::uint64_t seed = 1);
  ~SystemCallFaults();
  SystemCallFaults(const SystemCallFaults&) = delete;
  SystemCallFaults& operator=(const SystemCallFaults&) = delete;

  // Each call fails with that chance and with one of the errors, until `most` calls have failed.
  void fail(SystemCall call, std::vector<int> errors, double chance = 1, int most = 1 << 30);
  // Every call fails with that chance, with the errors that its manual page describes as transient.
  void fail_all(double chance);
  // Connects to other ports do not fail.
  void fail_connects_only_to(std::uint16_t port) { port_ = port; }
  // No read or write transfers more bytes than this.
  void transfer_at_most(std::size_t bytes) { longest_transfer_ = bytes; }
  // With that chance a read or write transfers one byte.
  void shorten_transfers(double chance) { short_transfer_chance_ = chance; }
  int calls(SystemCall call) const { return at(call).calls; }
  int failures(SystemCall call) const { return at(call).failures; }

  // Used by the replaced calls.
  int next_error(SystemCall call);  // 0: the real call is made
  std::size_t transfer(std::size_t bytes);
  bool applies_to_port(std::uint16_t port) const { return port_ == 0 || port == port_; }
  static SystemCallFaults* active();

 private:
  struct Rule {
    std::vector<int> errors;
    double chance = 0;
    int most = 0, calls = 0, failures = 0;
  };
  std::array<Rule, static_cast<std::size_t>(SystemCall::count)> rules_;
  std::mt19937_64 random_;
  std::uint16_t port_ = 0;
  std::size_t longest_transfer_ = SIZE_MAX;
  double short_transfer_chance_ = 0;

  Rule& at(SystemCall call) { return rules_[static_cast<std::size_t>(call)]; }
  const Rule& at(SystemCall call) const { return rules_[static_cast<std::size_t>(call)]; }
  bool happens(double chance);
};

}  // namespace lotusyard::test
