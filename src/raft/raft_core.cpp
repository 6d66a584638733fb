#include "raft/raft_core.h"

#include <algorithm>
#include <utility>

#include "raft/message_codec.h"
#include "raft/raft_buffer.h"

namespace lotusyard::raft {
namespace {

constexpr unsigned kSnapshotEvery = 1024, kTrailing = 256;  // entries
constexpr int kHeartbeats = 5;                              // in the time after which a leader is missed

}  // namespace

struct RaftCore::MembershipChange {
  raft_change request{};
  std::function<void(bool)> done;
};

RaftCore::RaftCore(Scheduler& scheduler, LogStore& store, Delegate& user, std::uint64_t id,
                   const std::string& address, Millis election, std::uint64_t seed)
    : scheduler_(scheduler),
      store_(store),
      delegate_(user),
      id_(id),
      address_(address),
      election_(election),
      random_(seed) {
  set_callbacks();
  if (start() == 0 || (suspended_ && !failed_)) return;
  const std::string why = raft_errmsg(&raft_);
  close();
  throw LogStoreError("the group's consensus: " + why);
}

RaftCore::~RaftCore() { close(); }

int RaftCore::start() {
  raft_ = {};
  matches_ = MatchTracker();
  if (raft_init(&raft_, &io_, &fsm_, id_, address_.c_str()) != 0)
    throw LogStoreError(std::string("the group's consensus: ") + raft_errmsg(&raft_),
                        sqlite::ResultKind::no_memory);
  running_ = true;
  raft_.data = this;
  raft_set_election_timeout(&raft_, static_cast<unsigned>(election_.count()));
  raft_set_heartbeat_timeout(&raft_, static_cast<unsigned>(election_.count() / kHeartbeats));
  raft_set_snapshot_threshold(&raft_, kSnapshotEvery);
  raft_set_snapshot_trailing(&raft_, kTrailing);
  raft_set_pre_vote(&raft_, true);  // one that was cut off must not unseat the one that leads
  return raft_start(&raft_);
}

// What was deferred is called here, and nothing of this object stays with the scheduler.
void RaftCore::close() {
  halt();
  while (!deferred_.empty()) run_deferred();
  scheduler_.cancel(deferred_timer_);
  scheduler_.cancel(tick_timer_);
  scheduler_.cancel(restarts_);
}

// Never within a call of the library's. What was deferred before is called before the instance has ended.
void RaftCore::halt() {
  if (!running_ || closing_) return;
  last_servers_ = servers();
  closing_ = true;
  raft_close(&raft_, [](::raft* r) { static_cast<RaftCore*>(r->data)->halted(); });
}

void RaftCore::halted() {
  running_ = closing_ = false;
  if (suspended_ && !failed_) restart_later();
}

void RaftCore::restart_later() {
  const Millis due = scheduler_.now() + backoff_.next();
  scheduler_.cancel(restarts_);
  restarts_ = scheduler_.at(due, [this] { restart(); });
}

void RaftCore::restart() {
  int status = RAFT_NOMEM;
  try {
    store_.recover();
    suspended_ = false;
    status = start();
  } catch (const LogStoreError& fault) { store_failed(fault); }
  if (status == 0 && is_available()) {
    backoff_.reset();
    return delegate_.available();
  }
  if (failed_ || (running_ && suspended_)) return;  // for good, or it ends and comes back by itself
  if (status != RAFT_NOMEM) return fail(std::string("the group's consensus: ") + raft_errmsg(&raft_));
  suspended_ = true;
  if (running_)
    halt();
  else
    restart_later();
}

void RaftCore::bootstrap(LogStore& store, const std::vector<Server>& servers) {
  raft_configuration conf;
  raft_configuration_init(&conf);
  bool sound = true;
  for (const auto& s : servers)
    sound = raft_configuration_add(&conf, s.id, s.address.c_str(), s.role) == 0 && sound;
  raft_buffer buffer{};
  sound = sound && raft_configuration_encode(&conf, &buffer) == 0;
  raft_configuration_close(&conf);
  if (!sound) throw LogStoreError("the group's consensus: two members of one id or address");
  store.set_term(1);
  store.append({{1, RAFT_CHANGE, text_of(buffer)}});
  raft_free(buffer.base);
}

int RaftCore::store_failed(const LogStoreError& fault) {
  const bool first = !std::exchange(suspended_, true);
  if (!fault.transient()) {
    fail(fault.what());
  } else if (first) {
    delegate_.unavailable(fault.kind, fault.what());
  }
  if (first && running_) defer([this] { halt(); });
  return RAFT_IOERR;
}

void RaftCore::fail(const std::string& why) {
  if (std::exchange(failed_, true)) return;
  delegate_.on_store_failure(why);
}

void RaftCore::defer(std::function<void()> call) {
  if (deferred_.empty()) deferred_timer_ = scheduler_.at(scheduler_.now(), [this] { run_deferred(); });
  deferred_.push_back(std::move(call));
}

void RaftCore::run_deferred() {
  auto now = std::exchange(deferred_, {});
  for (auto& call : now) call();
}

void RaftCore::tick() {
  tick_timer_ = scheduler_.at(scheduler_.now() + tick_interval_, [this] { tick(); });
  if (tick_ != nullptr && is_available()) tick_(&io_);
}

void RaftCore::receive(std::uint64_t from, const std::string& address, raft_message&& message) {
  message.server_id = from;
  message.server_address = address.c_str();
  if (recv_ == nullptr || !is_available()) return give_back(message);
  matches_.begin(message);
  recv_(&io_, &message);
  matches_.end();
}

RaftCore::Server RaftCore::leader() const {
  if (!is_available()) return {};
  raft_id id = 0;
  const char* address = nullptr;
  raft_leader(const_cast<::raft*>(&raft_), &id, &address);
  return {id, address == nullptr ? std::string() : std::string(address), RAFT_VOTER};
}

std::vector<RaftCore::Server> RaftCore::servers() const {
  if (!running_ || closing_) return last_servers_;
  std::vector<Server> out;
  for (unsigned i = 0; i < raft_.configuration.n; ++i) {
    const auto& s = raft_.configuration.servers[i];
    out.push_back({s.id, s.address, s.role});
  }
  return out;
}

bool RaftCore::propose(const std::string& entry, std::function<void(bool)> done) {
  if (!is_leader()) return false;
  struct Apply {
    struct raft_apply request {};
    std::function<void(bool)> done;
  };
  auto* apply = new Apply;
  apply->request.data = apply;
  apply->done = std::move(done);
  raft_buffer buffer{copied(entry), entry.size()};
  const int status =
      raft_apply(&raft_, &apply->request, &buffer, 1, [](struct raft_apply* request, int code, void*) {
        const std::unique_ptr<Apply> mine(static_cast<Apply*>(request->data));
        if (mine->done) mine->done(code == 0);
      });
  if (status == 0) return true;
  raft_free(buffer.base);
  delete apply;
  return false;
}

bool RaftCore::change(const std::function<int(raft_change*)>& start, std::function<void(bool)> done) {
  if (!is_leader()) return false;
  auto* asked = new MembershipChange;
  asked->request.data = asked;
  asked->done = std::move(done);
  if (start(&asked->request) == 0) return true;
  delete asked;
  return false;
}

namespace {
template <typename Change>
void changed(raft_change* request, int status) {
  const std::unique_ptr<Change> mine(static_cast<Change*>(request->data));
  if (mine->done) mine->done(status == 0);
}
}  // namespace

bool RaftCore::add(const Server& server, std::function<void(bool)> done) {
  return change(
      [&](raft_change* r) {
        return raft_add(&raft_, r, server.id, server.address.c_str(), &changed<MembershipChange>);
      },
      std::move(done));
}
bool RaftCore::assign(std::uint64_t id, int role, std::function<void(bool)> done) {
  return change([&](raft_change* r) { return raft_assign(&raft_, r, id, role, &changed<MembershipChange>); },
                std::move(done));
}
bool RaftCore::remove(std::uint64_t id, std::function<void(bool)> done) {
  return change([&](raft_change* r) { return raft_remove(&raft_, r, id, &changed<MembershipChange>); },
                std::move(done));
}

}  // namespace lotusyard::raft
