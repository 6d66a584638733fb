#include "amqp/front_end.h"

#include <algorithm>
#include <cmath>
#include <iostream>

#include "amqp/message_times.h"
#include "metrics/amqp_counters.h"
#include "net/fields.h"

namespace lotusyard::amqp {
namespace {

using core::CallStatus;
using core::Millis;

constexpr Millis kResendAfter{200};
constexpr Millis kPrunePace{10000};
constexpr std::size_t kAddressesKept = 8;
constexpr std::uint64_t kLongestAllow = 3600 * 1000;

std::string text_of(const Table& headers, const std::string& name) {
  const auto found = headers.find(name);
  if (found == headers.end())
    return {};
  if (const auto* text = std::get_if<std::string>(&found->second))
    return *text;
  if (const auto* whole = std::get_if<std::int64_t>(&found->second))
    return std::to_string(*whole);
  if (const auto* real = std::get_if<double>(&found->second))
    return std::to_string(*real);
  return {};
}

// A message without an id is told from others by where its answer goes.
std::string id_of(const Properties& p) {
  return p.message_id.empty() ? "\n" + p.reply_to + "\n" + p.correlation_id : p.message_id;
}

}  // namespace

FrontEnd::FrontEnd(net::EventLoop& loop, net::BufferPool& pool, core::Dispatcher& dispatcher,
                   metrics::Counters& counters, const core::Settings& settings, Broker broker, Limits limits,
                   idempotency::ResultStore* store)
    : loop_(loop),
      pool_(pool),
      dispatcher_(dispatcher),
      counters_(counters),
      settings_(settings),
      broker_(std::move(broker)),
      limits_(limits),
      memory_(limits.remembered, limits.remembered_bytes),
      store_(store),
      recovery_(broker_.addresses, settings.seed),
      last_ref_(settings.seed) {
  if (store_ != nullptr)
    prune_later();
}

FrontEnd::~FrontEnd() {
  loop_.cancel(reconnect_);
  loop_.cancel(resend_);
  loop_.cancel(prune_);
}

void FrontEnd::prune_later() {
  store_->prune(loop_.now());
  prune_ = loop_.schedule_at(loop_.now() + kPrunePace, [this] { prune_later(); });
}

void FrontEnd::connect() {
  net::ConnectResult connection = net::connect_to(recovery_.address());
  net::count_connect_error(loop_, connection);
  if (!connection)
    return on_channel_closed(Ending());
  Consumer& consumer = *this;
  channel_ =
      std::make_shared<Channel>(loop_, pool_, counters_, broker_, consumer, std::move(connection.socket));
}

void FrontEnd::on_channel_open() {
  counters_.add(metrics::kAmqpUp);
  resend();
}

// Deliveries that are not acknowledged come again, here or elsewhere; the tags of this channel mean nothing
// now.
void FrontEnd::on_channel_closed(const Ending& ending) {
  counters_.add(metrics::kAmqpDown);
  unconfirmed_.clear();
  unsent_.clear();
  memory_.forget_waiters();
  if (channel_)
    loop_.delete_later(std::move(channel_));
  channel_.reset();
  loop_.cancel(reconnect_);
  if (draining_)
    return;
  const Plan plan = recovery_.after(ending);
  if (!plan.say.empty()) {
    counters_.add(metrics::kAmqpRefused);
    std::cerr << "lotusyard: amqp: " << plan.say << std::endl;
  }
  reconnect_ = loop_.schedule_at(loop_.now() + plan.wait, [this] { connect(); });
}

void FrontEnd::drain() {
  draining_ = true;
  loop_.cancel(reconnect_);
  if (channel_)
    channel_->stop_consuming();
}

bool FrontEnd::done() const {
  return running_.empty() && (!channel_ || !channel_->up() || (unconfirmed_.empty() && unsent_.empty()));
}

void FrontEnd::close() {
  if (channel_)
    channel_->close();
}

bool FrontEnd::read_call(const Delivery& delivery, core::Call& out) const {
  const Table& headers = delivery.properties.headers;
  const auto* call_class =
      core::class_named(settings_, text_of(headers, "class"));  // its limit is the `allow`
  const auto function = net::parse_hex16(text_of(headers, "lookup"));
  if (delivery.oversized || delivery.properties.message_id.empty() || call_class == nullptr || !function)
    return false;
  const std::string allow = text_of(headers, "allow"), memory = text_of(headers, "memory_mb");
  const std::string lanes = text_of(headers, "lanes");
  const auto allowed = net::parse_whole(allow, kLongestAllow);
  const auto megabytes = net::parse_number(memory);
  const auto at_once = net::parse_whole(lanes, INT32_MAX);
  if ((!allow.empty() && !allowed) || (!memory.empty() && !megabytes) || (!lanes.empty() && !at_once))
    return false;
  out.class_name = call_class->name;
  out.tenant = text_of(headers, "project");
  out.function = *function;
  out.function_name = text_of(headers, "lookup");
  out.cost_hint = net::parse_number(text_of(headers, "effort"));
  out.memory_mb = megabytes.value_or(0);
  out.lanes = static_cast<int>(at_once.value_or(1));
  // The id stands for the same call however often it comes, as a key does.
  const std::string key = text_of(headers, "key");
  if (call_class->semantics == policy::Semantics::idempotent_with_key)
    out.key = key.empty() ? delivery.properties.message_id : key;
  out.arrived = loop_.earliest_arrival();
  out.timeout = allowed ? Millis(static_cast<double>(*allowed)) : call_class->deadline;
  return true;
}

void FrontEnd::delivered(Delivery&& delivery) {
  const Properties& p = delivery.properties;
  const std::uint64_t tag = delivery.tag;
  if (p.reply_to.empty() || (p.correlation_id.empty() && p.message_id.empty())) {
    counters_.add(metrics::kAmqpUnanswerable);
    return channel_->reject(tag);
  }
  const Address address{p.reply_to, p.correlation_id.empty() ? p.message_id : p.correlation_id};
  const std::string id = id_of(p);
  if (Remembered* known = memory_.find(id)) {
    if (!known->answer) {
      counters_.add(metrics::kAmqpJoined);
      known->waiters.push_back({tag, address});
      return;
    }
    // One sent anew after a refusal, or a failure that does no harm, is a further try.
    const bool harmless = known->answer->status == CallStatus::rejected ||
                          (known->answer->status == CallStatus::failed && !known->once);
    if (delivery.redelivered || !harmless) {
      counters_.add(metrics::kAmqpRemembered);
      return answer_delivery(id, tag, address, delivery.redelivered);
    }
  }
  core::Call call;
  if (!read_call(delivery, call)) {
    refuse_call(id, false, CallStatus::failed, metrics::kAmqpBadCall);
    return answer_delivery(id, tag, address, delivery.redelivered);
  }
  const auto* call_class = core::class_named(settings_, call.class_name);
  const bool once = call_class->semantics == policy::Semantics::non_idempotent;
  const bool keyed = call_class->semantics == policy::Semantics::idempotent_with_key;
  const auto age = age_at_most(p, loop_.wall_time(call_class->key_window));
  if (out_of_time(p, call)) {
    refuse_call(id, once, CallStatus::rejected, metrics::kAmqpExpired);
    return answer_delivery(id, tag, address, delivery.redelivered);
  }
  if (once && store_ != nullptr) {
    if (settled_by_store(id, delivery, address))
      return;
  } else if (delivery.redelivered && (once || (keyed && !age))) {
    // Another process, or this one before a restart or in a time now forgotten, may have run it; of a
    // keyed one only when it was published can show that its window is open.
    refuse_call(id, once, CallStatus::failed, metrics::kAmqpMayHaveRun);
    return answer_delivery(id, tag, address, delivery.redelivered);
  }
  if (keyed && delivery.redelivered)
    call.may_have_run_since = call.arrived - *age;
  if (running_.size() >= limits_.open_calls) {
    refuse_call(id, once, CallStatus::rejected, metrics::kAmqpTooManyOpen);
    return answer_delivery(id, tag, address, delivery.redelivered);
  }
  // The hosts want 16 hex digits that no open call has; ids of messages may be anything.
  call.ref = net::hex16(++last_ref_);
  call.body = std::move(delivery.body);
  memory_.begin(id, once).waiters.push_back({tag, address});
  const core::CallId number = dispatcher_.allocate_call_id();
  running_[number] = {id, once, false};
  const auto rejection = dispatcher_.admit(number, std::move(call), *this);
  if (rejection)
    answer(number, core::Answer());
}

// A call whose time ran out while it stood in the queue would run for nobody. Judged by the clock as
// it is set now: by its setting at the start, every call would be out of time for good once it has been set
// back.
bool FrontEnd::out_of_time(const Properties& p, core::Call& call) {
  const auto left = time_left(p, loop_.wall_time());
  if (!left)
    return false;
  const Millis since_arrival = loop_.now() - call.arrived;
  call.timeout = std::min(call.timeout, *left + since_arrival);
  return call.timeout.count() <= 0;
}

// True if what the store tells ends this delivery, answered.
bool FrontEnd::settled_by_store(const std::string& id, const Delivery& delivery, const Address& address) {
  std::optional<idempotency::ResultRecord> known;
  idempotency::StoreTrust trust;
  trust.healthy = store_->find(id, known);
  trust.sole_consumer = limits_.sole_consumer;
  trust.complete_from = store_->complete_from();
  trust.now = loop_.now();
  idempotency::DeliveryFacts arrival{delivery.redelivered, std::nullopt};
  const auto& timestamp = delivery.properties.timestamp;
  if (timestamp)
    arrival.published = Millis(static_cast<double>(*timestamp) * 1000);
  switch (idempotency::decide(known, arrival, trust)) {
    case idempotency::Decision::run:
      return false;
    case idempotency::Decision::fail_may_have_run:
      refuse_call(id, true, CallStatus::failed, metrics::kAmqpMayHaveRun);
      break;
    case idempotency::Decision::refuse_unrecorded:
      refuse_call(id, true, CallStatus::rejected, metrics::kAmqpUnrecorded);
      break;
    case idempotency::Decision::answer:
      counters_.add(metrics::kAmqpAnsweredFromStore);
      Remembered& remembered = memory_.begin(id, true);
      if (known->stage == idempotency::ResultStage::confirmed && known->address == address.text())
        remembered.confirmed.push_back(address);
      memory_.end(id, std::move(known->answer));
  }
  answer_delivery(id, delivery.tag, address, delivery.redelivered);
  return true;
}

bool FrontEnd::record(const std::string& id, idempotency::ResultStage stage, const core::Answer& answer) {
  idempotency::ResultRecord entry;
  entry.stage = stage;
  entry.answer = answer;
  entry.at = loop_.now();
  return store_->put(id, entry);
}

bool FrontEnd::before_attempt(core::CallId call) {
  const auto found = running_.find(call);
  if (store_ == nullptr || found == running_.end() || !found->second.once)
    return true;
  if (!record(found->second.id, idempotency::ResultStage::sent, core::Answer()))
    return false;
  return found->second.recorded = true;
}

void FrontEnd::proved_not_run(core::CallId call) {
  const auto found = running_.find(call);
  if (store_ == nullptr || found == running_.end() || !found->second.recorded)
    return;
  // If this is not taken the call counts as one that may have run: the safe side.
  record(found->second.id, idempotency::ResultStage::cleared, core::Answer());
}

// With its connection a delivery goes back to its queue: nothing begins for a call until it is delivered here
// again. To another consumer it may have been meanwhile.
core::FrontEnd::ClientState FrontEnd::client_state(core::CallId call, core::Millis) {
  const auto found = running_.find(call);
  if (found == running_.end())
    return ClientState::disconnected;
  const bool connected = channel_ && channel_->up() && channel_->peer_state() != net::PeerState::disconnected;
  const Remembered* known = memory_.find(found->second.id);
  return connected && known != nullptr && !known->waiters.empty() ? ClientState::waiting
                                                                  : ClientState::has_unread_input;
}

void FrontEnd::refuse_call(const std::string& id, bool once, CallStatus status, const metrics::Counter& why) {
  counters_.add(why);
  memory_.begin(id, once);
  memory_.end(id, {status, Millis(0), {}});
}

void FrontEnd::answer(core::CallId call, core::Answer&& answer) {
  const auto found = running_.find(call);
  if (found == running_.end())
    return;
  const Running running = found->second;
  const std::string& id = running.id;
  running_.erase(found);
  // First: once the broker has it the answer must stand here too.
  if (running.recorded)
    record(id, idempotency::ResultStage::answered, answer);
  Remembered* known = memory_.find(id);
  if (known == nullptr)
    return;
  const auto waiters = std::move(known->waiters);
  known->waiters.clear();
  memory_.end(id, std::move(answer));
  if (waiters.empty())
    counters_.add(metrics::kAmqpAnswersKept);  // until its delivery comes again
  for (const auto& waiter : waiters)
    answer_delivery(id, waiter.tag, waiter.address, true);
}

// One answer for each address: a further delivery of the same call waits for the same confirm, or needs none.
void FrontEnd::answer_delivery(const std::string& id, std::uint64_t tag, const Address& address,
                               bool redelivered) {
  const auto same = [&](const Publishing& p) { return p.id == id && p.address == address; };
  for (auto& [number, publishing] : unconfirmed_) {
    if (same(publishing))
      return publishing.tags.push_back(tag);
  }
  for (auto& publishing : unsent_) {
    if (same(publishing))
      return publishing.tags.push_back(tag);
  }
  const Remembered& known = *memory_.find(id);
  const bool held =
      std::find(known.confirmed.begin(), known.confirmed.end(), address) != known.confirmed.end();
  if (held && redelivered)
    return channel_->ack(tag);  // only our ack was lost, not the answer
  publish({id, address, known.answer, {tag}});
}

void FrontEnd::publish(Publishing&& publishing) {
  if (!channel_->may_publish()) {
    unsent_.push_back(std::move(publishing));
    return;
  }
  const core::Answer& answer = *publishing.answer;
  static const char* const words[] = {"OK", "BUSY", "FAILED"};
  Properties p;
  p.content_type = "application/octet-stream";
  p.correlation_id = publishing.address.correlation_id;
  if (publishing.id.front() != '\n')
    p.message_id = publishing.id;
  p.delivery_mode = 2;
  p.headers["word"] = std::string(words[static_cast<std::size_t>(answer.status)]);
  if (answer.retry_after.count() > 0) {
    p.headers["cooldown"] = static_cast<std::int64_t>(std::ceil(answer.retry_after.count()));
  }
  const std::uint64_t number = channel_->publish(publishing.address.reply_to, p, answer.body);
  unconfirmed_.emplace(number, std::move(publishing));
}

void FrontEnd::confirmed(std::uint64_t number, bool multiple, bool taken) {
  if (multiple && number == 0)
    number = UINT64_MAX;  // the specification's "all so far"
  const auto first = multiple ? unconfirmed_.begin() : unconfirmed_.find(number);
  const auto last = multiple                      ? unconfirmed_.upper_bound(number)
                    : first == unconfirmed_.end() ? first
                                                  : std::next(first);
  std::vector<Publishing> ended;
  for (auto i = first; i != last; ++i)
    ended.push_back(std::move(i->second));
  unconfirmed_.erase(first, last);
  for (auto& publishing : ended) {
    if (!taken) {
      counters_.add(metrics::kAmqpNacked);
      unsent_.push_back(std::move(publishing));
      loop_.cancel(resend_);
      resend_ = loop_.schedule_at(loop_.now() + kResendAfter, [this] { resend(); });
      continue;
    }
    if (Remembered* known = memory_.find(publishing.id)) {
      if (known->confirmed.size() >= kAddressesKept)
        known->confirmed.erase(known->confirmed.begin());
      known->confirmed.push_back(publishing.address);
      std::optional<idempotency::ResultRecord> entry;
      if (store_ != nullptr && known->once && store_->find(publishing.id, entry) && entry &&
          entry->stage >= idempotency::ResultStage::answered) {
        entry->stage = idempotency::ResultStage::confirmed;
        entry->at = loop_.now();
        entry->address = publishing.address.text();
        store_->put(publishing.id, *entry);
      }
    }
    for (const auto tag : publishing.tags)
      channel_->ack(tag);
  }
}

void FrontEnd::resend() {
  for (std::size_t left = unsent_.size(); left > 0 && channel_ && channel_->may_publish(); --left) {
    Publishing next = std::move(unsent_.front());
    unsent_.pop_front();
    publish(std::move(next));
  }
}

}  // namespace lotusyard::amqp
