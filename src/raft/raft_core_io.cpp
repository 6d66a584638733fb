// The callbacks by which libraft reaches its I/O and its state machine, implemented with the store, the
// scheduler and the delegate of a RaftCore.
#include <algorithm>

#include "raft/raft_buffer.h"
#include "raft/raft_core.h"
#include "raft/stored_conversions.h"

namespace lotusyard::raft {
namespace {

constexpr int kIoVersion = 2;            // of the interface raft_io
constexpr int kStateMachineVersion = 1;  // of the interface raft_fsm

RaftCore& core_of(const raft_io* io) { return *static_cast<RaftCore*>(io->impl); }
RaftCore& core_of(const raft_fsm* fsm) { return *static_cast<RaftCore*>(fsm->data); }

}  // namespace

template <typename Write>
int RaftCore::persist(const Write& write) {
  if (failed_ || suspended_) {
    return RAFT_IOERR;
  }
  try {
    write(store_);
    return 0;
  } catch (const LogStoreError& error) {
    return handle_store_error(error);
  }
}

// libraft's own callbacks must not be called from within these functions: they are deferred. No exception may
// pass through libraft's frames.
struct RaftCore::LibraftCallbacks {
  static int init(raft_io* /*io*/, raft_id /*id*/, const char* /*address*/) { return 0; }

  static void close(raft_io* io, raft_io_close_cb callback) {
    RaftCore& core = core_of(io);
    core.scheduler_.cancel(core.tick_timer_);
    core.tick_callback_ = nullptr;
    core.receive_callback_ = nullptr;
    core.defer([io, callback] { callback(io); });
  }

  static int load(raft_io* io, raft_term* term, raft_id* voted_for, raft_snapshot** snapshot,
                  raft_index* start_index, raft_entry* entries[], std::size_t* n_entries) {
    RaftCore& core = core_of(io);
    try {
      const LogStore& store = core.store_;
      *term = store.term();
      *voted_for = store.vote();
      // The last read that may throw comes before the first allocation from libraft's memory.
      const auto stored_entries = store.entries();
      *snapshot = store.has_snapshot() ? to_raft_snapshot(store.snapshot()) : nullptr;
      *start_index = store.first_index();
      *n_entries = stored_entries.size();
      *entries = to_raft_entries(stored_entries);
      return 0;
    } catch (const LogStoreError& error) {
      return core.handle_store_error(error);
    }
  }

  static int start(raft_io* io, unsigned tick_interval_ms, raft_io_tick_cb tick, raft_io_recv_cb receive) {
    RaftCore& core = core_of(io);
    core.tick_interval_ = Millis(tick_interval_ms);
    core.tick_callback_ = tick;
    core.receive_callback_ = receive;
    const Millis due = core.scheduler_.now() + core.tick_interval_;
    core.tick_timer_ = core.scheduler_.at(due, [&core] { core.tick(); });
    return 0;
  }

  // A group is bootstrapped by RaftCore::bootstrap().
  static int bootstrap(raft_io* /*io*/, const raft_configuration* /*configuration*/) {
    return RAFT_CANTBOOTSTRAP;
  }

  static int recover(raft_io* /*io*/, const raft_configuration* /*configuration*/) { return RAFT_INVALID; }

  static int set_term(raft_io* io, raft_term term) {
    return core_of(io).persist([&](LogStore& store) { store.set_term(term); });
  }

  static int set_vote(raft_io* io, raft_id id) {
    return core_of(io).persist([&](LogStore& store) { store.set_vote(id); });
  }

  static int send(raft_io* io, raft_io_send* request, const raft_message* message, raft_io_send_cb callback) {
    RaftCore& core = core_of(io);
    request->cb = callback;
    if (!core.suspended_) {
      const raft_message bounded = core.match_tracker_.bounded(*message);
      core.delegate_.send(message->server_id, message->server_address, bounded);
    }
    // Success even if the message is lost: libraft sends again until it is answered.
    core.defer([request] { request->cb(request, 0); });
    return 0;
  }

