// Stand-ins for the platform's side: the change log, the configuration, and clients.
#pragma once

#include "rig.h"

namespace rig {

// The change log: nothing changes after the events that the configuration holds.
class ChangeLog {
 public:
  explicit ChangeLog(int last) : last_(last) {
    listener_ = listen_on_loopback(port_);
    std::thread([this] {
      while (true) {
        const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0)
          return;
        std::thread([this, fd] {
          while (send_all(fd, std::to_string(last_) + "\n"))
            sleep_ms(1000);
          ::close(fd);
        }).detach();
      }
    }).detach();
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

 private:
  int last_;
  int port_ = 0;
  int listener_ = -1;
};

// The file of an invoker of the platform, with the settings of harvest-logs-perth in WIRE.
inline std::string platform_file(const std::string& listen, const std::string& changelog,
                                 const std::vector<int>& host_ports) {
  std::string members;
  for (std::size_t i = 0; i < host_ports.size(); ++i) {
    members += i == 0 ? "" : ",";
    members +=
        R"({"id":"s-)" + std::to_string(i + 1) + R"(","host_port":"127.0.0.1:)" +
        std::to_string(host_ports[i]) +
        R"(","locality":"osborne-park","flavor":"std-2c","cell":1,"phase":"ready","size":2,"up_since_ms":0})";
  }
  TriggerFile like;
  const std::string all = like.text();
  const std::string settings = all.substr(all.find("\"settings\""));
  return R"({"name":"n1","listen":")" + listen + R"(","seed":"8c1f30d27a5be964",
  "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
  "changelog":")" +
         changelog + R"(",
  "known":{"seq":1,"results":[{"seq":1,"fleet":{"revision":1,"complete":true,"members":[)" +
         members + R"(]}}]},
  )" + settings;
}

struct RespAnswer {
  std::string word, body;
};

// One connection of a client. Answers may come in any order.
class RespClient {
 public:
  explicit RespClient(int port) {
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    connected_ = connect(fd_, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
    const int yes = 1;
    setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
    if (connected_)
      reader_ = std::thread([this] { read(); });
  }
  ~RespClient() {
    shutdown(fd_, SHUT_RDWR);
    if (reader_.joinable())
      reader_.join();
    ::close(fd_);
  }
  bool connected() const { return connected_; }

  static std::string array(const std::vector<std::string>& words) {
    std::string out = "*" + std::to_string(words.size()) + "\r\n";
    for (const auto& word : words)
      out += "$" + std::to_string(word.size()) + "\r\n" + word + "\r\n";
    return out;
  }
  bool send(const std::vector<std::string>& words) { return send_all(fd_, array(words)); }

  // Waits for the answer under the tag.
  std::optional<RespAnswer> wait(const std::string& tag, long ms) {
    std::unique_lock<std::mutex> lock(mutex_);
    changed_.wait_for(lock, milliseconds(ms), [&] { return answers_.count(tag) != 0 || closed_; });
    const auto found = answers_.find(tag);
    if (found == answers_.end())
      return std::nullopt;
    return found->second;
  }

 private:
  void read() {
    std::string buffer;
    char bytes[65536];
    while (true) {
      const ssize_t count = recv(fd_, bytes, sizeof bytes, 0);
      if (count <= 0)
        break;
      buffer.append(bytes, static_cast<std::size_t>(count));
      while (take(buffer)) {
      }
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    closed_ = true;
    changed_.notify_all();
  }

  bool take(std::string& buffer) {
    std::size_t at = 0;
    const auto header = [&](char type) -> long {
      const auto end = buffer.find("\r\n", at);
      if (end == std::string::npos || buffer[at] != type)
        return -1;
      const long value = std::stol(buffer.substr(at + 1, end - at - 1));
      at = end + 2;
      return value;
    };
    const long words = header('*');
    if (words < 0)
      return false;
    std::vector<std::string> out;
    for (long i = 0; i < words; ++i) {
      const long size = header('$');
      if (size < 0 || buffer.size() < at + static_cast<std::size_t>(size) + 2)
        return false;
      out.push_back(buffer.substr(at, static_cast<std::size_t>(size)));
      at += static_cast<std::size_t>(size) + 2;
    }
    buffer.erase(0, at);
    const std::lock_guard<std::mutex> lock(mutex_);
    if (out.size() >= 2)
      answers_[out[0]] = {out[1], out.size() > 3 ? out[3] : std::string()};
    changed_.notify_all();
    return true;
  }

  int fd_ = -1;
  bool connected_ = false;
  std::thread reader_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, RespAnswer> answers_;
  bool closed_ = false;
};

inline void wait_until_up(int port) {
  for (int i = 0; i < 500; ++i) {
    RespClient client(port);
    if (client.connected() && client.send({"CHECK", "1", ""})) {
      const auto answer = client.wait("1", 1000);
      if (answer && answer->word == "UP")
        return;
    }
    sleep_ms(20);
  }
  could_not_run("the invoker is not up");
}

}  // namespace rig
