// What a result code of SQLite means to a store: only proven damage is final, the rest may pass again.
#pragma once

#include <sqlite3.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <string>
#include <utility>

namespace lotusyard::sqlite {

enum class ResultKind { ok, full, io_error, busy, cannot_open, no_memory, other, corrupt };

// Takes primary and extended result codes.
inline ResultKind classify(int code) {
  constexpr int kPrimaryCodeMask = 0xFF;
  switch (code & kPrimaryCodeMask) {
    case SQLITE_OK:
    case SQLITE_ROW:
    case SQLITE_DONE: return ResultKind::ok;
    case SQLITE_FULL: return ResultKind::full;
    case SQLITE_IOERR: return ResultKind::io_error;
    case SQLITE_BUSY:
    case SQLITE_LOCKED: return ResultKind::busy;
    case SQLITE_CANTOPEN: return ResultKind::cannot_open;
    case SQLITE_NOMEM: return ResultKind::no_memory;
    case SQLITE_CORRUPT:
    case SQLITE_NOTADB: return ResultKind::corrupt;
    default: return ResultKind::other;
  }
}

inline bool is_transient(ResultKind kind) { return kind != ResultKind::ok && kind != ResultKind::corrupt; }

// As counters' names end.
inline const char* name_of(ResultKind kind) {
  switch (kind) {
    case ResultKind::ok: return "ok";
    case ResultKind::full: return "full";
    case ResultKind::io_error: return "io_error";
    case ResultKind::busy: return "busy";
    case ResultKind::cannot_open: return "cannot_open";
    case ResultKind::no_memory: return "no_memory";
    case ResultKind::corrupt: return "damaged";
    case ResultKind::other: break;
  }
  return "other_error";
}

// The line that PRAGMA quick_check gave. A page that could not be read is reported as text, with the code of
// the read: that proves nothing about the file.
inline ResultKind classify_check(const std::string& line) {
  if (line == "ok") return ResultKind::ok;
  const auto mark = line.find("error code");
  const auto digit = mark == std::string::npos ? mark : line.find_first_of("0123456789", mark);
  if (digit == std::string::npos) return ResultKind::corrupt;
  const ResultKind kind = classify(std::atoi(line.c_str() + digit));
  return is_transient(kind) ? kind : ResultKind::corrupt;
}

// The wait before the next try at something that failed: doubles up to a bound. No clock of its own.
class Backoff {
 public:
  using Millis = std::chrono::duration<double, std::milli>;
  Millis next() { return std::exchange(wait_, std::min(2 * wait_, kLongest)); }
  void reset() { wait_ = kShortest; }

  static constexpr Millis kShortest{50}, kLongest{2000};

 private:
  Millis wait_ = kShortest;
};

}  // namespace lotusyard::sqlite
