// How SQLite's results are told apart, and how long a store waits before it tries again.
#include <catch2/catch.hpp>

#include "sqlite/result.h"

namespace lotusyard::test {
namespace {

TEST_CASE("what SQLite's codes mean: only proven damage is final") {
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

TEST_CASE("the wait before the next try doubles up to its bound, and begins anew") {
  sqlite::Backoff backoff;
  CHECK(backoff.next() == sqlite::Backoff::kShortest);
  CHECK(backoff.next() == 2 * sqlite::Backoff::kShortest);
  for (int i = 0; i < 20; ++i)
    CHECK(backoff.next() <= sqlite::Backoff::kLongest);
  CHECK(backoff.next() == sqlite::Backoff::kLongest);
  backoff.reset();
  CHECK(backoff.next() == sqlite::Backoff::kShortest);
}

}  // namespace
}  // namespace lotusyard::test
