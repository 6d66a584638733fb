#include "scale/hollow_processes.h"

namespace lotusyard::test {
namespace {

constexpr int kSpansToCalibrate = 20000;

}  // namespace

bool CpuMeter::enabled = false;

double CpuMeter::read() {
  timespec at{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &at);
  return static_cast<double>(at.tv_sec) + static_cast<double>(at.tv_nsec) / 1e9;
}

double CpuMeter::cost_of_span() {
  static const double cost = [] {
    double sum = 0;
    for (int i = 0; i < kSpansToCalibrate; ++i) {
      const double began = read();
      sum += read() - began;
    }
    return sum / kSpansToCalibrate;
  }();
  return cost;
}

void HollowNode::send(LinkId link, const std::string& frame) {
  if (!CpuMeter::enabled && !sent_deltas[link].follows_on(frame))
    ++skipped_deltas;
  Packet packet;
  packet.frame = frame;
  packet.node_lease_end = lease_end;
  outbox.push_back({link, std::move(packet)});
  Link* found = network.find(link);
  if (found != nullptr)
    found->unread += frame.size();
}

bool HollowNode::has_room(LinkId link) const {
  const Link* found = network.find(link);
  return found != nullptr && found->unread < network.capacity().send_buffer;
}

void HollowNode::end(LinkId link) {
  sent_deltas.erase(link);
  Packet last;
  last.kind = Packet::Kind::end;
  outbox.push_back({link, std::move(last)});
}

}  // namespace lotusyard::test
