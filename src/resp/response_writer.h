// Encodes the responses to commands and writes them to clients.
#pragma once

#include <string>

#include "core/types.h"
#include "metrics/counters.h"
#include "resp/client_limits.h"
#include "resp/client_table.h"

namespace lotusyard::resp {

// The words on the wire are those of the protocol page.
std::string encode_answer(const std::string& tag, const core::Answer& answer);
std::string encode_check(const std::string& tag, bool serving);
std::string encode_unknown_command(const std::string& tag);

class ResponseWriter {
 public:
  ResponseWriter(ClientTable& clients, metrics::Counters& counters, const ClientLimits& limits)
      : clients_(clients), counters_(counters), limits_(limits) {}

  // Queues the answer to a call. Closes other clients that do not read, if there is no memory for it, and
  // this one, if it leaves too much unread.
  void write_answer(ClientConnection& client, const std::string& tag, const core::Answer& answer);

 private:
  ClientTable& clients_;
  metrics::Counters& counters_;
  const ClientLimits& limits_;
};

}  // namespace lotusyard::resp
