// A transport for a control node that decodes the frames sent and queues the messages by connection.
#pragma once

#include <deque>
#include <map>
#include <set>
#include <stdexcept>

#include "control/control_node.h"
#include "control/message_codec.h"

namespace lotusyard::test {

class NodeTransport : public control::ControlNode::Transport {
 public:
  using ConnectionId = control::ControlNode::ConnectionId;

  std::size_t room = 1000;  // frames that may be queued on each connection
  std::map<ConnectionId, std::deque<control::Message>> waiting;
  std::set<ConnectionId> closed_connections;

  void send(ConnectionId connection, const std::string& frame) override {
    control::MessageReader reader(control::kMaxFrameBytesToInvoker);
    std::vector<control::Message> messages;
    const bool is_one = reader.parse(frame, messages) && messages.size() == 1;
    if (!is_one || closed_connections.count(connection) != 0)
      throw std::logic_error("a frame that must not be sent");
    waiting[connection].push_back(std::move(messages[0]));
  }
  bool has_room(ConnectionId connection) const override {
    const auto found = waiting.find(connection);
    return found == waiting.end() || found->second.size() < room;
  }
  void close(ConnectionId connection) override { closed_connections.insert(connection); }

  bool ended(ConnectionId connection) const { return closed_connections.count(connection) != 0; }
  // Removes and returns all messages queued on a connection.
  std::deque<control::Message> take(ConnectionId connection) {
    return std::exchange(waiting[connection], {});
  }
  // Removes and returns the next message, which must be of that kind.
  template <typename Kind>
  Kind next(ConnectionId connection) {
    auto& queue = waiting[connection];
    if (queue.empty())
      throw std::logic_error("nothing was sent");
    Kind out = std::get<Kind>(std::move(queue.front()));
    queue.pop_front();
    return out;
  }
};

}  // namespace lotusyard::test
