// The library's I/O and state machine interfaces, over the store, the scheduler and the user.
#include <algorithm>

#include "raft/raft_buffer.h"
#include "raft/raft_core.h"

namespace lotusyard::raft {
namespace {

RaftCore& of(const raft_io* io) { return *static_cast<RaftCore*>(io->impl); }

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

template <typename Write>
int RaftCore::persist(const Write& write) {
  if (failed_ || suspended_) return RAFT_IOERR;
  try {
    write(store_);
    return 0;
  } catch (const LogStoreError& fault) { return store_failed(fault); }
}

// What the library calls. Its own callbacks are never called from within one of these.
struct RaftCore::LibraftCallbacks {
  static int init(raft_io*, raft_id, const char*) { return 0; }
  static void close(raft_io* io, raft_io_close_cb cb) {
    RaftCore& me = of(io);
    me.scheduler_.cancel(me.tick_timer_);
    me.tick_ = nullptr;
    me.recv_ = nullptr;
    me.defer([io, cb] { cb(io); });
  }
  static int load(raft_io* io, raft_term* term, raft_id* voted_for, raft_snapshot** snapshot,
                  raft_index* start_index, raft_entry* entries[], std::size_t* n_entries) {
    try {
      return read(of(io).store_, term, voted_for, snapshot, start_index, entries, n_entries);
    } catch (const LogStoreError& fault) {  // never through the library's frames
      return of(io).store_failed(fault);
    }
  }
  static int read(const LogStore& store, raft_term* term, raft_id* voted_for, raft_snapshot** snapshot,
                  raft_index* start_index, raft_entry* entries[], std::size_t* n_entries) {
    *term = store.term();
    *voted_for = store.vote();
    const auto kept_entries = store.entries();
    // What may throw is behind us once the library's memory is taken.
    *snapshot = store.has_snapshot() ? made(store.snapshot()) : nullptr;
    *start_index = store.first_index();
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
    RaftCore& me = of(io);
    me.tick_interval_ = Millis(msecs);
    me.tick_ = tick;
    me.recv_ = recv;
    me.tick_timer_ = me.scheduler_.at(me.scheduler_.now() + me.tick_interval_, [&me] { me.tick(); });
    return 0;
  }
  static int bootstrap(raft_io*, const raft_configuration*) { return RAFT_CANTBOOTSTRAP; }  // see `found`
  static int recover(raft_io*, const raft_configuration*) { return RAFT_INVALID; }
  static int set_term(raft_io* io, raft_term term) {
    return of(io).persist([&](LogStore& store) { store.set_term(term); });
  }
  static int set_vote(raft_io* io, raft_id id) {
    return of(io).persist([&](LogStore& store) { store.set_vote(id); });
  }
  static int send(raft_io* io, raft_io_send* req, const raft_message* message, raft_io_send_cb cb) {
    RaftCore& me = of(io);
    req->cb = cb;
    if (!me.suspended_)
      me.delegate_.send(message->server_id, message->server_address, me.matches_.bounded(*message));
    me.defer([req] { req->cb(req, 0); });  // lost or not: it is sent again until it is answered
    return 0;
  }
  static int append(raft_io* io, raft_io_append* req, const raft_entry entries[], unsigned n,
                    raft_io_append_cb cb) {
    of(io).matches_.accepted();
    std::vector<StoredEntry> rows;
    for (unsigned i = 0; i < n; ++i)
      rows.push_back({entries[i].term, entries[i].type, text_of(entries[i].buf)});
    const int status = of(io).persist([&](LogStore& store) { store.append(rows); });
    req->cb = cb;
    of(io).defer([req, status] { req->cb(req, status); });
    return 0;
  }
  static int truncate(raft_io* io, raft_index index) {
    return of(io).persist([&](LogStore& store) { store.truncate(index); });
  }
  static int snapshot_put(raft_io* io, unsigned trailing, raft_io_snapshot_put* req,
                          const raft_snapshot* snapshot, raft_io_snapshot_put_cb cb) {
    of(io).matches_.accepted();
    const int status =
        of(io).persist([&](LogStore& store) { store.put_snapshot(stored(*snapshot), trailing); });
    req->cb = cb;
    of(io).defer([req, status] { req->cb(req, status); });
    return 0;
  }
  static int snapshot_get(raft_io* io, raft_io_snapshot_get* req, raft_io_snapshot_get_cb cb) {
    req->cb = cb;
    raft_snapshot* snapshot = nullptr;
    const int status = of(io).persist([&](LogStore& store) { snapshot = made(store.snapshot()); });
    of(io).defer([req, snapshot, status] { req->cb(req, snapshot, status); });
    return 0;
  }
  static raft_time time(raft_io* io) { return static_cast<raft_time>(of(io).scheduler_.now().count()); }
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
    auto& me = *static_cast<RaftCore*>(fsm->data);
    *result = nullptr;
    // The library applies entry by entry; what it has applied stands one behind while it does.
    const std::uint64_t index = me.raft_.last_applied + 1;
    if (index <= me.applied_) return 0;
    me.delegate_.apply(index, text_of(*buf));
    me.applied_ = index;
    return 0;
  }
  static int snapshot(raft_fsm* fsm, raft_buffer* bufs[], unsigned* n_bufs) {
    auto& me = *static_cast<RaftCore*>(fsm->data);
    // The user's state is ahead of this instance's index: a snapshot would hold entries that come again after
    // it. The library tries again later.
    if (me.applied_ > me.raft_.last_applied) return RAFT_BUSY;
    const std::string data = me.delegate_.snapshot();
    *bufs = static_cast<raft_buffer*>(raft_calloc(1, sizeof(raft_buffer)));
    if (*bufs == nullptr) return RAFT_NOMEM;
    *n_bufs = 1;
    (*bufs)[0].base = copied(data);
    (*bufs)[0].len = data.size();
    return 0;
  }
  static int restore(raft_fsm* fsm, raft_buffer* buf) {
    auto& me = *static_cast<RaftCore*>(fsm->data);
    const std::uint64_t index = me.store_.snapshot_index();  // it is stored before it is restored
    if (index != 0 && index <= me.applied_) {
      raft_free(buf->base);
      return 0;
    }
    const bool read = me.delegate_.restore(text_of(*buf));
    if (!read) {
      me.fail("the group's snapshot is of another version of the program, or damaged");
      return RAFT_MALFORMED;
    }
    raft_free(buf->base);
    me.applied_ = index;
    return 0;
  }
};

void RaftCore::set_callbacks() {
  io_.version = 2;
  io_.impl = this;
  io_.init = LibraftCallbacks::init;
  io_.close = LibraftCallbacks::close;
  io_.load = LibraftCallbacks::load;
  io_.start = LibraftCallbacks::start;
  io_.bootstrap = LibraftCallbacks::bootstrap;
  io_.recover = LibraftCallbacks::recover;
  io_.set_term = LibraftCallbacks::set_term;
  io_.set_vote = LibraftCallbacks::set_vote;
  io_.send = LibraftCallbacks::send;
  io_.append = LibraftCallbacks::append;
  io_.truncate = LibraftCallbacks::truncate;
  io_.snapshot_put = LibraftCallbacks::snapshot_put;
  io_.snapshot_get = LibraftCallbacks::snapshot_get;
  io_.time = LibraftCallbacks::time;
  io_.random = LibraftCallbacks::random;
  io_.async_work = LibraftCallbacks::async_work;
  fsm_.version = 1;
  fsm_.data = this;
  fsm_.apply = LibraftCallbacks::apply;
  fsm_.snapshot = LibraftCallbacks::snapshot;
  fsm_.restore = LibraftCallbacks::restore;
}

}  // namespace lotusyard::raft
