// A session among faulty nodes on a virtual clock, and beside it a model of the lease that it may hold: each
// grant counts from the moment at which its renewal was sent, and nothing else does.
#pragma once

#include <deque>

#include "control/history.h"
#include "control/session.h"

namespace lotusyard::test {

using control::Index;
using control::Millis;
using control::Session;

class SessionWorld final : public Session::Transport {
 public:
  explicit SessionWorld(std::uint64_t seed) : history_(seed, 200), random_(seed + 1) {
    Session::Config config;
    config.zone = "z1";
    config.region = "r1";
    for (const char* name : {"a", "b", "c"})
      config.nodes.push_back({name, name, name == std::string("a") ? "z1" : "z2", "r1"});
    terms_ = config.terms;
    session_ = std::make_unique<Session>(config, *this, replica_, counters_, seed, now_);
  }

  // One step of a course: a fault or its end, or some time in which all goes on.
  void step(int what) {
    switch (what) {
      case 0:
        cursor_ += 1 + random_() % 2;
        break;  // a delta is lost
      case 1:
        cursor_ -= std::min<std::size_t>(cursor_, random_() % 6);
        break;  // sent again
      case 2:
        swap_deltas();
        break;
      case 3:
        break_connection();
        break;
      case 4:
        stop_process(Millis(static_cast<double>(random_() % 12000)));
        break;
      case 5:
        delay_ = Millis(static_cast<double>(random_() % 2000));
        break;
      case 6:
        loses_grants_ = !loses_grants_;
        break;
      case 7:
        node_grants_ = !node_grants_;
        break;
      case 8:
        refuses_ = !refuses_;
        break;
      case 9:
        repeat_grant();
        break;
      default:
        run(Millis(static_cast<double>(random_() % 4000)));
        break;
    }
  }
  // All faults end; the session must come to hold a lease, and the replica to hold everything.
  void finish() {
    delay_ = Millis(5);
    loses_grants_ = refuses_ = false;
    node_grants_ = true;
    run(Millis(30000));
    RC_ASSERT(session_->open());
    RC_ASSERT(session_->holds(now_));
    RC_ASSERT(replica_.position() == history_.steps[committed_ - 1].index);
    session_->close(now_);
    RC_ASSERT(!session_->holds(now_));
    RC_ASSERT(!linked_);
    closed_ = true;
    run(Millis(10000));
  }

  const metrics::Counters& counters() const { return counters_; }

  void connect(const control::NodeAddress&) override {
    RC_ASSERT(!linked_);
    RC_ASSERT(!closed_);
    linked_ = true;
    sequence_ = answered_ = 0;
    sent_at_.clear();
    send_later({});
  }
  void disconnect() override {
    RC_ASSERT(linked_);
    linked_ = false;
    flights_.clear();
  }
  void send(const std::string& frame) override {
    RC_ASSERT(linked_);
    control::MessageReader reader(control::longest_to_node);
    std::vector<control::Message> messages;
    RC_ASSERT(reader.parse(frame, messages));
    for (const control::Message& message : messages)
      at_node(message);
  }

 private:
  // What is on its way to the session; without a message: the connection stands.
  struct Flight {
    Millis at{0};
    std::optional<control::Message> message;
  };
  History history_;
  std::mt19937_64 random_;
  raft::LeaseTerms terms_;
  control::Replica replica_;
  metrics::Counters counters_;
  std::unique_ptr<Session> session_;
  Millis now_{1000}, delay_{5};
  std::deque<Flight> flights_;
  bool linked_ = false, closed_ = false, loses_grants_ = false, node_grants_ = true, refuses_ = false;
  std::size_t cursor_ = 0, committed_ = 1;     // steps of the history: what the node sends next, and may send
  std::uint64_t sequence_ = 0, answered_ = 0;  // on this connection: renewals sent, and the last one granted
  std::map<std::uint64_t, Millis> sent_at_;
  Millis last_renewal_{0}, may_hold_until_{0};

