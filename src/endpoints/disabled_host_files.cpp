#include "endpoints/disabled_host_files.h"

#include <dirent.h>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <memory>

#include "net/socket.h"

namespace lotusyard::endpoints {
namespace {

constexpr std::size_t kLongestName = 200;
const std::string kPrefix = "out.";

bool plain(char c) {
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '-' || c == '_';
}

}  // namespace

std::string DisabledHostFiles::file_name(const std::string& host) {
  static constexpr const char* digits = "0123456789ABCDEF";
  std::string out;
  for (const char c : host) {
    if (plain(c)) {
      out += c;
      continue;
    }
    const auto byte = static_cast<unsigned char>(c);
    out += '%';
    out += digits[byte >> 4];
    out += digits[byte & 15];
  }
  return out.size() > kLongestName ? std::string() : out;
}

std::optional<std::string> DisabledHostFiles::host_name(const std::string& file) {
  std::string out;
  for (std::size_t i = 0; i < file.size(); ++i) {
    if (file[i] != '%') {
      out += file[i];
      continue;
    }
    const std::string hex = file.substr(i + 1, 2);
    if (hex.size() != 2 || hex.find_first_not_of("0123456789ABCDEF") != std::string::npos)
      return std::nullopt;
    out += static_cast<char>(std::stoi(hex, nullptr, 16));
    i += 2;
  }
  // Only names that are ours: no other file stands for a host.
  return !out.empty() && file_name(out) == file ? std::optional<std::string>(out) : std::nullopt;
}

bool DisabledHostFiles::add(const std::string& host) {
  const std::string name = file_name(host);
  if (folder_.empty() || name.empty())
    return false;
  if (mkdir(folder_.c_str(), 0700) != 0 && errno != EEXIST)
    return false;
  const net::Socket file(
      open((folder_ + '/' + kPrefix + name).c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, 0600));
  return static_cast<bool>(file);
}

bool DisabledHostFiles::remove(const std::string& host) {
  const std::string name = file_name(host);
  if (folder_.empty() || name.empty())
    return false;
  return unlink((folder_ + '/' + kPrefix + name).c_str()) == 0 || errno == ENOENT;
}

std::optional<std::set<std::string>> DisabledHostFiles::read() const {
  std::set<std::string> out;
  if (folder_.empty())
    return std::nullopt;
  const std::unique_ptr<DIR, int (*)(DIR*)> folder(opendir(folder_.c_str()), &closedir);
  if (!folder)
    return errno == ENOENT ? std::optional(out) : std::nullopt;
  while (const dirent* entry = readdir(folder.get())) {
    const std::string name = entry->d_name;
    if (name.compare(0, kPrefix.size(), kPrefix) != 0)
      continue;  // others lie there as well
    if (const auto host = host_name(name.substr(kPrefix.size())))
      out.insert(*host);
  }
  return out;
}

}  // namespace lotusyard::endpoints
