// A listener on loopback that creates an object of a test for each connection.
#pragma once

#include <catch2/catch.hpp>
#include <list>
#include <memory>
#include <string>
#include <utility>

#include "net/event_loop.h"
#include "net/socket.h"

namespace lotusyard::test {

// Accepts connections and owns each one until it removes itself.
template <typename Peer, typename Owner>
class LoopbackServer : public net::EventHandler {
 public:
  LoopbackServer(net::EventLoop& loop, net::BufferPool& pool, Owner& owner,
                 const std::string& address = "127.0.0.1:0")
      : loop_(loop), pool_(pool), owner_(owner), listener_(net::listen_on(address)) {
    REQUIRE(static_cast<bool>(listener_));
    address_ = net::bound_address(listener_);
    loop_.register_handler(listener_.fd(), *this, POLLIN);
  }
  ~LoopbackServer() override { stop(); }
  void stop() {
    if (listener_)
      loop_.unregister(listener_.fd(), *this);
    listener_.close();
  }
  const std::string& address() const { return address_; }
  std::list<std::shared_ptr<Peer>> peers;
  void ready(short) override {
    while (net::Socket socket = net::accept_from(listener_).socket) {
      peers.push_back(std::make_shared<Peer>(owner_, loop_, pool_, std::move(socket)));
    }
  }
  void remove(Peer& peer) {
    for (auto i = peers.begin(); i != peers.end(); ++i) {
      if (i->get() != &peer)
        continue;
      loop_.delete_later(*i);
      peers.erase(i);
      return;
    }
  }

 private:
  net::EventLoop& loop_;
  net::BufferPool& pool_;
  Owner& owner_;
  net::Socket listener_;
  std::string address_;
};

}  // namespace lotusyard::test
