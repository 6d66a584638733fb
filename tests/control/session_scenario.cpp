#include "control/session_scenario.h"

namespace lotusyard::test {

SessionScenario::SessionScenario(std::uint64_t seed) : history_(seed, 200), random_(seed + 1) {
  Session::Config config;
  config.zone = "z1";
  config.region = "r1";
  for (const char* name : {"a", "b", "c"})
    config.nodes.push_back({name, name, name == std::string("a") ? "z1" : "z2", "r1"});
  terms_ = config.terms;
  session_ = std::make_unique<Session>(config, *this, replica_, counters_, seed, now_);
}

void SessionScenario::step(int kind) {
  switch (kind) {
    case 0:
      cursor_ += 1 + random_() % 2;
      break;  // a delta is lost
    case 1:
      cursor_ -= std::min<std::size_t>(cursor_, random_() % 6);
      break;  // sent again
    case 2:
      swap_two_deltas();
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

void SessionScenario::finish() {
  delay_ = Millis(5);
  loses_grants_ = refuses_ = false;
  node_grants_ = true;
  run(Millis(30000));
  RC_ASSERT(session_->open());
  RC_ASSERT(session_->holds_lease(now_));
  RC_ASSERT(replica_.position() == history_.steps[committed_ - 1].index);
  session_->close(now_);
  RC_ASSERT(!session_->holds_lease(now_));
  RC_ASSERT(!connected_);
  closed_ = true;
  run(Millis(10000));
}

void SessionScenario::connect(const control::NodeAddress&) {
  RC_ASSERT(!connected_);
  RC_ASSERT(!closed_);
  connected_ = true;
  sequence_ = answered_ = 0;
  sent_at_.clear();
  send_later({});
}

void SessionScenario::disconnect() {
  RC_ASSERT(connected_);
  connected_ = false;
  in_flight_.clear();
}

void SessionScenario::send(const std::string& frame) {
  RC_ASSERT(connected_);
  control::MessageReader reader(control::kMaxFrameBytesToNode);
  std::vector<control::Message> messages;
  RC_ASSERT(reader.parse(frame, messages));
  for (const control::Message& message : messages)
    handle_at_node(message);
}

void SessionScenario::send_later(std::optional<control::Message> message) {
  const Millis earliest = in_flight_.empty() ? now_ : in_flight_.back().at;
  const double share = static_cast<double>(random_() % 1000) / 1000;
  in_flight_.push_back({std::max(earliest, now_ + delay_ * share), std::move(message)});
}

void SessionScenario::handle_at_node(const control::Message& message) {
  if (const auto* open = std::get_if<control::Open>(&message))
    return on_open(*open);
  if (const auto* renewal = std::get_if<control::Renew>(&message))
    return on_renew(*renewal);
  if (const auto* resume = std::get_if<control::Resume>(&message))
    return serve_from(resume->position);
}

void SessionScenario::on_open(const control::Open& open) {
  RC_ASSERT(open.position == replica_.position());
  if (refuses_)
    return send_later(control::Refusal{control::RefusalReason::busy, Millis(random_() % 300), {}});
  send_later(control::Welcome{"n", 1, {}});
  serve_from(open.position);
}

void SessionScenario::on_renew(const control::Renew& renewal) {
  RC_ASSERT(renewal.sequence == ++sequence_);
  RC_ASSERT(renewal.applied == replica_.position());
  RC_ASSERT(renewal.quiesced_index <= renewal.applied);
  RC_ASSERT(renewal.sequence == 1 || now_ - last_renewal_ >= terms_.heartbeat_interval());
  RC_ASSERT(sequence_ - answered_ <= 4);
  last_renewal_ = now_;
  sent_at_[renewal.sequence] = now_;
  if (loses_grants_)
    return;
  const Millis duration = terms_.lease * (static_cast<double>(500 + random_() % 501) / 1000);
  send_later(control::Grant{renewal.sequence, node_grants_ ? duration : Millis(0)});
}

void SessionScenario::serve_from(Index position) {
  cursor_ = history_.next_after(position);
  if (position != 0 && random_() % 4 != 0)
    return;
  const Index index = history_.steps[committed_ - 1].index;
  for (const auto& chunk : history_.snapshot(index, 16))
    send_later(chunk);
  cursor_ = committed_;
}

void SessionScenario::send_pending() {
  if (committed_ < history_.steps.size() && random_() % 8 == 0)
    ++committed_;
  if (!session_->open())
    return;
  for (; cursor_ < committed_; ++cursor_)
    send_later(history_.delta(cursor_));
}

void SessionScenario::swap_two_deltas() {
  const auto is_delta = [](const InFlight& one) {
    return one.message && std::holds_alternative<control::Delta>(*one.message);
  };
  for (std::size_t i = 0; i + 1 < in_flight_.size(); ++i) {
    if (is_delta(in_flight_[i]) && is_delta(in_flight_[i + 1]))
      return std::swap(in_flight_[i].message, in_flight_[i + 1].message);
  }
}

void SessionScenario::repeat_grant() {
  if (session_->open() && answered_ > 0)
    send_later(control::Grant{answered_, terms_.lease});
}

void SessionScenario::break_connection() {
  if (!connected_)
    return;
  connected_ = false;
  in_flight_.clear();  // messages in flight are lost
  session_->on_disconnected(now_);
  check();
}

void SessionScenario::stop_process(Millis span) {
  now_ += span;
  RC_ASSERT(session_->holds_lease(now_) == (now_ < expected_lease_until_));
  if (random_() % 2 == 0)
    tick();  // either before or after the messages that arrived meanwhile are read
}

void SessionScenario::run(Millis span) {
  const Millis end = now_ + span;
  while (now_ < end) {
    deliver();
    tick();
    send_pending();
    now_ += Millis(10);
  }
}

void SessionScenario::tick() {
  int ticks = 0;
  for (; session_->due() <= now_; ++ticks) {
    RC_ASSERT(ticks < 10);
    session_->tick(now_);
    check();
  }
}

void SessionScenario::deliver() {
  while (!in_flight_.empty() && in_flight_.front().at <= now_) {
    const auto message = std::move(in_flight_.front().message);
    in_flight_.pop_front();
    if (!message) {
      session_->on_connected(now_);
      continue;
    }
    if (const auto* grant = std::get_if<control::Grant>(&*message))
      expect_grant(*grant);
    session_->on_message(control::Message(*message), now_);
    check();
  }
}

void SessionScenario::expect_grant(const control::Grant& grant) {
  if (grant.sequence <= answered_)
    return;
  answered_ = grant.sequence;
  if (grant.duration.count() > 0)
    expected_lease_until_ = std::max(expected_lease_until_, sent_at_.at(grant.sequence) + grant.duration);
}

void SessionScenario::check() {
  RC_ASSERT(session_->lease_until() == expected_lease_until_);
  RC_ASSERT(session_->holds_lease(now_) == (now_ < expected_lease_until_));
  const Index position = replica_.position();
  RC_ASSERT(replica_.records() == (position == 0 ? control::Records() : history_.at(position)));
}

}  // namespace lotusyard::test
