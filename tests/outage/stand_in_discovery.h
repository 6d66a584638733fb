// Stand-in for the discovery service: a stream of events and heartbeats that can fail in several ways.
#pragma once

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "net/buffered_connection.h"
#include "support/invoker_fixture.h"
#include "support/loopback_server.h"
#include "support/service_harness.h"

namespace lotusyard::test::outage {

// How the service fails. In each form events are published, and readers do not receive them.
enum class OutageForm {
  none,
  refused,        // the service does not listen
  reset_at_once,  // each connection is closed as soon as it is accepted
  silent,         // connections stay open, and nothing is sent
  broken_event,   // the stream stops within an event
  trickle,        // an event is sent byte by byte
  withheld,       // heartbeats continue with the old sequence number, and no event is sent
  gap,            // the heartbeats name events that are never sent
  garbage,
  slow_answer  // a new connection is answered after kSlowAnswer
};

class StandInDiscovery {
 public:
  static constexpr Millis kHeartbeat{1000};
  static constexpr Millis kSlowAnswer{2500};

  explicit StandInDiscovery(InvokerFixture& fixture) : fixture_(fixture) { listen(free_address()); }
  ~StandInDiscovery() { fixture_.loop.cancel(heartbeat_timer_); }

  const std::string& address() const { return address_; }
  std::uint64_t last() const { return events_.size(); }
  // The events up to now, in the form of an invoker's configuration.
  nlohmann::json to_configuration() const {
    nlohmann::json results = nlohmann::json::array();
    for (const auto& event : events_)
      results.push_back(nlohmann::json::parse(event));
    return {{"seq", last()}, {"results", results}};
  }

  void publish(const nlohmann::json& members) {
    const nlohmann::json event = {{"seq", last() + 1},
                                  {"fleet", {{"complete", events_.empty()}, {"members", members}}}};
    events_.push_back(event.dump() + "\n");
    for (const auto& peer : peers())
      peer->catch_up();
  }

  // Fails in this form from now on; OutageForm::none ends the failure.
  void fail(OutageForm form) {
    form_ = form;
    withheld_after_ = form == OutageForm::none ? std::nullopt : std::optional<std::uint64_t>(last());
    if (form == OutageForm::none || form == OutageForm::refused || form == OutageForm::reset_at_once ||
        form == OutageForm::slow_answer)
      close_connections();
    if (form == OutageForm::refused)
      server_.reset();
    if (form != OutageForm::refused && !server_)
      listen(address_);
    for (const auto& peer : peers())
      peer->begin_failure();
  }

 private:
  class Peer final : public net::BufferedConnection {
   public:
    Peer(StandInDiscovery& service, net::EventLoop& loop, net::BufferPool& pool, net::Socket socket)
        : BufferedConnection(loop, pool, std::move(socket), false), service_(service) {
      if (service_.form_ == OutageForm::reset_at_once)
        close_later();
    }
    ~Peer() override { loop().cancel(answer_timer_); }

    void catch_up() {
      if (!subscribed_)
        return;
      const std::uint64_t visible = service_.visible();
      for (; next_ < visible; ++next_)
        write(service_.events_[next_]);
    }
    void heartbeat() {
      if (!subscribed_)
        return;
      catch_up();
      switch (service_.form_) {
        case OutageForm::silent:
        case OutageForm::broken_event:
        case OutageForm::trickle:
          return;
        case OutageForm::gap:
          // Larger than the last number of any reader, even one that has newer events from its configuration.
          return write_number(service_.last() + 1);
        case OutageForm::garbage:
          return write("{]\n");
        default:
          return write_number(service_.visible());
      }
    }
    void begin_failure() {
      if (service_.form_ == OutageForm::broken_event)
        write(R"({"seq":)" + std::to_string(service_.last() + 1) + R"(,"fleet":{"comp)");
      if (service_.form_ == OutageForm::trickle)
        trickle();
    }

   private:
    StandInDiscovery& service_;
    int heartbeats_ = 0;
    std::uint64_t next_ = 0;
    bool subscribed_ = false;
    net::EventLoop::TimerId answer_timer_{};

    void on_received(std::string_view bytes) override {
      const auto words = std::string(bytes);
      if (words.compare(0, 6, "since ") != 0)
        return;
      next_ = std::stoull(words.substr(6));
      const bool is_slow = service_.form_ == OutageForm::slow_answer;
      answer_timer_ = loop().schedule_at(loop().now() + (is_slow ? kSlowAnswer : Millis(0)), [this] {
        subscribed_ = true;
        begin_failure();
        heartbeat();
      });
    }
    // Alternates between the two valid forms: the bare number, and an object with nothing else.
    void write_number(std::uint64_t number) {
      const std::string digits = std::to_string(number);
      write(++heartbeats_ % 2 == 0 ? digits + "\n" : "{\"seq\":" + digits + "}\n");
    }
    void trickle() {
      if (service_.form_ != OutageForm::trickle)
        return;
      write("{");
      answer_timer_ = loop().schedule_at(loop().now() + Millis(100), [this] { trickle(); });
    }
    void on_closed() override {
      loop().cancel(answer_timer_);
      if (service_.server_)
        service_.server_->remove(*this);
    }
  };

  InvokerFixture& fixture_;
  std::string address_;
  std::unique_ptr<LoopbackServer<Peer, StandInDiscovery>> server_;
  std::vector<std::string> events_;
  OutageForm form_ = OutageForm::none;
  std::optional<std::uint64_t> withheld_after_;
  net::EventLoop::TimerId heartbeat_timer_{};

  // The number of events that a reader can receive. A slow service delivers all of them.
  std::uint64_t visible() const {
    const bool is_slow = form_ == OutageForm::slow_answer;
    return withheld_after_ && !is_slow ? std::min(*withheld_after_, last()) : last();
  }
  std::list<std::shared_ptr<Peer>> peers() const {
    return server_ ? server_->peers : std::list<std::shared_ptr<Peer>>();
  }
  void close_connections() {
    for (const auto& peer : peers())
      peer->close_later();
  }
  void listen(const std::string& address) {
    server_ = std::make_unique<LoopbackServer<Peer, StandInDiscovery>>(fixture_.loop, fixture_.pool, *this,
                                                                       address);
    address_ = server_->address();
    schedule_heartbeat();
  }
  void schedule_heartbeat() {
    fixture_.loop.cancel(heartbeat_timer_);
    heartbeat_timer_ = fixture_.loop.schedule_at(fixture_.loop.now() + kHeartbeat, [this] {
      for (const auto& peer : peers())
        peer->heartbeat();
      schedule_heartbeat();
    });
  }
};

}  // namespace lotusyard::test::outage
