#include "endpoints/disabled_host_files.h"

#include <dirent.h>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <memory>
#include <string_view>

#include "net/socket.h"

namespace lotusyard::endpoints {
namespace {

constexpr std::size_t kMaxFileNameBytes = 200;  // file systems allow 255
constexpr std::string_view kFilePrefix = "out.";
constexpr std::string_view kHexDigits = "0123456789ABCDEF";
constexpr mode_t kFolderMode = 0700;
constexpr mode_t kFileMode = 0600;

bool needs_no_escape(char character) {
  const bool is_digit = character >= '0' && character <= '9';
  const bool is_lower = character >= 'a' && character <= 'z';
  const bool is_upper = character >= 'A' && character <= 'Z';
  return is_digit || is_lower || is_upper || character == '-' || character == '_';
}

std::string escape(char character) {
  const auto byte = static_cast<unsigned char>(character);
  return {'%', kHexDigits[byte >> 4], kHexDigits[byte & 15]};
}

}  // namespace

std::string DisabledHostFiles::file_name(const std::string& host) {
  std::string name;
  for (const char character : host) {
    if (needs_no_escape(character))
      name += character;
    else
      name += escape(character);
  }
  return name.size() > kMaxFileNameBytes ? std::string() : name;
}

std::optional<std::string> DisabledHostFiles::host_name(const std::string& file) {
  std::string host;
  for (std::size_t i = 0; i < file.size(); ++i) {
    if (file[i] != '%') {
      host += file[i];
      continue;
    }
    const std::string digits = file.substr(i + 1, 2);
    if (digits.size() != 2 || digits.find_first_not_of(kHexDigits) != std::string::npos)
      return std::nullopt;
    host += static_cast<char>(std::stoi(digits, nullptr, 16));
    i += 2;
  }
  // A file whose name file_name() would not produce was not created by this class.
  if (host.empty() || file_name(host) != file)
    return std::nullopt;
  return host;
}

std::string DisabledHostFiles::path_of(const std::string& encoded_host) const {
  return folder_ + '/' + std::string(kFilePrefix) + encoded_host;
}

bool DisabledHostFiles::add(const std::string& host) {
  const std::string name = file_name(host);
  if (folder_.empty() || name.empty())
    return false;
  if (mkdir(folder_.c_str(), kFolderMode) != 0 && errno != EEXIST)
    return false;
  const net::Socket file(open(path_of(name).c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, kFileMode));
  return static_cast<bool>(file);
}

bool DisabledHostFiles::remove(const std::string& host) {
  const std::string name = file_name(host);
  if (folder_.empty() || name.empty())
    return false;
  return unlink(path_of(name).c_str()) == 0 || errno == ENOENT;
}

std::optional<std::set<std::string>> DisabledHostFiles::read() const {
  std::set<std::string> hosts;
  if (folder_.empty())
    return std::nullopt;
  const std::unique_ptr<DIR, int (*)(DIR*)> folder(opendir(folder_.c_str()), &closedir);
  if (!folder)
    return errno == ENOENT ? std::optional(hosts) : std::nullopt;
  while (const dirent* entry = readdir(folder.get())) {
    const std::string name = entry->d_name;
    if (name.compare(0, kFilePrefix.size(), kFilePrefix) != 0)
      continue;  // the folder also holds files of other kinds
    if (const auto host = host_name(name.substr(kFilePrefix.size())))
      hosts.insert(*host);
  }
  return hosts;
}

}  // namespace lotusyard::endpoints
