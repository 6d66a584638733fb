// The methods of AMQP 0-9-1 that are in use, under the specification's names.
#pragma once

#include <cstdint>

namespace lotusyard::amqp::method {

// A method is identified by its class and its number within the class.
constexpr std::uint32_t id(std::uint32_t method_class, std::uint32_t number) {
  return method_class << 16 | number;
}

enum Id : std::uint32_t {
  connection_start = id(10, 10),
  connection_start_ok = id(10, 11),
  connection_tune = id(10, 30),
  connection_tune_ok = id(10, 31),
  connection_open = id(10, 40),
  connection_open_ok = id(10, 41),
  connection_close = id(10, 50),
  connection_close_ok = id(10, 51),
  connection_blocked = id(10, 60),
  connection_unblocked = id(10, 61),
  channel_open = id(20, 10),
  channel_open_ok = id(20, 11),
  channel_flow = id(20, 20),
  channel_flow_ok = id(20, 21),
  channel_close = id(20, 40),
  channel_close_ok = id(20, 41),
  exchange_declare = id(40, 10),
  exchange_declare_ok = id(40, 11),
  queue_declare = id(50, 10),
  queue_declare_ok = id(50, 11),
  queue_bind = id(50, 20),
  queue_bind_ok = id(50, 21),
  basic_qos = id(60, 10),
  basic_qos_ok = id(60, 11),
  basic_consume = id(60, 20),
  basic_consume_ok = id(60, 21),
  basic_cancel = id(60, 30),
  basic_cancel_ok = id(60, 31),
  basic_publish = id(60, 40),
  basic_return = id(60, 50),
  basic_deliver = id(60, 60),
  basic_ack = id(60, 80),
  basic_reject = id(60, 90),
  basic_nack = id(60, 120),
  confirm_select = id(85, 10),
  confirm_select_ok = id(85, 11)
};

}  // namespace lotusyard::amqp::method