  void send_later(std::optional<control::Message> message) {
    const Millis earliest = flights_.empty() ? now_ : flights_.back().at;
    const double share = static_cast<double>(random_() % 1000) / 1000;
    flights_.push_back({std::max(earliest, now_ + delay_ * share), std::move(message)});
  }
  void at_node(const control::Message& message) {
    if (const auto* open = std::get_if<control::Open>(&message))
      return on_open(*open);
    if (const auto* renewal = std::get_if<control::Renew>(&message))
      return on_renew(*renewal);
    if (const auto* resume = std::get_if<control::Resume>(&message))
      return serve_from(resume->position);
  }
  void on_open(const control::Open& open) {
    RC_ASSERT(open.position == replica_.position());
    if (refuses_)
      return send_later(control::Refusal{control::RefusalReason::busy, Millis(random_() % 300), {}});
    send_later(control::Welcome{"n", 1, {}});
    serve_from(open.position);
  }
  void on_renew(const control::Renew& renewal) {
    RC_ASSERT(renewal.sequence == ++sequence_);
    RC_ASSERT(renewal.applied == replica_.position());
    RC_ASSERT(renewal.settled <= renewal.applied);
    RC_ASSERT(renewal.sequence == 1 || now_ - last_renewal_ >= terms_.heartbeat_interval());
    RC_ASSERT(sequence_ - answered_ <= 4);
    last_renewal_ = now_;
    sent_at_[renewal.sequence] = now_;
    if (loses_grants_)
      return;
    const Millis duration = terms_.lease * (static_cast<double>(500 + random_() % 501) / 1000);
    send_later(control::Grant{renewal.sequence, node_grants_ ? duration : Millis(0)});
  }
  // From there on: a snapshot where the replica holds nothing, and at times otherwise.
  void serve_from(Index position) {
    cursor_ = history_.next_after(position);
    if (position != 0 && random_() % 4 != 0)
      return;
    const Index index = history_.steps[committed_ - 1].index;
    for (const auto& chunk : history_.snapshot(index, 16))
      send_later(chunk);
    cursor_ = committed_;
  }
  void pump() {
    if (committed_ < history_.steps.size() && random_() % 8 == 0)
      ++committed_;
    if (!session_->open())
      return;
    for (; cursor_ < committed_; ++cursor_)
      send_later(history_.delta(cursor_));
  }
  void swap_deltas() {
    const auto is_delta = [](const Flight& one) {
      return one.message && std::holds_alternative<control::Delta>(*one.message);
    };
    for (std::size_t i = 0; i + 1 < flights_.size(); ++i) {
      if (is_delta(flights_[i]) && is_delta(flights_[i + 1]))
        return std::swap(flights_[i].message, flights_[i + 1].message);
    }
  }
  void repeat_grant() {
    if (session_->open() && answered_ > 0)
      send_later(control::Grant{answered_, terms_.lease});
  }
  void break_connection() {
    if (!linked_)
      return;
    linked_ = false;
    flights_.clear();  // what was on its way is lost
    session_->disconnected(now_);
    check();
  }
  void stop_process(Millis span) {
    now_ += span;
    RC_ASSERT(session_->holds(now_) == (now_ < may_hold_until_));
    if (random_() % 2 == 0)
      tick();  // before what has come in the meantime is read, or after
  }
  void run(Millis span) {
    const Millis end = now_ + span;
    while (now_ < end) {
      deliver();
      tick();
      pump();
      now_ += Millis(10);
    }
  }
  // Ticks at the due time come to an end.
  void tick() {
    int ticks = 0;
    for (; session_->due() <= now_; ++ticks) {
      RC_ASSERT(ticks < 10);
      session_->tick(now_);
      check();
    }
  }
  void deliver() {
    while (!flights_.empty() && flights_.front().at <= now_) {
      const auto message = std::move(flights_.front().message);
      flights_.pop_front();
      if (!message) {
        session_->connected(now_);
        continue;
      }
      if (const auto* grant = std::get_if<control::Grant>(&*message))
        expect_grant(*grant);
      session_->received(control::Message(*message), now_);
      check();
    }
  }
  // An answer counts once, from the sending of what it answers.
  void expect_grant(const control::Grant& grant) {
    if (grant.sequence <= answered_)
      return;
    answered_ = grant.sequence;
    if (grant.duration.count() > 0)
      may_hold_until_ = std::max(may_hold_until_, sent_at_.at(grant.sequence) + grant.duration);
  }
  void check() {
    RC_ASSERT(session_->lease_until() == may_hold_until_);
    RC_ASSERT(session_->holds(now_) == (now_ < may_hold_until_));
    const Index position = replica_.position();
    RC_ASSERT(replica_.records() == (position == 0 ? control::Records() : history_.at(position)));
  }
};

}  // namespace lotusyard::test
