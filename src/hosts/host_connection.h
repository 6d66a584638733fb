// One connection to a host: what is out on it, what it says, and how it ends.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>

#include "hosts/connection_pool.h"
#include "hosts/line_parser.h"
#include "net/fields.h"

namespace lotusyard::hosts {

// An order to hold so many copies; 0 only asks.
inline std::string order_line(const std::string& tag, std::uint64_t function, int copies) {
  return "ensure " + tag + " asset=" + net::hex16(function) + ",count=" + std::to_string(copies);
}

// What is decided stands in `pending_`, where it can still be taken back, until the very moment in which its
// bytes go to the kernel. Then, and there alone, it is asked whether it may begin.
class HostConnectionPool::HostConnection final : public net::BufferedConnection {
 public:
  HostConnection(HostConnectionPool& fleet, std::string host, net::Socket socket);
  ~HostConnection() override;

  const std::string& host() const { return host_; }
  std::size_t load() const { return attempts_.size() + queries_.size(); }
  std::size_t buffered_bytes() const { return held_; }  // bytes of an answer that is not whole yet
  // suspect_too: also where the connection may be cut off
  bool has_capacity(const std::string& ref, bool suspect_too) const;
  void send_attempt(const core::Attempt& attempt, const core::Call& call, Millis attempt_timeout);
  bool cancel_attempt(const core::Attempt& attempt);
  void load_copies(const std::string& tag, std::uint64_t function, int copies);
  void probe(const std::string& tag);
  void send_line(const std::string& line);
  void abort_pending_writes();  // nothing that is still pending goes out
  // The host is told draining or gone, or started anew: nothing new goes here; what has not gone out never
  // will.
  void retire(bool unsent_too);

 private:
  struct SentAttempt {
    core::Attempt attempt;
    Millis at{0};
    std::uint64_t end_offset = 0;  // offset behind its last byte
    bool written = false;          // its bytes stand in the outbox or went out
    std::uint64_t function = 0;
  };
  struct PendingWrite {
    enum class Kind { attempt, load, line };  // word: what loads nothing and is no call
    Kind kind = Kind::line;
    std::string name;        // ref or tag; empty: nothing is answered
    std::string text, body;  // of an exec: its fields, without patience, which counts from when it goes out
    Millis until{0};
    std::uint64_t function = 0;
  };
  struct Query {
    enum class Kind { load, probe, liveness };  // liveness: whether anything comes over this link at all
    Kind kind = Kind::load;
    std::uint64_t function = 0;
    Millis at{0};
    std::uint64_t end_offset = 0;
    bool written = false;
    net::EventLoop::TimerId timer{};
    int copies = 0;  // of an order
  };
  HostConnectionPool& fleet_;
  std::string host_;
  LineParser parser_;
  std::map<std::string, SentAttempt> attempts_;  // by ref
  std::map<std::string, Query> queries_;         // by tag
  std::deque<PendingWrite> pending_writes_;
  std::unordered_map<std::string, bool> past_;  // refs whose attempt here has ended: answered, or dropped
  std::deque<std::pair<Millis, std::string>> past_order_;
  Millis heard_{0}, sent_{0}, begun_{0}, probed_{0};
  std::size_t held_ = 0;
  int probes_unanswered_ = 0;  // asked for since the last answer of an attempt
  Millis idle_until_{0};
  bool retired_ = false, suspect_ = false, checking_ = false;
  net::EventLoop::TimerId timer_{}, stuck_{}, check_{}, again_{}, stuck_exec_{};

  void remember_ended(const std::string& ref, bool answered);
  void send_query(const std::string& tag, Query::Kind kind, std::uint64_t function, const std::string& line,
                  PendingWrite::Kind what);
  void enqueue_write(PendingWrite&& pending);
  enum class WriteDecision { write, wait, discard };
  WriteDecision check_before_write(PendingWrite& pending);
  void write_out(const PendingWrite& pending);
  void read_callers();
  void limit_stuck_exec();
  void discard_write(const PendingWrite& pending);
  void arm_silence_timer();
  void check_silence();
  void send_liveness_probe();
  void connect_timed_out();
  void arm_idle_timer();
  void query_timed_out(const std::string& tag);
  void idle_over();
  void hand_back(const std::deque<PendingWrite>& pending);
  void finish_query(const Query& asked, core::Outcome outcome, int copies, core::Report report);
  bool handle_reply(Reply&& reply);
  void before_write() override;
  bool reads_after_write_failure() const override { return true; }
  void on_connected() override;
  void on_received(std::string_view bytes) override;
  void on_closed() override;
};

}  // namespace lotusyard::hosts
