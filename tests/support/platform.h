// The platform's front with hosts behind it, and a client of it, on one loop.
#pragma once

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "hosts/connection_pool.h"
#include "net/buffered_connection.h"
#include "net/fields.h"
#include "resp/front_end.h"
#include "support/invoker_fixture.h"
#include "support/test_settings.h"

namespace lotusyard::test {

class Client final : public net::BufferedConnection {
 public:
  Client(InvokerFixture& world, const std::string& address)
      : BufferedConnection(world.loop, world.pool, net::connect_to(address).socket, true), world_(world) {}
  void say(const std::vector<std::string_view>& words) {
    std::string out;
    resp::write_array(out, words);
    write(out);
  }
  void call(const std::string& tag, const std::string& call_class, const std::string& body,
            int allow = 1000) {
    const std::string fields = "ref=" + net::hex16(std::hash<std::string>()(tag + body)) +
                               ",allow=" + std::to_string(allow) +
                               ",lookup=00000000000000a1,spec=memory_mb:300;lanes:4";
    say({"CALL", tag, call_class, fields, body});
  }
  const resp::Words* answer(const std::string& tag) {
    const auto has = [&] {
      return std::any_of(got.begin(), got.end(), [&](const auto& w) { return w[0] == tag; });
    };
    if (!world_.run_until([&] { return has() || closed; }, 20000) || !has())
      return nullptr;
    return &*std::find_if(got.begin(), got.end(), [&](const auto& w) { return w[0] == tag; });
  }
  std::vector<resp::Words> got;
  bool closed = false;

 private:
  InvokerFixture& world_;
  resp::Parser parser_;
  void on_connected() override { loop().flush_later(*this); }
  void on_received(std::string_view bytes) override { REQUIRE(parser_.parse(bytes, got)); }
  void on_closed() override { closed = true; }
};

struct Platform {
  InvokerFixture world;
  resp::FrontEnd front;
  explicit Platform(std::size_t hosts, resp::FrontEnd::Limits limits = {},
                    const hosts::Limits& host_limits = InvokerFixture::limits(),
                    const core::Settings& s = settings())
      : world(hosts, s, host_limits),
        front(world.loop, world.pool, world.dispatcher, world.counters, limits) {
    REQUIRE(front.listen("127.0.0.1:0"));
  }
};

}  // namespace lotusyard::test
