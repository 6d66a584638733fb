#include "idempotency/sqlite_result_store.h"

#include <sqlite3.h>

#include <algorithm>
#include <chrono>
#include <utility>

#include "metrics/amqp_counters.h"

namespace lotusyard::idempotency {
namespace {

bool has_answer(const ResultRecord& record) { return record.stage >= ResultStage::answered; }

}  // namespace

SqliteResultStore::SqliteResultStore(const std::string& path, const Bounds& bounds, Millis now,
                                     metrics::Counters& counters, Log log, Clock clock)
    : path_(path),
      created_at_(now),
      clock_(std::move(clock)),
      steady_at_creation_(clock_()),
      bounds_(bounds),
      counters_(counters),
      health_(counters, std::move(log)) {
  open();
}

Millis SqliteResultStore::steady_now() { return std::chrono::steady_clock::now().time_since_epoch(); }

void SqliteResultStore::close() {
  database_.close();
  open_ = false;
}

bool SqliteResultStore::is_ready() {
  if (is_damaged())
    return false;
  if (open_)
    return true;
  return may_reopen() && open();
}

// A file that could only be opened for reading, as after a disk error, stays read-only until it is reopened.
bool SqliteResultStore::is_writable() {
  if (!is_ready())
    return false;
  if (!database_.is_read_only())
    return true;
  if (may_reopen()) {
    close();
    if (!open())
      return false;
    next_open_ = clock_() + sqlite::Backoff::kMaxDelay;
  }
  return !database_.is_read_only() || health_.check(SQLITE_CANTOPEN, "read-only");
}

bool SqliteResultStore::open() {
  open_ = database_.open(path_) && load_complete_from() && measure();
  if (open_) {
    backoff_.reset();
    return true;
  }
  close();
  next_open_ = clock_() + backoff_.next();
  return false;
}

bool SqliteResultStore::load_complete_from() {
  const Lookup<Millis> stored = database_.read_complete_from();
  if (!stored.ok)
    return false;
  // A new file has no records of earlier calls. Before it was open nothing could be recorded, so no call was
  // sent.
  if (!stored.value)
    return set_complete_from(created_at_);
  // Another process may have used the file until now, and pruned it. The time never decreases: records that
  // this process has pruned stay removed.
  const Millis now = created_at_ + (clock_() - steady_at_creation_);
  complete_from_ = std::max(complete_from_, bounded_mark(*stored.value, now));
  return true;
}

bool SqliteResultStore::set_complete_from(Millis time) {
  complete_from_ = time;
  return database_.write_complete_from(time);
}

bool SqliteResultStore::measure() {
  const auto measured = database_.measure();
  if (!measured)
    return false;
  table_ = *measured;
  return true;
}

bool SqliteResultStore::find(const std::string& id, std::optional<ResultRecord>& out) {
  out.reset();
  if (!is_ready())
    return false;
  Lookup<ResultRecord> found = database_.find(id);
  out = std::move(found.value);
  return found.ok;
}

bool SqliteResultStore::put(const std::string& id, const ResultRecord& record) {
  std::optional<ResultRecord> before;
  if (!is_writable() || !find(id, before))
    return false;
  if (!may_put(before, record) || !database_.put(id, record))
    return false;
  counters_.add(metrics::kAnswersWritten);
  health_.on_write();
  count_put(id, before, record);
  return true;
}

bool SqliteResultStore::may_put(const std::optional<ResultRecord>& before, const ResultRecord& record) {
  const auto stage_before = before ? std::optional<ResultStage>(before->stage) : std::nullopt;
  if (!may_follow(stage_before, record.stage)) {
    counters_.add(metrics::kAnswersGuardStage);
    return false;
  }
  if (!before && idempotency::prune(table_.size, table_.answered, bounds_, record.updated_at).full) {
    counters_.add(metrics::kAnswersStoreBound);
    return false;
  }
  return true;
}

void SqliteResultStore::count_put(const std::string& id, const std::optional<ResultRecord>& before,
                                  const ResultRecord& record) {
  if (before) {
    table_.size.bytes -= stored_size(id, *before);
    table_.answered -= has_answer(*before) ? 1U : 0U;
  } else {
    ++table_.size.records;
  }
  table_.size.bytes += stored_size(id, record);
  table_.answered += has_answer(record) ? 1U : 0U;
}

// The only place that removes records. A call whose record was removed may have run: afterwards only calls
// that are younger than all removed records can be proven not to have run.
void SqliteResultStore::prune(Millis now) {
  if (!is_ready())
    return;
  const Pruning pruning = idempotency::prune(table_.size, table_.answered, bounds_, now);
  const auto latest = database_.latest_prunable(pruning);
  if (!latest)
    return;
  const Millis mark = bounded_mark(*latest, now);
  if (mark.count() <= 0)
    return;
  // `mark` is written first: after a crash in between, complete_from must not be too early.
  if (mark > complete_from_ && !set_complete_from(mark))
    return;
  if (database_.remove(pruning))
    counters_.add(metrics::kAnswersPruned);
  measure();
}

void SqliteResultStore::for_each(const ResultDatabase::Visitor& visit) {
  if (is_ready())
    database_.for_each(visit);
}

}  // namespace lotusyard::idempotency
