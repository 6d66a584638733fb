// Resource usage of a child process, read from outside: /proc for processor time, memory and descriptors, and
// TCP_INFO of its own sockets, taken by pidfd_getfd(2), for payload bytes. /proc/PID/io does not count
// send() and recv(), so it is not used.
#pragma once

#include <dirent.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <cstdint>
#include <fstream>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "net/socket.h"

namespace lotusyard::scale {

struct SocketBytes {
  bool among_members = false;  // one end is a member's listening address
  std::uint64_t sent = 0, received = 0, segments_out = 0;
};

struct Usage {
  double processor_seconds = 0;
  double resident_bytes = 0;
  double descriptors = 0;
  std::map<std::uint64_t, SocketBytes> sockets;  // by the kernel's cookie
};

// Usage per second between two readings of one process.
struct UsageRate {
  double core_share = 0, sent = 0, received = 0, segments_out = 0;  // per second
  double members_sent = 0, members_received = 0;                    // likewise, between members only
};

inline std::vector<int> descriptors_of(pid_t pid) {
  std::vector<int> out;
  DIR* folder = opendir(("/proc/" + std::to_string(pid) + "/fd").c_str());
  if (folder == nullptr)
    return out;
  while (const dirent* entry = readdir(folder)) {
    if (entry->d_name[0] != '.')
      out.push_back(std::stoi(entry->d_name));
  }
  closedir(folder);
  return out;
}

// Nanosecond resolution, unlike /proc/PID/stat; sums over all threads.
inline double processor_seconds_of(pid_t pid) {
  const std::string tasks = "/proc/" + std::to_string(pid) + "/task";
  double out = 0;
  DIR* folder = opendir(tasks.c_str());
  if (folder == nullptr)
    return 0;
  while (const dirent* entry = readdir(folder)) {
    if (entry->d_name[0] == '.')
      continue;
    std::ifstream in(tasks + "/" + entry->d_name + "/schedstat");
    double nanoseconds = 0;
    if (in >> nanoseconds)
      out += nanoseconds * 1e-9;
  }
  closedir(folder);
  return out;
}

inline double resident_bytes_of(pid_t pid) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/statm");
  double total = 0, resident = 0;
  in >> total >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

inline int port_of(int fd, int (*name_of)(int, sockaddr*, socklen_t*)) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  if (name_of(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0)
    return 0;
  return address.sin_family == AF_INET ? ntohs(address.sin_port) : 0;
}

// Adds the byte counts of a connected TCP socket; ignores any other descriptor.
inline void read_socket(int fd, const std::set<int>& member_ports, Usage& out) {
  tcp_info info{};
  socklen_t size = sizeof info;
  if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0)
    return;
  const int remote = port_of(fd, getpeername);
  if (remote == 0)
    return;
  std::uint64_t cookie = 0;
  size = sizeof cookie;
  if (getsockopt(fd, SOL_SOCKET, SO_COOKIE, &cookie, &size) != 0)
    return;
  const bool members = member_ports.count(remote) + member_ports.count(port_of(fd, getsockname)) > 0;
  out.sockets[cookie] = {members, info.tcpi_bytes_sent, info.tcpi_bytes_received, info.tcpi_segs_out};
}

inline Usage usage_of(pid_t pid, const std::set<int>& member_ports) {
  Usage out;
  const auto descriptors = descriptors_of(pid);
  out.descriptors = static_cast<double>(descriptors.size());
  out.resident_bytes = resident_bytes_of(pid);
  out.processor_seconds = processor_seconds_of(pid);
  const net::Socket process(static_cast<int>(syscall(SYS_pidfd_open, pid, 0)));
  if (!process)
    return out;
  for (const int descriptor : descriptors) {
    const net::Socket copy(static_cast<int>(syscall(SYS_pidfd_getfd, process.fd(), descriptor, 0)));
    if (copy)
      read_socket(copy.fd(), member_ports, out);
  }
  return out;
}

// Traffic of sockets closed in between is missing; the counter `group.links_ended` shows whether any were.
inline UsageRate rate_between(const Usage& before, const Usage& after, double seconds) {
  UsageRate out;
  out.core_share = (after.processor_seconds - before.processor_seconds) / seconds;
  for (const auto& [cookie, current] : after.sockets) {
    const auto found = before.sockets.find(cookie);
    const SocketBytes earlier = found == before.sockets.end() ? SocketBytes() : found->second;
    const double sent = static_cast<double>(current.sent - earlier.sent) / seconds;
    const double received = static_cast<double>(current.received - earlier.received) / seconds;
    out.sent += sent;
    out.received += received;
    out.segments_out += static_cast<double>(current.segments_out - earlier.segments_out) / seconds;
    out.members_sent += current.among_members ? sent : 0;
    out.members_received += current.among_members ? received : 0;
  }
  return out;
}

}  // namespace lotusyard::scale
