// The core of an invoker, connected to stand-in hosts, on an event loop that the test runs.
#pragma once

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "core/dispatcher.h"
#include "hosts/connection_pool.h"
#include "metrics/counters.h"
#include "net/event_loop.h"
#include "support/stand_in_host.h"
#include "support/test_settings.h"

namespace lotusyard::test {

// The parts of an invoker behind its front ends, and stand-in hosts for it.
class InvokerFixture {
 public:
  explicit InvokerFixture(std::size_t hosts, const core::Settings& s = settings(),
                          const hosts::Limits& l = limits(), net::Clocks clocks = net::Clocks::system())
      : loop(std::move(clocks)),
        pool(4096),
        host_pool(loop, pool, counters, l),
        dispatcher(
            s, [this] { return loop.now(); }, host_pool, counters) {
    loop.count_errors([this](const metrics::Counter& counter) { counters.add(counter); });
    host_pool.attach(dispatcher);
    for (std::size_t i = 0; i < hosts; ++i)
      host.push_back(std::make_unique<StandInHost>(loop, pool));
    update_hosts(lotusyard::policy::HostState::ready);
  }
  // Sends a full list of hosts with the state of all hosts, or of host `one`, changed.
  void update_hosts(lotusyard::policy::HostState state, double started = 0, std::size_t one = SIZE_MAX) {
    states.resize(host.size());
    core::HostListUpdate list{true, {}};
    core::HostList entries{core::ListKind::full, {}};
    for (std::size_t i = 0; i < host.size(); ++i) {
      core::ListedHost member;
      member.entry.host = "h" + std::to_string(i);
      if (one == SIZE_MAX || one == i)
        states[i] = {state, Millis(started), loop.now()};
      member.entry.state = states[i].state;
      member.entry.started = states[i].started;
      member.address = host[i]->server.address();
      list.hosts.push_back(member);
      entries.entries.push_back(member.entry);
    }
    host_pool.update_endpoints(list);
    dispatcher.update_endpoints(std::move(entries));
  }
  void run_once() {
    loop.run_once(std::min(dispatcher.next_deadline(), loop.now() + Millis(20)),
                  [this] { dispatcher.tick(); });
  }
  template <typename Until>
  bool run_until(const Until& until, int most = 200000) {
    for (int i = 0; i < most; ++i) {
      if (until())
        return true;  // `until` may have effects: it is not evaluated again once it is true
      run_once();
    }
    return until();
  }
  static hosts::Limits limits() {
    hosts::Limits l;
    l.report_fields = {"inflight", "util"};
    return l;
  }
  struct ListedState {
    lotusyard::policy::HostState state = lotusyard::policy::HostState::removed;
    Millis started{0}, at{0};
  };
  net::EventLoop loop;
  net::BufferPool pool;
  metrics::Counters counters;
  std::vector<std::unique_ptr<StandInHost>> host;
  std::vector<ListedState> states;
  hosts::HostConnectionPool host_pool;
  core::Dispatcher dispatcher;
};

}  // namespace lotusyard::test
