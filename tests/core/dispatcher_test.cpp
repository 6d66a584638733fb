// The life cycle of calls in the core: deadlines, changes of the settings, aborted calls.
#include "core/dispatcher.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <vector>

#include "core/dispatcher_fixture.h"
#include "support/test_settings.h"

namespace lotusyard::test {
namespace {

TEST_CASE("a call for which there is no host is answered by its deadline") {
  DispatcherFixture fixture(0);
  const auto id = fixture.admit_call("bin-record", "r");
  fixture.advance(Millis(1016));
  REQUIRE(fixture.front_end.answers(id).size() == 1);
  CHECK(fixture.front_end.answers(id)[0].status == core::CallStatus::rejected);
}

// The class bin-check is no longer idempotent, bin-record is removed, and bin-weigh is new.
core::Settings changed_settings() {
  core::Settings changed = settings();
  changed.retries.max_attempts = 1;
  changed.classes[0].semantics = policy::Semantics::non_idempotent;
  changed.classes[1].name = "bin-weigh";
  changed.classes[1].semantics = policy::Semantics::idempotent;
  return changed;
}

TEST_CASE("an open call keeps the settings under which it was admitted; later calls are under the new ones") {
  DispatcherFixture fixture(4);
  const auto open_check = fixture.admit_call("bin-check", "0000000000000001");
  fixture.dispatcher.apply_settings(changed_settings());
  fixture.end_attempts_of(open_check, core::Outcome::error);  // it may be retried up to four times
  CHECK(fixture.transport.attempts_of(open_check) == 2);
  fixture.end_attempts_of(open_check, core::Outcome::ok);
  const auto later_check = fixture.admit_call("bin-check", "0000000000000002");
  fixture.end_attempts_of(later_check, core::Outcome::error);
  CHECK(fixture.transport.attempts_of(later_check) == 1);
  CHECK(fixture.front_end.answers(later_check).at(0).status == core::CallStatus::failed);
  const auto weigh = fixture.admit_call("bin-weigh", "0000000000000003");
  fixture.end_attempts_of(weigh, core::Outcome::no_instance);
  CHECK(fixture.transport.attempts_of(weigh) == 1);
  CHECK(fixture.admit(fixture.make_call("bin-record", "0000000000000004")) ==
        core::RejectionReason::unknown_class);
  CHECK(fixture.counters.value("calls.unknown_class") == 1);
  CHECK(fixture.counters.value("guard.send_stopped") == 0);
}

TEST_CASE("aborting calls that were never sent rejects them at once; calls in flight continue") {
  core::Settings one_class = settings();
  one_class.classes.resize(1);
  DispatcherFixture fixture(1, one_class);
  std::vector<core::CallId> ids;  // more than one host serves at once, so that some wait
  for (int i = 0; i < 40; ++i)
    ids.push_back(fixture.admit_call("bin-check", "00000000000000" + std::to_string(10 + i)));
  std::set<core::CallId> sent;
  for (const auto& [attempt, recorded] : fixture.transport.attempts())
    sent.insert(attempt.call);
  REQUIRE((!sent.empty() && sent.size() < ids.size() - 1));
  const auto excepted = *std::find_if(ids.begin(), ids.end(), [&](auto id) { return sent.count(id) == 0; });
  fixture.dispatcher.abort_calls(core::Dispatcher::CallSelection::never_sent,
                                 [&](core::CallId id) { return id != excepted; });
  for (const auto id : ids) {
    const bool continues = sent.count(id) != 0 || id == excepted;
    REQUIRE(fixture.front_end.has_answered(id) == !continues);
    if (!continues)
      CHECK(fixture.front_end.answers(id).at(0).status == core::CallStatus::rejected);
  }
  for (const auto id : sent) {
    fixture.end_attempts_of(id, core::Outcome::ok);
    CHECK(fixture.front_end.answers(id).size() == 1);
  }
}

}  // namespace
}  // namespace lotusyard::test
