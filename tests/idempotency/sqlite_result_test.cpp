// Classification of SQLite's result codes, and the backoff between retries.
#include <catch2/catch.hpp>

#include "sqlite/result.h"

namespace lotusyard::test {
namespace {

TEST_CASE("result codes of SQLite: only proven corruption is permanent") {
  using sqlite::ResultKind;
  for (const int code : {SQLITE_FULL, SQLITE_IOERR, SQLITE_IOERR_FSYNC, SQLITE_IOERR_NOMEM, SQLITE_BUSY,
                         SQLITE_BUSY_RECOVERY, SQLITE_LOCKED, SQLITE_CANTOPEN, SQLITE_NOMEM, SQLITE_PROTOCOL,
                         SQLITE_READONLY, SQLITE_PERM, SQLITE_INTERRUPT})
    CHECK(sqlite::is_transient(sqlite::classify(code)));
  for (const int code : {SQLITE_CORRUPT, SQLITE_CORRUPT_VTAB, SQLITE_NOTADB})
    CHECK(sqlite::classify(code) == ResultKind::corrupt);
  CHECK(sqlite::classify_check("ok") == ResultKind::ok);
  CHECK(sqlite::classify_check("Page 5: unable to get the page. error code=10") == ResultKind::io_error);
  CHECK(sqlite::classify_check("Page 5: btreeInitPage() returns error code 11") == ResultKind::corrupt);
  CHECK(sqlite::classify_check("row 3 missing from index calls_at") == ResultKind::corrupt);
}

TEST_CASE("the backoff doubles up to its limit, and starts over after a reset") {
  sqlite::Backoff backoff;
  CHECK(backoff.next() == sqlite::Backoff::kMinDelay);
  CHECK(backoff.next() == 2 * sqlite::Backoff::kMinDelay);
  for (int i = 0; i < 20; ++i)
    CHECK(backoff.next() <= sqlite::Backoff::kMaxDelay);
  CHECK(backoff.next() == sqlite::Backoff::kMaxDelay);
  backoff.reset();
  CHECK(backoff.next() == sqlite::Backoff::kMinDelay);
}

}  // namespace
}  // namespace lotusyard::test
