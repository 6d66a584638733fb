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
      const double started = read();
      sum += read() - started;
    }
    return sum / kSpansToCalibrate;
  }();
  return cost;
}

void HollowNode::send(ConnectionId connection, const std::string& frame) {
  if (!CpuMeter::enabled && !sent_deltas[connection].is_continuous(frame))
    ++skipped_deltas;
  Packet packet;
  packet.frame = frame;
  packet.node_lease_end = lease_end;
  outbox.push_back({connection, std::move(packet)});
  HollowConnection* found = network.find(connection);
  if (found != nullptr)
    found->unread += frame.size();
}

bool HollowNode::has_room(ConnectionId connection) const {
  const HollowConnection* found = network.find(connection);
  return found != nullptr && found->unread < network.capacity().send_buffer;
}

void HollowNode::close(ConnectionId connection) {
  sent_deltas.erase(connection);
  Packet last;
  last.kind = Packet::Kind::end;
  outbox.push_back({connection, std::move(last)});
}

}  // namespace lotusyard::test
