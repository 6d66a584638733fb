// One connection to a host: what is out on it, what it says, and how it ends.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>

#include "hosts/fleet.h"
#include "hosts/line_parser.h"
#include "net/fields.h"

namespace lotusyard::hosts {

// An order to hold so many copies; 0 only asks.
inline std::string order_line(const std::string& tag, std::uint64_t function, int copies) {
  return "ensure " + tag + " asset=" + net::hex16(function) + ",count=" + std::to_string(copies);
}

// What is decided stands in `pending_`, where it can still be taken back, until the very moment in which its
// bytes go to the kernel. Then, and there alone, it is asked whether it may begin.
class Fleet::Link final : public net::Stream {
 public:
  Link(Fleet& fleet, std::string host, net::Socket socket);
  ~Link() override;

  const std::string& host() const { return host_; }
  std::size_t load() const { return attempts_.size() + asked_.size(); }
  std::size_t held() const { return held_; }  // bytes of an answer that is not whole yet
  // suspect_too: also where the connection may be cut off
  bool takes(const std::string& ref, bool suspect_too) const;
  void exec(const core::Attempt& attempt, const core::Call& call, Millis patience);
  bool drop(const core::Attempt& attempt);
  void order(const std::string& tag, std::uint64_t function, int copies);
  void probe(const std::string& tag);
  void say(const std::string& line);
  void withdraw();  // nothing that is still pending goes out
  // The host is told draining or gone, or started anew: nothing new goes here; what has not gone out never
  // will.
  void retire(bool unsent_too);

 private:
  struct Sent {
    core::Attempt attempt;
    Millis at{0};
    std::uint64_t end = 0;  // offset behind its last byte
    bool put = false;       // its bytes stand in the outbox or went out
    std::uint64_t function = 0;
  };
  struct Pending {
    enum class Kind { exec, order, word };  // word: what loads nothing and is no call
    Kind kind = Kind::word;
    std::string name;        // ref or tag; empty: nothing is answered
    std::string text, body;  // of an exec: its fields, without patience, which counts from when it goes out
    Millis until{0};
    std::uint64_t function = 0;
  };
  struct Asked {
    enum class Kind { order, probe, liveness };  // liveness: whether anything comes over this link at all
    Kind kind = Kind::order;
    std::uint64_t function = 0;
    Millis at{0};
    std::uint64_t end = 0;
    bool put = false;
    net::Loop::TimerId timer{};
    int copies = 0;  // of an order
  };
  Fleet& fleet_;
  std::string host_;
  LineParser parser_;
  std::map<std::string, Sent> attempts_;  // by ref
  std::map<std::string, Asked> asked_;    // by tag
  std::deque<Pending> pending_;
  std::unordered_map<std::string, bool> past_;  // refs whose attempt here has ended: answered, or dropped
  std::deque<std::pair<Millis, std::string>> past_order_;
  Millis heard_{0}, sent_{0}, begun_{0}, probed_{0};
  std::size_t held_ = 0;
  int probes_unanswered_ = 0;  // asked for since the last answer of an attempt
  Millis idle_until_{0};
  bool retired_ = false, suspect_ = false, checking_ = false;
  net::Loop::TimerId timer_{}, stuck_{}, check_{}, again_{}, stuck_exec_{};

  void past(const std::string& ref, bool answered);
  void ask(const std::string& tag, Asked::Kind kind, std::uint64_t function, const std::string& line,
           Pending::Kind what);
  void stand_back(Pending&& pending);
  enum class Look { put, wait, never };
  Look look_at(Pending& pending);
  void put(const Pending& pending);
  void read_callers();
  void limit_stuck_exec();
  void never_goes(const Pending& pending);
  void expect();
  void check();
  void ask_whether_alive();
  void connect_late();
  void rest();
  void order_late(const std::string& tag);
  void idle_over();
  void hand_back(const std::deque<Pending>& pending);
  void end_asked(const Asked& asked, core::Outcome outcome, int copies, core::Report report);
  bool take(Reply&& reply);
  void before_flush() override;
  bool reads_rest() const override { return true; }
  void connected() override;
  void received(std::string_view bytes) override;
  void ended() override;
};

}  // namespace lotusyard::hosts
