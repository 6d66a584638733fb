// The hosts and the connections to them: attempts, probes and orders go out here and their ends come back.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/dispatcher.h"
#include "core/listed_host.h"
#include "hosts/connection_wait.h"
#include "metrics/counters.h"
#include "net/buffered_connection.h"
#include "net/event_loop.h"

namespace lotusyard::hosts {

using core::Millis;

// How a connection that has fallen silent is asked whether anything still comes over it.
enum class LivenessProbe { none, health, order };  // order: one that only asks, where probes are not allowed

struct Limits {
  Millis connect_timeout{250}, idle{15000}, order_timeout{10000};
  LivenessProbe liveness = LivenessProbe::health;
  Millis quiet{400};        // a connection is never asked sooner than after this, where answers take long
  Millis past_kept{10000};  // a late answer to an attempt that has ended may still come for so long
  std::size_t attempts_a_link = 32, links_a_host = 4, links = 256;
  std::size_t longest_answer = 1U << 20;   // the body of one; a link holds at most one that is not whole yet
  std::size_t incoming = 32U << 20;        // bytes of answers that are not whole yet, over all links
  std::vector<std::string> report_fields;  // in the order in which the module wants them
};

class HostConnectionPool final : public core::HostTransport {
 public:
  HostConnectionPool(net::EventLoop& loop, net::BufferPool& pool, metrics::Counters& counters, Limits limits);
  ~HostConnectionPool() override;
  void attach(core::Dispatcher& dispatcher);
  // Which hosts a call may go to, as far as connections tell, and as `next` says beside that, where set.
  policy::HostFilter* host_filter(policy::HostFilter* next);

  void update_endpoints(const core::HostListUpdate& list);
  // Nothing that was decided for this host and is not with the kernel yet goes out any more.
  void abort_unsent(const std::string& host);
  // No call of this process is at the host: none is out, and what was given up has run out of time.
  bool has_no_calls(const std::string& host) const;
  // Asked before anything new goes to a host, where set: a call, a load of the function, or what names
  // neither.
  using SendFilter =
      std::function<bool(const std::string& host, const core::Call* call, std::uint64_t function)>;
  void set_send_filter(SendFilter may_send) { send_filter_ = std::move(may_send); }
  void set_limits(const Limits& limits) { limits_ = limits; }  // open connections keep to them from now on

  void send_attempt(const core::Attempt& attempt, const std::string& host, const core::Call& call,
                    Millis attempt_timeout) override;
  bool cancel_attempt(const core::Attempt& attempt) override;
  void probe(const std::string& host) override;
  void load_copies(const std::string& host, std::uint64_t function, int copies) override;
  void unload(const std::string& host, std::uint64_t function) override;

 private:
  class HostConnection;
  struct Host {
    core::ListedHost member;
    std::vector<std::shared_ptr<HostConnection>> connections;
    Millis calls_expire_at{0};         // when the last call that went there has run out of time
    bool has_cancelled_calls = false;  // one was given up, and may run there till then
    bool may_run_cancelled_calls(Millis now) const { return has_cancelled_calls && calls_expire_at > now; }
  };
  net::EventLoop& loop_;
  net::BufferPool& pool_;
  metrics::Counters& counters_;
  Limits limits_;
  core::Dispatcher* dispatcher_ = nullptr;
  std::map<std::string, Host> hosts_;
  std::map<core::Attempt, HostConnection*> attempts_;
  SendFilter send_filter_;
  std::size_t connections_ = 0, incoming_ = 0;
  std::uint64_t last_tag_ = 0;
  Millis usual_answer_{0};  // moving average over all hosts
  double probes_left_ = 0;  // a token bucket, filled by what is sent

  bool allows(const std::string& id, const core::Call* call, std::uint64_t function) const;
  Host* ready_host(const std::string& id, const core::Call* call, std::uint64_t function);
  struct LinkChoice {
    HostConnection* link = nullptr;
    bool local_trouble = false;  // there is none for this machine's sake, and soon there may be one
  };
  class ReachableHosts final : public policy::HostFilter {
   public:
    explicit ReachableHosts(const HostConnectionPool& fleet) : fleet_(fleet) {}
    void ask_too(policy::HostFilter* next) { next_ = next; }
    bool allows(const std::string& tenant, std::uint64_t function, const std::string& id) override;

   private:
    const HostConnectionPool& fleet_;
    policy::HostFilter* next_ = nullptr;
  };
  ReachableHosts reachable_hosts_{*this};
  ConnectBackoff backoff_;
  WaitingSends waiting_;
  net::EventLoop::TimerId waiting_timer_{};

  LinkChoice connection_for(Host& host, const std::string& ref);
  LinkChoice open_link(Host& host);
  bool in_local_trouble() const;
  bool has_open_link(const Host& host) const;
  bool is_reachable(const Host& host) const;
  void send_attempt(HostConnection& link, const core::Attempt& attempt, const core::Call& call,
                    Millis attempt_timeout);
  void wait(WaitingSend&& send);
  void wait_for_connection(const core::Attempt& attempt, const std::string& host, const core::Call& call,
                           Millis until);
  void wait_with(WaitingSend::Kind kind, const std::string& host, std::uint64_t function, int copies);
  void arm_waiting();
  void try_waiting();
  bool try_again(WaitingSend& send);
  bool may_move_on(const WaitingSend& send, Millis now) const;
  void send_on(HostConnection& link, const WaitingSend& send);
  void end_waiting(const WaitingSend& send);
  void end_unreachable(const WaitingSend& send);
  void withdraw_waiting(const std::string& host);
  void notify_later(std::function<void()> tell);
  // Told in the next turn: none of these went out.
  void attempt_not_sent(const core::Attempt& attempt);
  void probe_not_sent(const std::string& id);
  void load_not_sent(const std::string& id, std::uint64_t function);
  core::Report parse_report(const std::string& text) const;
  void connection_closed(HostConnection& link);
  void account_incoming(HostConnection& link, std::size_t before, std::size_t now);
  Millis max_silence() const;
  void record_answer_time(Millis took);
  bool take_liveness_probe();
};

}  // namespace lotusyard::hosts
