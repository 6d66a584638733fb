// Which hosts are out by hand, kept where a process and its replacement both look: one empty file for each.
#pragma once

#include <optional>
#include <set>
#include <string>

namespace lotusyard::endpoints {

// Each change is one system call, so that neither a kill nor another process finds half of one.
class DisabledHostFiles {
 public:
  explicit DisabledHostFiles(std::string folder)
      : folder_(std::move(folder)) {}                     // empty: there is no such place
  bool add(const std::string& host);                      // false: it is not kept
  bool remove(const std::string& host);                   // false: it is still kept
  std::optional<std::set<std::string>> read() const;      // nothing: the folder cannot be read
  static std::string file_name(const std::string& host);  // any id as a file's name; empty: too long for one
  static std::optional<std::string> host_name(const std::string& file);

 private:
  std::string folder_;
};

}  // namespace lotusyard::endpoints
