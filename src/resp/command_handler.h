// Carries out the commands of clients: CALL, CANCEL and CHECK.
#pragma once

#include <string>

#include "core/dispatcher.h"
#include "metrics/counter.h"
#include "metrics/counters.h"
#include "resp/client_connection.h"
#include "resp/client_limits.h"
#include "resp/open_call_table.h"
#include "resp/parser.h"
#include "resp/response_writer.h"

namespace lotusyard::resp {

class CommandHandler {
 public:
  // `front_end` receives the answers to calls from the dispatcher.
  CommandHandler(core::Dispatcher& dispatcher, core::FrontEnd& front_end, metrics::Counters& counters,
                 const ClientLimits& limits, OpenCallTable& open_calls, ResponseWriter& responses)
      : dispatcher_(dispatcher),
        front_end_(front_end),
        counters_(counters),
        limits_(limits),
        open_calls_(open_calls),
        responses_(responses) {}

  void handle(ClientConnection& client, Words&& command);

  // CHECK is answered with DOWN from now on.
  void report_not_serving() { serving_ = false; }
  // New calls are rejected from now on; returns whether they were admitted until now.
  bool stop_admitting();

 private:
  void handle_call(ClientConnection& client, Words&& command);
  void handle_cancel(ClientConnection& client, const std::string& tag);
  void admit(ClientConnection& client, const std::string& tag, core::Call&& call);
  // Answers a call that cannot be admitted, and counts it as faulty.
  void reject(ClientConnection& client, const std::string& tag, const metrics::Counter& reason,
              core::CallStatus status);
  // There is no tag under which a fault could be answered.
  void reject_unanswerable(ClientConnection& client, const metrics::Counter& reason);

  core::Dispatcher& dispatcher_;
  core::FrontEnd& front_end_;
  metrics::Counters& counters_;
  const ClientLimits& limits_;
  OpenCallTable& open_calls_;
  ResponseWriter& responses_;
  bool serving_ = true;
  bool admitting_ = true;
};

}  // namespace lotusyard::resp
