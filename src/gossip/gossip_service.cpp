#include "gossip/gossip_service.h"

#include <algorithm>
#include <random>

namespace lotusyard::gossip {
namespace {

constexpr Millis kLookPace{1000}, kBeginPace{200};
constexpr std::size_t kLongestMessage = 1U << 20;

}  // namespace

GossipService::GossipService(const InvokerServices& wiring, const raft::Config& config,
                             raft::RaftReplica& member, SeesFailure fails, LogSink note)
    : services_(wiring),
      config_(config),
      replica_(member),
      sees_failure_(std::move(fails)),
      log_(std::move(note)) {
  replica_.set_gossip_handler(
      [this](const std::string& from, const std::string& body) { handle_message(from, body); });
  start_protocol();
  observe_hosts();
}

GossipService::~GossipService() {
  replica_.set_gossip_handler({});
  services_.loop.cancel(period_timer_);
  services_.loop.cancel(observation_timer_);
}

// Begins with the member's life: without a store it has none until it has been let in.
void GossipService::start_protocol() {
  const Millis now = services_.loop.now();
  if (!replica_.is_member()) {
    period_timer_ = services_.loop.schedule_at(now + kBeginPace, [this] { start_protocol(); });
    return;
  }
  std::vector<std::string> seed_addresses;
  for (const auto& peer : config_.members) seed_addresses.push_back(peer.address);
  GossipTiming pace;
  pace.period = *config_.view;
  incarnation_ = replica_.incarnation();
  swim_.emplace(MemberRecord{config_.member, config_.address, incarnation_, 0, MemberStatus::joining, {}},
                seed_addresses, pace, std::random_device{}(), now);
  if (serving_) swim_->serve(now);
  run_period();
}

void GossipService::leave() {
  if (!swim_) return;
  swim_->leave(services_.loop.now());
  send_outgoing();
}

void GossipService::serve() {
  if (!std::exchange(serving_, true) && swim_) swim_->serve(services_.loop.now());
}

void GossipService::run_period() {
  const Millis now = services_.loop.now();
  if (replica_.incarnation() != incarnation_) {  // it was said to be gone, and has begun anew
    swim_.reset();
    return start_protocol();
  }
  swim_->tick(now);
  send_outgoing();
  const Millis due = std::min(swim_->next_deadline(), now + config_.view.value());
  period_timer_ = services_.loop.schedule_at(std::max(due, now + Millis(1)), [this] { run_period(); });
}

void GossipService::observe_hosts() {
  observation_timer_ =
      services_.loop.schedule_at(services_.loop.now() + kLookPace, [this] { observe_hosts(); });
  if (!swim_) return;
  std::set<std::string> listed, observers;
  for (const auto& [id, member] : services_.endpoint_states.listed_hosts()) {
    listed.insert(id);
    swim_->observe(id, member.entry.started.count(), !sees_failure_(id));
  }
  for (const auto& [name, known] : swim_->member_table().all()) {
    if (is_present(known.record.status)) observers.insert(name);
  }
  swim_->metadata().retain(listed, observers);
}

void GossipService::handle_message(const std::string& member, const std::string& body) {
  if (!swim_) return;
  const auto message = body.size() > kLongestMessage ? std::nullopt : decode_message(body);
  if (!message || message->self.name != member) return services_.counters.add("view.malformed");
  services_.counters.add("view.heard");
  swim_->receive(services_.loop.now(), *message);
  send_outgoing();
}

void GossipService::send_outgoing() {
  for (const auto& out : swim_->take_outgoing()) {
    const bool went = replica_.send_gossip(out.address, encode_message(out.message));
    services_.counters.add(went ? "view.sent" : "view.not_sent");
  }
  const auto changes = swim_->take_changes();
  for (const auto& peer : changes) {
    services_.counters.add(std::string("view.") + name_of(peer.status));
    log_("of=" + peer.name + " life=" + std::to_string(peer.incarnation) +
         " standing=" + name_of(peer.status) +
         (swim_->is_superseded() && peer.name == config_.member
              ? " usurped: another process goes by this name"
              : ""));
  }
  if (!changes.empty() && change_handler_) change_handler_();
}

std::size_t GossipService::present_members() const {
  if (!swim_) return 0;
  const auto& all = swim_->member_table().all();
  return static_cast<std::size_t>(std::count_if(all.begin(), all.end(), [](const auto& entry) {
    return is_present(entry.second.record.status) && entry.second.record.status != MemberStatus::joining;
  }));
}

nlohmann::json GossipService::status_to_json() const {
  nlohmann::json members = nlohmann::json::object(), hosts = nlohmann::json::object();
  if (!swim_) return {{"member", config_.member}, {"members", members}, {"hosts", hosts}};
  for (const auto& [name, known] : swim_->member_table().all()) {
    members[name] = {{"standing", name_of(known.record.status)},
                     {"life", known.record.incarnation},
                     {"round", known.record.refutation},
                     {"address", known.record.address},
                     {"for_ms", static_cast<std::int64_t>((services_.loop.now() - known.since).count())}};
  }
  for (const auto& [id, member] : services_.endpoint_states.listed_hosts())
    hosts[id] = {{"fails_for", swim_->metadata().failure_reports(id)}};
  return {{"member", config_.member},
          {"doubts", swim_->health_multiplier()},
          {"usurped", swim_->is_superseded()},
          {"members", members},
          {"hosts", hosts}};
}

}  // namespace lotusyard::gossip
