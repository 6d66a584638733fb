#include "hosts/deferred_ends.h"

namespace lotusyard::hosts {

using core::Outcome;

void DeferredEnds::attempt_ended(const core::Attempt& attempt, Outcome outcome) {
  services_.loop.schedule_at(services_.loop.now(), [this, attempt, outcome] {
    services_.dispatcher->attempt_ended(attempt, {outcome, 0, std::nullopt, {}});
  });
}

void DeferredEnds::probe_ended(const std::string& host, Outcome outcome) {
  services_.loop.schedule_at(services_.loop.now(), [this, host, outcome] {
    services_.dispatcher->probe_ended({host, outcome, Millis(0), std::nullopt});
  });
}

void DeferredEnds::load_ended(const std::string& host, std::uint64_t function, Outcome outcome) {
  services_.loop.schedule_at(services_.loop.now(), [this, host, function, outcome] {
    services_.dispatcher->load_ended({host, function, outcome, Millis(0), 0});
  });
}

}  // namespace lotusyard::hosts
