// Stores the hosts that operators have disabled in files, which a process and its replacement share.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <utility>

namespace lotusyard::endpoints {

// There is one empty file for each disabled host. Each change is one system call, so a crash leaves no
// partial change, and another process sees none.
class DisabledHostFiles {
 public:
  // An empty folder name: there is no storage, and every call fails.
  explicit DisabledHostFiles(std::string folder) : folder_(std::move(folder)) {}

  // Returns false if the change could not be stored. Repeating a change is no error.
  bool add(const std::string& host);
  bool remove(const std::string& host);

  // Returns nothing if the folder cannot be read. A missing folder holds no hosts.
  std::optional<std::set<std::string>> read() const;

  // Encodes any host id as a file name; empty if it is too long for one.
  static std::string file_name(const std::string& host);
  // The inverse; nothing if no host has that file name.
  static std::optional<std::string> host_name(const std::string& file);

 private:
  std::string folder_;

  std::string path_of(const std::string& encoded_host) const;
};

}  // namespace lotusyard::endpoints