  static int append(raft_io* io, raft_io_append* request, const raft_entry entries[], unsigned n_entries,
                    raft_io_append_cb callback) {
    RaftCore& core = core_of(io);
    core.match_tracker_.accepted();
    std::vector<StoredEntry> rows;
    for (unsigned i = 0; i < n_entries; ++i) {
      rows.push_back({entries[i].term, entries[i].type, to_string(entries[i].buf)});
    }
    const int status = core.persist([&](LogStore& store) { store.append(rows); });
    request->cb = callback;
    core.defer([request, status] { request->cb(request, status); });
    return 0;
  }

  static int truncate(raft_io* io, raft_index index) {
    return core_of(io).persist([&](LogStore& store) { store.truncate(index); });
  }

  static int snapshot_put(raft_io* io, unsigned trailing, raft_io_snapshot_put* request,
                          const raft_snapshot* snapshot, raft_io_snapshot_put_cb callback) {
    RaftCore& core = core_of(io);
    core.match_tracker_.accepted();
    const int status =
        core.persist([&](LogStore& store) { store.put_snapshot(to_stored_snapshot(*snapshot), trailing); });
    request->cb = callback;
    core.defer([request, status] { request->cb(request, status); });
    return 0;
  }

  static int snapshot_get(raft_io* io, raft_io_snapshot_get* request, raft_io_snapshot_get_cb callback) {
    RaftCore& core = core_of(io);
    request->cb = callback;
    raft_snapshot* snapshot = nullptr;
    const int status = core.persist([&](LogStore& store) { snapshot = to_raft_snapshot(store.snapshot()); });
    core.defer([request, snapshot, status] { request->cb(request, snapshot, status); });
    return 0;
  }

  static raft_time time(raft_io* io) { return static_cast<raft_time>(core_of(io).scheduler_.now().count()); }

  static int random(raft_io* io, int min, int max) {
    const auto range = static_cast<unsigned>(std::max(1, max - min));
    return min + static_cast<int>(core_of(io).random_() % range);
  }

  static int async_work(raft_io* io, raft_io_async_work* request, raft_io_async_work_cb callback) {
    const int status = request->work(request);
    request->cb = callback;
    core_of(io).defer([request, status] { request->cb(request, status); });
    return 0;
  }

  static int apply(raft_fsm* fsm, const raft_buffer* buffer, void** result) {
    RaftCore& core = core_of(fsm);
    *result = nullptr;
    // libraft applies one entry at a time, and increments last_applied after this call.
    const std::uint64_t index = core.raft_.last_applied + 1;
    if (index <= core.applied_index_) {
      return 0;
    }
    core.delegate_.apply(index, to_string(*buffer));
    core.applied_index_ = index;
    return 0;
  }

  static int snapshot(raft_fsm* fsm, raft_buffer* buffers[], unsigned* n_buffers) {
    RaftCore& core = core_of(fsm);
    // If the delegate's state is ahead of this instance, the snapshot would contain entries that are applied
    // again after it is restored. libraft tries again later.
    if (core.applied_index_ > core.raft_.last_applied) {
      return RAFT_BUSY;
    }
    const std::string data = core.delegate_.snapshot();
    *buffers = static_cast<raft_buffer*>(raft_calloc(1, sizeof(raft_buffer)));
    if (*buffers == nullptr) {
      return RAFT_NOMEM;
    }
    *n_buffers = 1;
    (*buffers)[0].base = copy_to_raft_memory(data);
    (*buffers)[0].len = data.size();
    return 0;
  }

  static int restore(raft_fsm* fsm, raft_buffer* buffer) {
    RaftCore& core = core_of(fsm);
    const std::uint64_t index =
        core.store_.snapshot_index();  // libraft stores a snapshot before it restores it
    const bool is_applied = index != 0 && index <= core.applied_index_;
    if (!is_applied && !core.delegate_.restore(to_string(*buffer))) {
      core.fail("the group's snapshot is of another version of the program, or damaged");
      return RAFT_MALFORMED;
    }
    raft_free(buffer->base);
    if (!is_applied) {
      core.applied_index_ = index;
    }
    return 0;
  }
};

void RaftCore::set_io_callbacks() {
  io_.version = kIoVersion;
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
}

void RaftCore::set_state_machine_callbacks() {
  fsm_.version = kStateMachineVersion;
  fsm_.data = this;
  fsm_.apply = LibraftCallbacks::apply;
  fsm_.snapshot = LibraftCallbacks::snapshot;
  fsm_.restore = LibraftCallbacks::restore;
}

}  // namespace lotusyard::raft
