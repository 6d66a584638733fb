// Lets the system calls on sockets fail, as often and with the errors that a test asks for. A program that
// links system_call_faults.cpp has these calls in place of the plain ones of src/net/system_calls.cpp.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <random>
#include <vector>

namespace lotusyard::test {

enum class SystemCall { socket, connect, pending_error, accept, poll, receive, send, count };

// In force from its construction to its end; one at a time.
class SystemCallFaults {
 public:
  explicit SystemCallFaults(std::uint64_t seed = 1);
  ~SystemCallFaults();
  SystemCallFaults(const SystemCallFaults&) = delete;
  SystemCallFaults& operator=(const SystemCallFaults&) = delete;

  // Of the next `most` calls, each fails with that chance, with one of the errors.
  void fail(SystemCall call, std::vector<int> errors, double chance = 1, int most = 1 << 30);
  // Every call fails with that chance, each with the errors that its manual names as passing ones.
  void fail_all(double chance);
  // A connect fails only if it is to that port.
  void only_to_port(std::uint16_t port) { port_ = port; }
  // No read or write moves more bytes than this.
  void transfer_at_most(std::size_t bytes) { longest_transfer_ = bytes; }
  // With that chance a read or write moves one byte.
  void cut_transfers(double chance) { cut_chance_ = chance; }
  int calls(SystemCall call) const { return at(call).calls; }
  int failures(SystemCall call) const { return at(call).failures; }

  // For the calls themselves.
  int next_error(SystemCall call);  // 0: the call is made
  std::size_t transfer(std::size_t bytes);
  bool is_meant(std::uint16_t port) const { return port_ == 0 || port == port_; }
  static SystemCallFaults* in_force();

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
  double cut_chance_ = 0;

  Rule& at(SystemCall call) { return rules_[static_cast<std::size_t>(call)]; }
  const Rule& at(SystemCall call) const { return rules_[static_cast<std::size_t>(call)]; }
  bool happens(double chance);
};

}  // namespace lotusyard::test
