// A prepared SQLite statement that is finalized at the end of its scope. It never throws and does not
// interpret result codes: each store decides what a code means for it (see sqlite/result.h).
#pragma once

#include <sqlite3.h>

#include <cstdint>
#include <string>

namespace lotusyard::sqlite {

// Not thread-safe; `db` must outlive it. An error while preparing or binding is returned by the next step().
class Query {
 public:
  Query(sqlite3* db, const char* sql) { code_ = sqlite3_prepare_v2(db, sql, -1, &statement_, nullptr); }
  ~Query() { sqlite3_finalize(statement_); }
  Query(const Query&) = delete;
  Query& operator=(const Query&) = delete;

  // Bind a value, which is copied, to a parameter. Parameters are numbered from 1.
  Query& bind_blob(int parameter, const std::string& value) {
    if (code_ == SQLITE_OK) {
      code_ = sqlite3_bind_blob64(statement_, parameter, value.data(), value.size(), SQLITE_TRANSIENT);
    }
    return *this;
  }
  Query& bind_text(int parameter, const char* value) {
    if (code_ == SQLITE_OK) {
      code_ = sqlite3_bind_text(statement_, parameter, value, -1, SQLITE_TRANSIENT);
    }
    return *this;
  }
  Query& bind_double(int parameter, double value) {
    if (code_ == SQLITE_OK) {
      code_ = sqlite3_bind_double(statement_, parameter, value);
    }
    return *this;
  }
  Query& bind_integer(int parameter, std::uint64_t value) {
    if (code_ == SQLITE_OK) {
      code_ = sqlite3_bind_int64(statement_, parameter, static_cast<sqlite3_int64>(value));
    }
    return *this;
  }

  // Returns a result code of SQLite: SQLITE_ROW, SQLITE_DONE or an error.
  int step() { return code_ == SQLITE_OK ? sqlite3_step(statement_) : code_; }

  // Clears the parameters, so that the statement can be executed again with other values.
  void reset() {
    sqlite3_reset(statement_);
    sqlite3_clear_bindings(statement_);
  }

  // Values of the current row. Columns are numbered from 0.
  double column_double(int column) { return sqlite3_column_double(statement_, column); }
  std::uint64_t column_integer(int column) {
    return static_cast<std::uint64_t>(sqlite3_column_int64(statement_, column));
  }
  std::string column_blob(int column) {
    const auto* data = static_cast<const char*>(sqlite3_column_blob(statement_, column));
    if (data == nullptr) {
      return {};
    }
    return {data, static_cast<std::size_t>(sqlite3_column_bytes(statement_, column))};
  }

 private:
  sqlite3_stmt* statement_ = nullptr;
  int code_ = SQLITE_OK;  // of the last prepare or bind
};

}  // namespace lotusyard::sqlite
