#include "group/consensus.h"

#include <algorithm>
#include <cstring>

namespace lotusyard::group {
namespace {

constexpr unsigned kSnapshotEvery = 1024, kTrailing = 256;  // entries
constexpr int kHeartbeats = 5;                              // in the time after which a leader is missed

Consensus& of(const raft_io* io) { return *static_cast<Consensus*>(io->impl); }

void* copied(const std::string& data) {
  void* out = raft_malloc(data.empty() ? 1 : data.size());
  if (out != nullptr && !data.empty()) std::memcpy(out, data.data(), data.size());
  return out;
}

std::string text_of(const raft_buffer& buffer) {
  return buffer.len == 0 ? std::string() : std::string(static_cast<const char*>(buffer.base), buffer.len);
}

StoredSnapshot stored(const raft_snapshot& from) {
  StoredSnapshot out{from.index, from.term, from.configuration_index, {}, {}};
  for (unsigned i = 0; i < from.configuration.n; ++i) {
    const auto& s = from.configuration.servers[i];
    out.servers.push_back({s.id, s.address, s.role});
  }
  for (unsigned i = 0; i < from.n_bufs; ++i) out.data += text_of(from.bufs[i]);
  return out;
}

raft_snapshot* made(const StoredSnapshot& from) {
  auto* out = static_cast<raft_snapshot*>(raft_calloc(1, sizeof(raft_snapshot)));
  out->index = from.index;
  out->term = from.term;
  out->configuration_index = from.conf_index;
  raft_configuration_init(&out->configuration);
  for (const auto& s : from.servers)
    raft_configuration_add(&out->configuration, s.id, s.address.c_str(), s.role);
  out->bufs = static_cast<raft_buffer*>(raft_calloc(1, sizeof(raft_buffer)));
  out->n_bufs = 1;
  out->bufs[0].base = copied(from.data);
  out->bufs[0].len = from.data.size();
  return out;
}

}  // namespace

// What the library calls. Its own callbacks are never called from within one of these.
struct Consensus::Calls {
  static int init(raft_io*, raft_id, const char*) { return 0; }
  static void close(raft_io* io, raft_io_close_cb cb) {
    Consensus& me = of(io);
    me.loop_.cancel(me.ticks_);
    me.tick_ = nullptr;
    me.recv_ = nullptr;
    me.defer([io, cb] { cb(io); });
  }
  static int load(raft_io* io, raft_term* term, raft_id* voted_for, raft_snapshot** snapshot,
                  raft_index* start_index, raft_entry* entries[], std::size_t* n_entries) {
    try {
      return read(of(io).store_, term, voted_for, snapshot, start_index, entries, n_entries);
    } catch (const StoreError& fault) {  // never through the library's frames
      of(io).fail(fault.what());
      return RAFT_IOERR;
    }
  }
  static int read(const Store& store, raft_term* term, raft_id* voted_for, raft_snapshot** snapshot,
                  raft_index* start_index, raft_entry* entries[], std::size_t* n_entries) {
    *term = store.term();
    *voted_for = store.vote();
    *snapshot = store.has_snapshot() ? made(store.snapshot()) : nullptr;
    *start_index = store.first_index();
    const auto kept_entries = store.entries();
    *n_entries = kept_entries.size();
    *entries = nullptr;
    if (kept_entries.empty()) return 0;
    *entries = static_cast<raft_entry*>(raft_calloc(kept_entries.size(), sizeof(raft_entry)));
    for (std::size_t i = 0; i < kept_entries.size(); ++i) {
      raft_entry& entry = (*entries)[i];
      entry.term = kept_entries[i].term;
      entry.type = kept_entries[i].type;
      entry.buf.len = kept_entries[i].data.size();
      entry.buf.base = copied(kept_entries[i].data);
    }
    return 0;
  }
  static int start(raft_io* io, unsigned msecs, raft_io_tick_cb tick, raft_io_recv_cb recv) {
    Consensus& me = of(io);
    me.pace_ = Millis(msecs);
    me.tick_ = tick;
    me.recv_ = recv;
    me.ticks_ = me.loop_.at(me.loop_.now() + me.pace_, [&me] { me.tick(); });
    return 0;
  }
  static int bootstrap(raft_io*, const raft_configuration*) { return RAFT_CANTBOOTSTRAP; }  // see `found`
  static int recover(raft_io*, const raft_configuration*) { return RAFT_INVALID; }
  static int set_term(raft_io* io, raft_term term) {
    return of(io).kept([&](Store& store) { store.set_term(term); });
  }
  static int set_vote(raft_io* io, raft_id id) {
    return of(io).kept([&](Store& store) { store.set_vote(id); });
  }
  static int send(raft_io* io, raft_io_send* req, const raft_message* message, raft_io_send_cb cb) {
    Consensus& me = of(io);
    req->cb = cb;
    me.user_.send(message->server_id, message->server_address, *message);
    me.defer([req] { req->cb(req, 0); });  // lost or not: it is sent again until it is answered
    return 0;
  }
  static int append(raft_io* io, raft_io_append* req, const raft_entry entries[], unsigned n,
                    raft_io_append_cb cb) {
    std::vector<StoredEntry> rows;
    for (unsigned i = 0; i < n; ++i)
      rows.push_back({entries[i].term, entries[i].type, text_of(entries[i].buf)});
    const int status = of(io).kept([&](Store& store) { store.append(rows); });
    req->cb = cb;
    of(io).defer([req, status] { req->cb(req, status); });
    return 0;
  }
  static int truncate(raft_io* io, raft_index index) {
    return of(io).kept([&](Store& store) { store.truncate(index); });
  }
  static int snapshot_put(raft_io* io, unsigned trailing, raft_io_snapshot_put* req,
                          const raft_snapshot* snapshot, raft_io_snapshot_put_cb cb) {
    const int status = of(io).kept([&](Store& store) { store.put_snapshot(stored(*snapshot), trailing); });
    req->cb = cb;
    of(io).defer([req, status] { req->cb(req, status); });
    return 0;
  }
  static int snapshot_get(raft_io* io, raft_io_snapshot_get* req, raft_io_snapshot_get_cb cb) {
    req->cb = cb;
    raft_snapshot* snapshot = nullptr;
    const int status = of(io).kept([&](Store& store) { snapshot = made(store.snapshot()); });
    of(io).defer([req, snapshot, status] { req->cb(req, snapshot, status); });
    return 0;
  }
  static raft_time time(raft_io* io) { return static_cast<raft_time>(of(io).loop_.now().count()); }
  static int random(raft_io* io, int min, int max) {
    return min + static_cast<int>(of(io).random_() % static_cast<unsigned>(std::max(1, max - min)));
  }
  static int async_work(raft_io* io, raft_io_async_work* req, raft_io_async_work_cb cb) {
    const int status = req->work(req);
    req->cb = cb;
    of(io).defer([req, status] { req->cb(req, status); });
    return 0;
  }
  static int apply(raft_fsm* fsm, const raft_buffer* buf, void** result) {
    auto& me = *static_cast<Consensus*>(fsm->data);
    *result = nullptr;
    // The library applies entry by entry; what it has applied stands one behind while it does.
    me.user_.applied(me.raft_.last_applied + 1, text_of(*buf));
    return 0;
  }
  static int snapshot(raft_fsm* fsm, raft_buffer* bufs[], unsigned* n_bufs) {
    const std::string data = static_cast<Consensus*>(fsm->data)->user_.snapshot();
    *bufs = static_cast<raft_buffer*>(raft_calloc(1, sizeof(raft_buffer)));
    if (*bufs == nullptr) return RAFT_NOMEM;
    *n_bufs = 1;
    (*bufs)[0].base = copied(data);
    (*bufs)[0].len = data.size();
    return 0;
  }
  static int restore(raft_fsm* fsm, raft_buffer* buf) {
    auto& me = *static_cast<Consensus*>(fsm->data);
    const bool read = me.user_.restore(text_of(*buf));
    if (!read) {
      me.fail("the group's snapshot is of another version of the program, or damaged");
      return RAFT_MALFORMED;
    }
    raft_free(buf->base);
    return 0;
  }
};

struct Consensus::Change {
  raft_change request{};
  std::function<void(bool)> done;
};

Consensus::Consensus(net::Loop& loop, Store& store, User& user, std::uint64_t id, const std::string& address,
                     Millis election)
    : loop_(loop), store_(store), user_(user), random_(std::random_device{}()) {
  io_.version = 2;
  io_.impl = this;
  io_.init = Calls::init;
  io_.close = Calls::close;
  io_.load = Calls::load;
  io_.start = Calls::start;
  io_.bootstrap = Calls::bootstrap;
  io_.recover = Calls::recover;
  io_.set_term = Calls::set_term;
  io_.set_vote = Calls::set_vote;
  io_.send = Calls::send;
  io_.append = Calls::append;
  io_.truncate = Calls::truncate;
  io_.snapshot_put = Calls::snapshot_put;
  io_.snapshot_get = Calls::snapshot_get;
  io_.time = Calls::time;
  io_.random = Calls::random;
  io_.async_work = Calls::async_work;
  fsm_.version = 1;
  fsm_.data = this;
  fsm_.apply = Calls::apply;
  fsm_.snapshot = Calls::snapshot;
  fsm_.restore = Calls::restore;
  if (raft_init(&raft_, &io_, &fsm_, id, address.c_str()) != 0)
    throw StoreError(std::string("the group's consensus: ") + raft_errmsg(&raft_));
  raft_.data = this;
  raft_set_election_timeout(&raft_, static_cast<unsigned>(election.count()));
  raft_set_heartbeat_timeout(&raft_, static_cast<unsigned>(election.count() / kHeartbeats));
  raft_set_snapshot_threshold(&raft_, kSnapshotEvery);
  raft_set_snapshot_trailing(&raft_, kTrailing);
  raft_set_pre_vote(&raft_, true);  // one that was cut off must not unseat the one that leads
  if (raft_start(&raft_) == 0) return;
  const std::string why = raft_errmsg(&raft_);
  close();
  throw StoreError("the group's consensus: " + why);
}

Consensus::~Consensus() { close(); }

// What was deferred is called here, and nothing of this object stays with the loop.
void Consensus::close() {
  raft_close(&raft_, [](raft* r) { static_cast<Consensus*>(r->data)->closed_ = true; });
  while (!closed_ && !later_.empty()) drain();
  loop_.cancel(drains_);
  loop_.cancel(ticks_);
}

void Consensus::found(Store& store, const std::vector<Server>& servers) {
  raft_configuration conf;
  raft_configuration_init(&conf);
  bool sound = true;
  for (const auto& s : servers)
    sound = raft_configuration_add(&conf, s.id, s.address.c_str(), s.role) == 0 && sound;
  raft_buffer buffer{};
  sound = sound && raft_configuration_encode(&conf, &buffer) == 0;
  raft_configuration_close(&conf);
  if (!sound) throw StoreError("the group's consensus: two members of one id or address");
  store.set_term(1);
  store.append({{1, RAFT_CHANGE, text_of(buffer)}});
  raft_free(buffer.base);
}

template <typename Write>
int Consensus::kept(const Write& write) {
  if (failed_) return RAFT_IOERR;
  try {
    write(store_);
    return 0;
  } catch (const StoreError& fault) {
    fail(fault.what());
    return RAFT_IOERR;
  }
}

void Consensus::fail(const std::string& why) {
  if (std::exchange(failed_, true)) return;
  user_.failed(why);
}

void Consensus::defer(std::function<void()> call) {
  if (later_.empty()) drains_ = loop_.at(loop_.now(), [this] { drain(); });
  later_.push_back(std::move(call));
}

void Consensus::drain() {
  auto now = std::exchange(later_, {});
  for (auto& call : now) call();
}

void Consensus::tick() {
  ticks_ = loop_.at(loop_.now() + pace_, [this] { tick(); });
  if (tick_ != nullptr && !failed_) tick_(&io_);
}

void Consensus::receive(std::uint64_t from, const std::string& address, raft_message&& message) {
  message.server_id = from;
  message.server_address = address.c_str();
  if (recv_ != nullptr) recv_(&io_, &message);
}

Consensus::Server Consensus::leader() const {
  raft_id id = 0;
  const char* address = nullptr;
  raft_leader(const_cast<raft*>(&raft_), &id, &address);
  return {id, address == nullptr ? std::string() : std::string(address), RAFT_VOTER};
}

std::vector<Consensus::Server> Consensus::servers() const {
  std::vector<Server> out;
  for (unsigned i = 0; i < raft_.configuration.n; ++i) {
    const auto& s = raft_.configuration.servers[i];
    out.push_back({s.id, s.address, s.role});
  }
  return out;
}

bool Consensus::propose(const std::string& entry, std::function<void(bool)> done) {
  if (!leads()) return false;
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

bool Consensus::change(const std::function<int(raft_change*)>& start, std::function<void(bool)> done) {
  if (!leads()) return false;
  auto* asked = new Change;
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

bool Consensus::add(const Server& server, std::function<void(bool)> done) {
  return change(
      [&](raft_change* r) {
        return raft_add(&raft_, r, server.id, server.address.c_str(), &changed<Change>);
      },
      std::move(done));
}
bool Consensus::assign(std::uint64_t id, int role, std::function<void(bool)> done) {
  return change([&](raft_change* r) { return raft_assign(&raft_, r, id, role, &changed<Change>); },
                std::move(done));
}
bool Consensus::remove(std::uint64_t id, std::function<void(bool)> done) {
  return change([&](raft_change* r) { return raft_remove(&raft_, r, id, &changed<Change>); },
                std::move(done));
}

}  // namespace lotusyard::group
