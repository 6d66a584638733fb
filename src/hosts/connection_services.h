// Services, limits and state that the connections of one pool share.
#pragma once

#include <memory>

#include "core/dispatcher.h"
#include "hosts/connect_backoff.h"
#include "hosts/ended_refs.h"
#include "hosts/limits.h"
#include "hosts/liveness_probe_budget.h"
#include "hosts/response_time_estimate.h"
#include "hosts/tag_sequence.h"
#include "metrics/counters.h"
#include "net/buffer.h"
#include "net/event_loop.h"

namespace lotusyard::hosts {

class HostConnectionListener;

// Owned by the pool, which outlives all users of it.
struct ConnectionServices {
  net::EventLoop& loop;
  net::BufferPool& buffers;
  metrics::Counters& counters;
  HostConnectionListener& listener;
  Limits limits;
  core::Dispatcher* dispatcher = nullptr;  // set by HostConnectionPool::attach, before the first connection
  ConnectBackoff connect_backoff{};
  LivenessProbeBudget probe_budget{};
  ResponseTimeEstimate response_times{};
  TagSequence tags{};
  std::shared_ptr<EndedRefMemory> ended_refs = std::make_shared<EndedRefMemory>();

  // True while this machine may be unable to make new connections. Evaluated for each host of each call, so
  // it reads the clock only after a failure.
  bool is_connecting_impaired() const {
    return !connect_backoff.has_no_failure() && connect_backoff.is_impaired(loop.now());
  }
};

}  // namespace lotusyard::hosts
