// A client that sends bytes and records what it receives.
#pragma once

#include <catch2/catch.hpp>
#include <string>
#include <utility>

#include "net/buffered_connection.h"
#include "support/invoker_fixture.h"
#include "support/test_settings.h"

namespace lotusyard::golden {

// Settings with deadlines that suffice on a busy machine.
inline core::Settings long_deadline_settings() {
  core::Settings out = test::settings();
  for (auto& row : out.classes)
    row.deadline = core::Millis(60000);
  return out;
}

class RecordingClient final : public net::BufferedConnection {
 public:
  RecordingClient(test::InvokerFixture& fixture, const std::string& address, const std::string& bytes)
      : BufferedConnection(fixture.loop, fixture.pool, net::connect_to(address).socket, true) {
    write(bytes);
  }
  void send(const std::string& bytes) { write(bytes); }
  const std::string& received_bytes() const { return received_bytes_; }
  bool closed() const { return closed_; }

 private:
  std::string received_bytes_;
  bool closed_ = false;

  void on_connected() override { loop().flush_later(*this); }
  void on_received(std::string_view bytes) override { received_bytes_ += bytes; }
  void on_closed() override { closed_ = true; }
};

}  // namespace lotusyard::golden
