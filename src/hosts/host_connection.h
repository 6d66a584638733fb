// One connection to a host: requests in flight, incoming answers, timeouts and closing.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "hosts/connection_services.h"
#include "hosts/ended_refs.h"
#include "hosts/host_connection_listener.h"
#include "hosts/host_protocol.h"
#include "hosts/line_parser.h"
#include "hosts/pending_write.h"
#include "hosts/silence_monitor.h"
#include "net/buffered_connection.h"

namespace lotusyard::hosts {

// Whether requests that are not written yet are still sent after a connection is retired.
enum class UnsentRequests { keep, abort };

// Requests are queued until their bytes go to the kernel, and can be withdrawn until then. Whether they may
// be sent is checked immediately before, in before_write(). Results are reported to the listener.
class HostConnection final : public net::BufferedConnection {
 public:
  // `services` has to outlive the connection. The socket is connecting.
  HostConnection(ConnectionServices& services, std::string host, net::Socket socket);
  ~HostConnection() override;

  const std::string& host() const { return host_; }
  // Attempts, load requests and probes that are not answered yet.
  std::size_t in_flight() const { return attempts_.size() + queries_.size(); }
  // Bytes of an incomplete answer.
  std::size_t buffered_bytes() const { return buffered_bytes_; }
  // True if an attempt of this ref can be sent here. An empty ref stands for any request.
  bool has_capacity(const std::string& ref) const;
  // When the connection was established; the current time while it is connecting.
  Millis connected_at() const { return is_connecting() ? services_.loop.now() : connected_at_; }
  // True if the host had been silent for long when an attempt was cancelled: it may never answer.
  bool is_possibly_partitioned() const { return possibly_partitioned_; }

  void send_attempt(const core::Attempt& attempt, const core::Call& call, Millis attempt_timeout);
  // Ends the attempt without a report. Returns true if it may have run.
  bool cancel_attempt(const core::Attempt& attempt);
  void load_copies(std::uint64_t function, int copies);
  void probe();
  // Sends a health check that asks whether the host takes new work, unless one is outstanding.
  void send_readiness_check();
  void unload(std::uint64_t function);
  // Withdraws all requests that are not written yet.
  void abort_pending_writes();
  // Accepts no new requests, and closes once those in flight have ended. For hosts that are draining, gone or
  // restarted.
  void retire(UnsentRequests unsent);

 private:
  enum class WriteDecision { write, wait, discard, withhold };
  enum class ReplyCheck { valid, malformed };
  using Attempts = std::map<std::string, InFlightAttempt>;
  using Queries = std::map<std::string, Query>;

  void send_query(const std::string& tag, Query::Kind kind, PendingWrite&& request, int copies);
  void enqueue_write(PendingWrite&& pending);
  void withdraw_attempt(const std::string& ref);
  bool cancel_written_attempt(const std::string& ref, const InFlightAttempt& sent);
  void close_if_unread();

  // Writing: host_connection_write.cpp.
  void before_write() override;
  WriteDecision check_before_write(const PendingWrite& pending);
  WriteDecision check_attempt_before_write(const PendingWrite& pending);
  WriteDecision check_readiness_before_write();
  void withhold_write(const PendingWrite& pending);
  // Remove a request in flight that was never written.
  core::Attempt remove_attempt(const std::string& ref);
  std::optional<Query> remove_query(const std::string& tag);
  void write_pending(const PendingWrite& pending);
  void discard_write(const PendingWrite& pending);
  void discard_query(const std::string& tag);
  void schedule_recheck();
  void read_client_input();
  void limit_stalled_write();

  // Timers: host_connection_timers.cpp.
  void arm_idle_timer();
  void on_idle_timeout();
  void arm_silence_timer();
  void check_silence();
  void send_liveness_probe();
  Millis timeout_of(Query::Kind kind) const;
  void on_connect_timeout();
  void on_query_timeout(const std::string& tag);
  void cancel_timers();

  // Reading and closing: host_connection_read.cpp.
  void on_connected() override;
  void on_received(std::string_view bytes) override;
  ReplyCheck handle_reply(Reply&& reply);
  void complete_attempt(Attempts::iterator found, HostReply&& reply);
  void complete_query(Queries::iterator found, HostReply&& reply);
  void finish_query(const Query& query, core::Outcome outcome, int copies, core::Report report);
  void set_buffered_bytes(std::size_t bytes);
  void on_closed() override;
  void requeue_pending(const std::deque<PendingWrite>& pending);
  void requeue_attempt(const PendingWrite& pending);
  void requeue_query(const std::string& tag);
  void end_lost_requests();
  core::Outcome lost_outcome(const WriteProgress& progress) const;
  bool reads_after_write_failure() const override { return true; }

  ConnectionServices& services_;
  const std::string host_;
  LineParser parser_;
  Attempts attempts_;  // by ref
  Queries queries_;    // by tag
  std::deque<PendingWrite> pending_writes_;
  EndedRefs ended_refs_{services_.ended_refs};
  SilenceMonitor silence_;
  std::size_t buffered_bytes_ = 0;
  Millis connected_at_{0};
  Millis idle_deadline_{0};  // when an idle connection is closed at the latest
  bool retired_ = false;
  bool possibly_partitioned_ = false;
  bool silence_timer_armed_ = false;
  net::EventLoop::TimerId connect_or_idle_timer_{};
  net::EventLoop::TimerId unread_timer_{};
  net::EventLoop::TimerId silence_timer_{};
  net::EventLoop::TimerId recheck_timer_{};
  net::EventLoop::TimerId stalled_write_timer_{};
};

}  // namespace lotusyard::hosts
