// Strict readers of the values in one section of the configuration file.
#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "config/config_error.h"

namespace lotusyard::config {

// The bounds of a number, both included.
struct Range {
  double min = 0;
  double max = 0;
};

// A section and its path in the file. A value that is absent or null gets the fallback; a value of another
// type, or out of its bounds, throws a ConfigError with its path. Refers to the file, which must outlive it.
class Section {
 public:
  // The whole file.
  explicit Section(const nlohmann::json& file) : value_(file) {}
  Section(const nlohmann::json& value, std::string path) : value_(value), path_(std::move(path)) {}

  const nlohmann::json& value() const { return value_; }
  const std::string& path() const { return path_; }
  std::string path_of(const std::string& name) const;

  // The value as it is; null if it is absent.
  const nlohmann::json& operator[](const char* name) const;
  bool has(const char* name) const { return !(*this)[name].is_null(); }

  // A section in this one, which may be absent or of any type.
  Section child(const char* name) const { return {(*this)[name], path_of(name)}; }

  // Throws unless the section is an object.
  void require_object() const;
  // Throws unless the section is an object or absent.
  void require_object_or_null() const;

  double number(const char* name, double fallback, Range range) const;
  template <typename T>
  T whole_number(const char* name, T fallback, Range range) const {
    return static_cast<T>(number(name, static_cast<double>(fallback), range));
  }
  bool flag(const char* name, bool fallback) const;
  // A text that is not empty.
  std::string required_text(const char* name) const;
  std::string text(const char* name, const std::string& fallback) const;
  // A numeric address with a port; the fallback is checked too.
  std::string address(const char* name, const std::string& fallback) const;

  // Throws a ConfigError for a key of this section.
  [[noreturn]] void fail(const std::string& name, const std::string& problem) const;

 private:
  const nlohmann::json& value_;
  std::string path_;  // empty: the whole file
};

// Throws a ConfigError for the key unless the text is a numeric address with a port.
void check_address(const std::string& key, const std::string& address);

}  // namespace lotusyard::config
