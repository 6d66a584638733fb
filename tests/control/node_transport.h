// A control node's transport for the tests: frames are read back into messages and wait by link.
#pragma once

#include <deque>
#include <map>
#include <set>
#include <stdexcept>

#include "control/control_node.h"

namespace lotusyard::test {

class NodeTransport : public control::ControlNode::Transport {
 public:
  using LinkId = control::ControlNode::LinkId;

  std::size_t room = 1000;  // so many frames may wait on each link
  std::map<LinkId, std::deque<control::Message>> waiting;
  std::set<LinkId> ended_links;

  void send(LinkId link, const std::string& frame) override {
    control::MessageReader reader(control::longest_to_invoker);
    std::vector<control::Message> messages;
    const bool is_one = reader.parse(frame, messages) && messages.size() == 1;
    if (!is_one || ended_links.count(link) != 0)
      throw std::logic_error("a frame that must not be sent");
    waiting[link].push_back(std::move(messages[0]));
  }
  bool has_room(LinkId link) const override {
    const auto found = waiting.find(link);
    return found == waiting.end() || found->second.size() < room;
  }
  void end(LinkId link) override { ended_links.insert(link); }

  bool ended(LinkId link) const { return ended_links.count(link) != 0; }
  // All that waits on a link, taken from it.
  std::deque<control::Message> take(LinkId link) { return std::exchange(waiting[link], {}); }
  // The next message, which must be of that kind.
  template <typename Kind>
  Kind next(LinkId link) {
    auto& queue = waiting[link];
    if (queue.empty())
      throw std::logic_error("nothing was sent");
    Kind out = std::get<Kind>(std::move(queue.front()));
    queue.pop_front();
    return out;
  }
};

}  // namespace lotusyard::test
