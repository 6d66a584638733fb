// An invoker with its RESP front end, stand-in hosts behind it, and a client, on one event loop.
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
  Client(InvokerFixture& fixture, const std::string& address)
      : BufferedConnection(fixture.loop, fixture.pool, net::connect_to(address).socket, true),
        fixture_(fixture) {}
  void send(const std::vector<std::string_view>& words) {
    std::string out;
    resp::write_array(out, words);
    write(out);
  }
  void call(const std::string& tag, const std::string& call_class, const std::string& body,
            int allow = 1000) {
    const std::string fields = "ref=" + net::hex16(std::hash<std::string>()(tag + body)) +
                               ",allow=" + std::to_string(allow) +
                               ",lookup=00000000000000a1,spec=memory_mb:300;lanes:4";
    send({"CALL", tag, call_class, fields, body});
  }
  const resp::Words* answer(const std::string& tag) {
    const auto has = [&] {
      return std::any_of(answers.begin(), answers.end(), [&](const auto& w) { return w[0] == tag; });
    };
    if (!fixture_.run_until([&] { return has() || closed; }, 20000) || !has())
      return nullptr;
    return &*std::find_if(answers.begin(), answers.end(), [&](const auto& w) { return w[0] == tag; });
  }
  std::vector<resp::Words> answers;
  bool closed = false;

 private:
  InvokerFixture& fixture_;
  resp::Parser parser_;
  void on_connected() override { loop().flush_later(*this); }
  void on_received(std::string_view bytes) override { REQUIRE(parser_.parse(bytes, answers)); }
  void on_closed() override { closed = true; }
};

struct RespFixture {
  InvokerFixture invoker;
  resp::FrontEnd front_end;
  explicit RespFixture(std::size_t hosts, resp::FrontEnd::Limits limits = {},
                       const hosts::Limits& host_limits = InvokerFixture::limits(),
                       const core::Settings& s = settings())
      : invoker(hosts, s, host_limits),
        front_end(invoker.loop, invoker.pool, invoker.dispatcher, invoker.counters, limits) {
    REQUIRE(front_end.listen("127.0.0.1:0"));
  }
};

}  // namespace lotusyard::test
