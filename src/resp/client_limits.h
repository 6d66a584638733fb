// The limits on what clients may use of this process.
#pragma once

#include <cstddef>

namespace lotusyard::resp {

struct ClientLimits {
  std::size_t clients = 256;         // connections that have sent a request
  std::size_t new_connections = 64;  // connections that have not
  std::size_t calls_per_client = 32;
  std::size_t body_bytes = 48U << 20;   // of all open calls
  std::size_t unread_bytes = 8U << 20;  // responses that one client has not read
};

}  // namespace lotusyard::resp
