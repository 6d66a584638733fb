// Declares the configured topology at a broker.
#pragma once

#include <cstdint>
#include <string>

#include "amqp/method_sender.h"
#include "amqp/topology.h"

namespace lotusyard::amqp {

// Sends one declaration after the other: only one is in flight, so that a refusal is known to be of that one.
// `topology` and `sender` must outlive it.
class TopologyDeclarer {
 public:
  TopologyDeclarer(const Topology& topology, MethodSender& sender) : topology_(topology), sender_(sender) {}

  bool is_complete() const { return confirmed_ == topology_.size(); }
  // Sends the next declaration; not to be called once all are confirmed.
  void send_next();
  // Whether the method confirms the declaration in flight; if so, the next one may be sent.
  bool confirm(std::uint32_t method);
  // The configuration key of the declaration in flight.
  const std::string& current_key() const { return topology_[confirmed_].key; }

 private:
  const Topology& topology_;
  MethodSender& sender_;
  std::size_t confirmed_ = 0;
};

}  // namespace lotusyard::amqp
