// The second front: deliveries of a broker are calls, and their answers are published to where they say.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "amqp/channel.h"
#include "amqp/memory.h"
#include "core/dispatcher.h"
#include "idempotency/result_store.h"
#include "metrics/counters.h"
#include "net/event_loop.h"

namespace lotusyard::amqp {

class FrontEnd final : public core::FrontEnd, private Consumer {
 public:
  struct Limits {
    std::size_t open_calls = 256, remembered = 10000, remembered_bytes = 16U << 20;
    bool sole_consumer = false;  // nobody else consumes these queues
  };
  FrontEnd(net::EventLoop& loop, net::BufferPool& pool, core::Dispatcher& dispatcher,
           metrics::Counters& counters, const core::Settings& settings, Broker broker, Limits limits,
           idempotency::ResultStore* store = nullptr);
  ~FrontEnd() override;

  void start() { connect(); }
  void apply_settings(const core::Settings& settings) { settings_ = settings; }
  void drain();       // nothing new; what was taken is answered
  bool done() const;  // all answers that can be given on this connection are confirmed
  void close();

  void answer(core::CallId call, core::Answer&& answer) override;
  bool before_attempt(core::CallId call) override;
  void proved_not_run(core::CallId call) override;
  ClientState client_state(core::CallId call, core::Millis heard_since) override;

 private:
  struct Running {
    std::string id;
    bool once = false, recorded = false;  // recorded: the store knows of an attempt
  };
  struct Publishing {
    std::string id;  // of the call, in the memory
    Address address;
    std::shared_ptr<const core::Answer> answer;
    std::vector<std::uint64_t> tags;  // deliveries that are acknowledged once the broker has it
  };
  net::EventLoop& loop_;
  net::BufferPool& pool_;
  core::Dispatcher& dispatcher_;
  metrics::Counters& counters_;
  core::Settings settings_;  // for what is read from now on
  Broker broker_;
  Limits limits_;
  Memory memory_;
  std::shared_ptr<Channel> channel_;
  idempotency::ResultStore*
      store_;  // of calls that must not run twice; none: this process's memory is all there is
  std::unordered_map<core::CallId, Running> running_;
  std::map<std::uint64_t, Publishing> unconfirmed_;
  std::deque<Publishing> unsent_;  // refused by the broker, or it has asked for a pause
  net::EventLoop::TimerId reconnect_{}, resend_{}, prune_{};
  Recovery recovery_;
  std::uint64_t last_ref_ = 0;
  bool draining_ = false;

  void connect();
  void on_channel_open() override;
  void on_channel_closed(const Ending& ending) override;
  void delivered(Delivery&& delivery) override;
  void confirmed(std::uint64_t number, bool multiple, bool taken) override;
  bool read_call(const Delivery& delivery, core::Call& out) const;
  bool settled_by_store(const std::string& id, const Delivery& delivery, const Address& address);
  bool out_of_time(const Properties& properties, core::Call& call);
  void prune_later();
  bool record(const std::string& id, idempotency::ResultStage stage, const core::Answer& answer);
  void refuse_call(const std::string& id, bool once, core::CallStatus status, const metrics::Counter& why);
  void answer_delivery(const std::string& id, std::uint64_t tag, const Address& address, bool redelivered);
  void publish(Publishing&& publishing);
  void resend();
};

}  // namespace lotusyard::amqp
