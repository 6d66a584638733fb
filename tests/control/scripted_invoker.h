// An invoker that sends and reads only what the test requests.
#pragma once

#include <sys/socket.h>

#include <catch2/catch.hpp>
#include <cerrno>
#include <string>
#include <vector>

#include "control/message_codec.h"
#include "net/socket.h"

namespace lotusyard::test {

class ScriptedInvoker {
 public:
  explicit ScriptedInvoker(const std::string& address) : socket_(net::connect_to(address).socket) {
    REQUIRE(static_cast<bool>(socket_));
    // Otherwise the kernel buffers many megabytes for a peer that does not read.
    const int size = kReceiveBuffer;
    setsockopt(socket_.fd(), SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
  }
  void send(const control::Message& message) { send_bytes(control::encode(message)); }
  void send_bytes(const std::string& bytes) {
    unsent_ += bytes;
    write();
  }
  // Writes as much of the unsent bytes as the kernel accepts.
  void write() {
    if (unsent_.empty())
      return;
    const ssize_t sent = ::send(socket_.fd(), unsent_.data(), unsent_.size(), MSG_NOSIGNAL);
    if (sent > 0)
      unsent_.erase(0, static_cast<std::size_t>(sent));
  }
  std::size_t unsent() const { return unsent_.size(); }
  void read() {
    write();
    char block[65536];
    for (;;) {
      const ssize_t got = ::recv(socket_.fd(), block, sizeof block, 0);
      if (got < 0 && errno == EINTR)
        continue;
      if (got < 0 && (errno == EAGAIN || errno == ENOTCONN))
        return;
      if (got <= 0) {
        ended = true;
        return;
      }
      REQUIRE(reader_.parse(std::string_view(block, static_cast<std::size_t>(got)), messages));
    }
  }
  // The first message of that type that was read; null if there is none.
  template <typename Type>
  const Type* first() const {
    for (const auto& message : messages) {
      if (const auto* found = std::get_if<Type>(&message))
        return found;
    }
    return nullptr;
  }
  std::vector<control::Message> messages;
  bool ended = false;

 private:
  static constexpr int kReceiveBuffer = 64 << 10;
  net::Socket socket_;
  std::string unsent_;
  control::MessageReader reader_{control::kMaxFrameBytesToInvoker};
};

}  // namespace lotusyard::test
