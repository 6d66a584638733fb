// Where the answer to a delivery is sent.
#pragma once

#include <string>

namespace lotusyard::amqp {

struct ReplyAddress {
  std::string reply_to;        // a queue
  std::string correlation_id;  // identifies the message that is answered

  // Is stored with results: do not change it.
  std::string text() const { return reply_to + '\n' + correlation_id; }
  bool operator==(const ReplyAddress& other) const {
    return reply_to == other.reply_to && correlation_id == other.correlation_id;
  }
};

}  // namespace lotusyard::amqp
