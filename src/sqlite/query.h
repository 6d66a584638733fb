// One prepared statement of SQLite, for the stores. It throws nothing and decides nothing: what a code means
// is up to the store.
#pragma once

#include <sqlite3.h>

#include <cstdint>
#include <string>

namespace lotusyard::sqlite {

// Finished where it goes out of scope. A value that cannot be bound shows as the code of the next step.
class Query {
 public:
  Query(sqlite3* db, const char* sql) { code_ = sqlite3_prepare_v2(db, sql, -1, &statement_, nullptr); }
  ~Query() { sqlite3_finalize(statement_); }
  Query(const Query&) = delete;
  Query& operator=(const Query&) = delete;
  Query& bytes(int place, const std::string& value) {
    if (code_ == SQLITE_OK)
      code_ = sqlite3_bind_blob64(statement_, place, value.data(), value.size(), SQLITE_TRANSIENT);
    return *this;
  }
  Query& word(int place, const char* value) {
    if (code_ == SQLITE_OK) code_ = sqlite3_bind_text(statement_, place, value, -1, SQLITE_TRANSIENT);
    return *this;
  }
  Query& number(int place, double value) {
    if (code_ == SQLITE_OK) code_ = sqlite3_bind_double(statement_, place, value);
    return *this;
  }
  Query& whole(int place, std::uint64_t value) {
    if (code_ == SQLITE_OK) code_ = sqlite3_bind_int64(statement_, place, static_cast<sqlite3_int64>(value));
    return *this;
  }
  int step() { return code_ == SQLITE_OK ? sqlite3_step(statement_) : code_; }
  void again() {  // the same statement with other values
    sqlite3_reset(statement_);
    sqlite3_clear_bindings(statement_);
  }
  double number(int column) { return sqlite3_column_double(statement_, column); }
  std::uint64_t whole(int column) {
    return static_cast<std::uint64_t>(sqlite3_column_int64(statement_, column));
  }
  std::string bytes(int column) {
    const auto* data = static_cast<const char*>(sqlite3_column_blob(statement_, column));
    return data == nullptr
               ? std::string()
               : std::string(data, static_cast<std::size_t>(sqlite3_column_bytes(statement_, column)));
  }

 private:
  sqlite3_stmt* statement_ = nullptr;
  int code_ = SQLITE_OK;
};

}  // namespace lotusyard::sqlite
