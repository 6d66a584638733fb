#include "raft/raft_core.h"

#include <algorithm>
#include <utility>

#include "raft/message_codec.h"
#include "raft/raft_buffer.h"
#include "raft/raft_requests.h"

namespace lotusyard::raft {
namespace {

constexpr unsigned kSnapshotThreshold = 1024;  // entries after the last snapshot that trigger the next one
constexpr unsigned kTrailingEntries = 256;     // entries retained before a snapshot, for slow followers
constexpr int kHeartbeatsPerElectionTimeout = 5;
constexpr std::uint64_t kFirstTerm = 1;  // of the entry that bootstraps a group

std::string consensus_error(const std::string& reason) { return "the group's consensus: " + reason; }

}  // namespace

RaftCore::RaftCore(Scheduler& scheduler, LogStore& store, Delegate& delegate, std::uint64_t id,
                   const std::string& address, Millis election_timeout, std::uint64_t seed)
    : scheduler_(scheduler),
      store_(store),
      delegate_(delegate),
      id_(id),
      address_(address),
      election_timeout_(election_timeout),
      random_(seed) {
  set_io_callbacks();
  set_state_machine_callbacks();
  const bool started = start() == 0;
  const bool starts_later = suspended_ && !failed_;
  if (started || starts_later) {
    return;
  }
  const std::string reason = raft_errmsg(&raft_);
  close();
  throw LogStoreError(consensus_error(reason));
}

RaftCore::~RaftCore() { close(); }

int RaftCore::start() {
  raft_ = {};
  match_tracker_ = MatchTracker();
  if (raft_init(&raft_, &io_, &fsm_, id_, address_.c_str()) != 0) {
    throw LogStoreError(consensus_error(raft_errmsg(&raft_)), sqlite::ResultKind::no_memory);
  }
  running_ = true;
  raft_.data = this;
  const auto election_timeout = election_timeout_.count();
  raft_set_election_timeout(&raft_, static_cast<unsigned>(election_timeout));
  raft_set_heartbeat_timeout(&raft_, static_cast<unsigned>(election_timeout / kHeartbeatsPerElectionTimeout));
  raft_set_snapshot_threshold(&raft_, kSnapshotThreshold);
  raft_set_snapshot_trailing(&raft_, kTrailingEntries);
  // Without a pre-vote a member that was partitioned would depose the leader when it reconnects.
  raft_set_pre_vote(&raft_, true);
  return raft_start(&raft_);
}

// Makes the deferred calls and leaves no timer of this object with the scheduler.
void RaftCore::close() {
  stop_instance();
  while (!deferred_.empty()) {
    run_deferred();
  }
  scheduler_.cancel(deferred_timer_);
  scheduler_.cancel(tick_timer_);
  scheduler_.cancel(restart_timer_);
}

// Must not be called from within a call of libraft. Calls that were deferred before are made before the
// instance has ended.
void RaftCore::stop_instance() {
  if (!running_ || closing_) {
    return;
  }
  last_servers_ = servers();
  closing_ = true;
  raft_close(&raft_, [](::raft* instance) { static_cast<RaftCore*>(instance->data)->on_instance_closed(); });
}

void RaftCore::on_instance_closed() {
  running_ = false;
  closing_ = false;
  if (suspended_ && !failed_) {
    schedule_restart();
  }
}

void RaftCore::schedule_restart() {
  const Millis due = scheduler_.now() + backoff_.next();
  scheduler_.cancel(restart_timer_);
  restart_timer_ = scheduler_.at(due, [this] { restart(); });
}

void RaftCore::restart() {
  int status = RAFT_NOMEM;
  try {
    store_.recover();
    suspended_ = false;
    status = start();
  } catch (const LogStoreError& error) {
    handle_store_error(error);
  }
  if (status == 0 && is_available()) {
    backoff_.reset();
    delegate_.on_store_available();
    return;
  }
  const bool restarts_when_closed = running_ && suspended_;
  if (failed_ || restarts_when_closed) {
    return;
  }
  if (status != RAFT_NOMEM) {
    fail(consensus_error(raft_errmsg(&raft_)));
    return;
  }
  suspended_ = true;
  if (running_) {
    stop_instance();
  } else {
    schedule_restart();
  }
}

void RaftCore::bootstrap(LogStore& store, const std::vector<Server>& servers) {
  raft_configuration configuration;
  raft_configuration_init(&configuration);
  bool valid = true;
  for (const auto& server : servers) {
    const int status = raft_configuration_add(&configuration, server.id, server.address.c_str(), server.role);
    valid = valid && status == 0;
  }
  raft_buffer buffer{};
  valid = valid && raft_configuration_encode(&configuration, &buffer) == 0;
  raft_configuration_close(&configuration);
  if (!valid) {
    throw LogStoreError(consensus_error("two members of one id or address"));
  }
  store.set_term(kFirstTerm);
  store.append({{kFirstTerm, RAFT_CHANGE, to_string(buffer)}});
  raft_free(buffer.base);
}

int RaftCore::handle_store_error(const LogStoreError& error) {
  const bool is_first = !std::exchange(suspended_, true);
  if (!error.transient()) {
    fail(error.what());
  } else if (is_first) {
    delegate_.on_store_unavailable(error.kind, error.what());
  }
  if (is_first && running_) {
    defer([this] { stop_instance(); });
  }
  return RAFT_IOERR;
}

void RaftCore::fail(const std::string& reason) {
  if (!std::exchange(failed_, true)) {
    delegate_.on_store_failure(reason);
  }
}

void RaftCore::defer(std::function<void()> call) {
  if (deferred_.empty()) {
    deferred_timer_ = scheduler_.at(scheduler_.now(), [this] { run_deferred(); });
  }
  deferred_.push_back(std::move(call));
}

void RaftCore::run_deferred() {
  const auto calls = std::exchange(deferred_, {});
  for (const auto& call : calls) {
    call();
  }
}

void RaftCore::tick() {
  tick_timer_ = scheduler_.at(scheduler_.now() + tick_interval_, [this] { tick(); });
  if (tick_callback_ != nullptr && is_available()) {
    tick_callback_(&io_);
  }
}

void RaftCore::receive(std::uint64_t from, const std::string& address, raft_message&& message) {
  message.server_id = from;
  message.server_address = address.c_str();
  if (receive_callback_ == nullptr || !is_available()) {
    free_message(message);
    return;
  }
  match_tracker_.begin(message);
  receive_callback_(&io_, &message);
  match_tracker_.end();
}

RaftCore::Server RaftCore::leader() const {
  if (!is_available()) {
    return {};
  }
  raft_id id = 0;
  const char* address = nullptr;
  raft_leader(const_cast<::raft*>(&raft_), &id, &address);
  return {id, address == nullptr ? std::string() : std::string(address), RAFT_VOTER};
}

std::vector<RaftCore::Server> RaftCore::servers() const {
  if (!running_ || closing_) {
    return last_servers_;
  }
  std::vector<Server> out;
  for (unsigned i = 0; i < raft_.configuration.n; ++i) {
    const auto& server = raft_.configuration.servers[i];
    out.push_back({server.id, server.address, server.role});
  }
  return out;
}

bool RaftCore::propose(const std::string& entry, Completion done) {
  return is_leader() && request_apply(raft_, entry, std::move(done));
}

bool RaftCore::add(const Server& server, Completion done) {
  return is_leader() && request_add(raft_, server, std::move(done));
}

bool RaftCore::assign(std::uint64_t id, int role, Completion done) {
  return is_leader() && request_assign(raft_, id, role, std::move(done));
}

bool RaftCore::remove(std::uint64_t id, Completion done) {
  return is_leader() && request_remove(raft_, id, std::move(done));
}

}  // namespace lotusyard::raft
