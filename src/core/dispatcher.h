// A call's life: taken, tried at hosts, with as many attempts out as the settings allow, ended by exactly one
// final answer.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <unordered_map>
#include <unordered_set>

#include "core/counters.h"
#include "core/keys.h"
#include "core/module.h"
#include "core/types.h"

namespace lotusyard::core {

class Dispatcher {
 public:
  using Clock = std::function<Millis()>;
  Dispatcher(const Settings& settings, Clock clock, Hosts& hosts, Counters& counters);

  // The id is made beforehand, so that a front can file the call before an answer comes.
  CallId next_id() { return ++last_id_; }
  // False if it is not taken: no host could use it, or its ref is not its own. It is owed a failure.
  bool take(CallId id, Call&& call, Front& front);
  void leave(CallId id);  // the client is gone: no answer is owed

  // The caller's side of the last look, right before an attempt's first byte goes to the kernel.
  // once_read: when what the caller has sent was read. over: whoever ends the call takes the attempt back.
  enum class Begin { now, once_read, over };
  Begin may_begin(const Attempt& attempt, Millis decided);
  // Reads what the caller has sent, so that the next look finds it read.
  void read_caller(const Attempt& attempt);
  const Call* call_of(CallId id) const;

  void attempt_ended(const Attempt& attempt, AttemptEnd&& end);
  void load_ended(LoadOutcome&& end);
  void probe_ended(ProbeOutcome&& end);
  void members(HostList&& list);
  void retune(const Settings& settings);  // open calls keep the rules under which they were taken

  // Answers at once those that `which` names: what never ran is refused, what may have run is failed.
  enum class Which { held, all };  // held: only those that never went out
  void give_up(Which kind, const std::function<bool(CallId)>& which);

  // Told of each attempt's end, before the call's, where set.
  using Witness = std::function<void(const std::string& host, const Call& call, Outcome outcome)>;
  void watch(Witness witness) { witness_ = std::move(witness); }
  // Told of each call that is refused and never went out, where set.
  using Refused = std::function<void(const Call& call)>;
  void watch_refusals(Refused refused) { refused_ = std::move(refused); }
  void guard(robinfold::Gate* gate) { module_.guard(gate); }  // which hosts a call may go to at all
  const Settings& settings() const { return *settings_; }

  void tick();
  Millis next_due() const;
  std::size_t open() const { return calls_.size(); }

 private:
  struct Out {
    Attempt attempt;
    std::string host;
    Millis sent{0};
  };
  struct Open {
    Call call;
    Front* front = nullptr;
    std::shared_ptr<const Settings> rules;
    const robinfold::ClassSettings* cls = nullptr;  // in `rules`
    bool may_have_run = false;                      // one of those that have ended
    int attempts = 0;
    std::vector<Out> out;
    bool keyed() const { return cls->semantics == robinfold::Semantics::keyed; }
  };
  struct Due {
    Millis at{0};
    CallId call = 0;
    int attempt = -1;  // -1: the call's own deadline
    bool operator>(const Due& o) const {
      return std::tie(at, call, attempt) > std::tie(o.at, o.call, o.attempt);
    }
  };

  std::shared_ptr<const Settings> settings_;
  Clock clock_;
  Hosts& hosts_;
  Counters& counters_;
  Module module_;
  CallId last_id_ = 0;
  std::unordered_map<CallId, Open> calls_;
  std::unordered_set<std::string> refs_;  // of open calls, and of those that ended a short while ago
  std::deque<std::pair<Millis, std::string>> ended_refs_;
  Keys keys_;
  std::unordered_map<std::string, Place> places_;  // of the hosts on the list
  std::priority_queue<Due, std::vector<Due>, std::greater<>> due_;
  std::deque<Step> steps_;
  bool running_ = false;
  Witness witness_;
  Refused refused_;

  void run(Steps&& steps);
  void carry_out(const SendStep& step);
  void carry_out(const RefuseStep& step);
  void carry_out(const FailStep& step);
  void carry_out(const CancelStep& step);
  void carry_out(const ProbeStep& step) { hosts_.probe(step.host); }
  void carry_out(const LoadStep& step);
  void carry_out(const UnloadStep& step) { hosts_.release(step.host, step.function); }
  // Takes the attempt from those that are out and books how it ended; none if it is not out.
  std::optional<Out> take_out(CallId id, Open& open, int number, Outcome outcome);
  void tell_end(Out&& out, Outcome outcome, bool over);
  void drop_all(CallId id, Open& open);
  bool may_go(const Open& open, const std::string& host) const;
  void end_keyed(const Open& open);
  void finish(CallId id, Answer&& answer);
  const char* fault_of(const Call& call) const;
  void remember_ref(const std::string& ref);
  void forget_refs();
  Open* find(CallId id);
};

}  // namespace lotusyard::core
