// Classifies result codes of SQLite. Only proven corruption is permanent; every other error is transient, and
// the store retries with backoff.
#pragma once

#include <sqlite3.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <string>
#include <utility>

namespace lotusyard::sqlite {

// The kinds of results that the stores distinguish.
enum class ResultKind { ok, full, io_error, busy, cannot_open, no_memory, other, corrupt };

// Accepts primary and extended result codes.
inline ResultKind classify(int code) {
  constexpr int kPrimaryCodeMask = 0xFF;
  switch (code & kPrimaryCodeMask) {
    case SQLITE_OK:
    case SQLITE_ROW:
    case SQLITE_DONE:
      return ResultKind::ok;
    case SQLITE_FULL:
      return ResultKind::full;
    case SQLITE_IOERR:
      return ResultKind::io_error;
    case SQLITE_BUSY:
    case SQLITE_LOCKED:
      return ResultKind::busy;
    case SQLITE_CANTOPEN:
      return ResultKind::cannot_open;
    case SQLITE_NOMEM:
      return ResultKind::no_memory;
    case SQLITE_CORRUPT:
    case SQLITE_NOTADB:
      return ResultKind::corrupt;
    default:
      return ResultKind::other;
  }
}

// Whether the operation failed and may succeed when it is retried.
inline bool is_transient(ResultKind kind) { return kind != ResultKind::ok && kind != ResultKind::corrupt; }

// The suffix of a kind's counter. Counter names are public: do not change them.
inline const char* name_of(ResultKind kind) {
  switch (kind) {
    case ResultKind::ok:
      return "ok";
    case ResultKind::full:
      return "full";
    case ResultKind::io_error:
      return "io_error";
    case ResultKind::busy:
      return "busy";
    case ResultKind::cannot_open:
      return "cannot_open";
    case ResultKind::no_memory:
      return "no_memory";
    case ResultKind::corrupt:
      return "damaged";
    case ResultKind::other:
      break;
  }
  return "other_error";
}

// Classifies a line of the output of PRAGMA quick_check. SQLite reports a page that it could not read as text
// that contains the error code of the read; such a line does not prove that the file is corrupt.
inline ResultKind classify_check(const std::string& line) {
  if (line == "ok") {
    return ResultKind::ok;
  }
  const auto label = line.find("error code");
  const auto digit = label == std::string::npos ? label : line.find_first_of("0123456789", label);
  if (digit == std::string::npos) {
    return ResultKind::corrupt;
  }
  const ResultKind kind = classify(std::atoi(line.c_str() + digit));
  return is_transient(kind) ? kind : ResultKind::corrupt;
}

// Exponential backoff between retries of a failed store operation. It has no clock: the caller schedules the
// retries.
class Backoff {
 public:
  using Millis = std::chrono::duration<double, std::milli>;
  // Returns the delay before the next retry and doubles the one after it, up to kMaxDelay.
  Millis next() { return std::exchange(delay_, std::min(2 * delay_, kMaxDelay)); }
  // To be called after a success.
  void reset() { delay_ = kMinDelay; }

  static constexpr Millis kMinDelay{50};
  static constexpr Millis kMaxDelay{2000};

 private:
  Millis delay_ = kMinDelay;
};

}  // namespace lotusyard::sqlite
