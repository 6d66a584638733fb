// What the core deals in: calls, attempts and outcomes. Nothing here knows a wire.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "lotusyard/policy/policy.h"

namespace lotusyard::core {

using policy::HostEntry;
using policy::HostState;
using policy::ListKind;
using policy::Millis;
using policy::Outcome;
using policy::Report;
using policy::Settings;

using CallId = std::uint64_t;

// Nothing if the settings know no such class.
inline const policy::ClassSettings* class_named(const Settings& settings, const std::string& name) {
  for (const auto& c : settings.classes) {
    if (c.name == name)
      return &c;
  }
  return nullptr;
}
inline Millis longest_deadline(const Settings& settings) {
  Millis longest{0};
  for (const auto& c : settings.classes)
    longest = std::max(longest, c.deadline);
  return longest;
}

struct Call {
  std::string ref;  // as the client named it; passed on unchanged
  std::string class_name, tenant;
  std::string function_name;   // as the client wrote it
  std::uint64_t function = 0;  // the same as a number, for the module
  std::optional<double> cost_hint;
  bool retry = false;  // a client's further try
  std::string key;     // the client's idempotency key; passed on unchanged
  std::optional<Millis>
      may_have_run_since;  // something under the key may have run elsewhere, no sooner than this
  double memory_mb = 0;
  int lanes = 1;
  Millis arrived{0}, timeout{0};
  std::string body;
};

enum class CallStatus { succeeded, rejected, failed };

struct Answer {
  CallStatus status = CallStatus::failed;
  Millis retry_after{0};  // when to come back; 0: not said
  std::string body;
};

// One attempt of one call; numbered from 0 in the order in which they went out.
struct Attempt {
  CallId call = 0;
  int number = 0;
  bool operator<(const Attempt& o) const { return std::tie(call, number) < std::tie(o.call, o.number); }
  bool operator==(const Attempt& o) const { return call == o.call && number == o.number; }
};

struct AttemptEnd {
  Outcome outcome = Outcome::error;
  int host_concurrency = 0;  // calls of the same function that the host held
  Report report;
  std::string body;
};

// Where calls come from. An answer may be given while Dispatcher::take still runs.
class FrontEnd {
 public:
  virtual ~FrontEnd() = default;
  virtual void answer(CallId call, Answer&& answer) = 0;
  // Before an attempt goes out. False: it must not; the call then ends as one that this attempt did not run.
  virtual bool before_attempt(CallId) { return true; }
  // Who called, right now. waits: all that they had sent by `heard_since` has been read, and they are there.
  // spoke: something they sent may be older than that and was not read yet; it may be a CANCEL. Or it is not
  // known whether they will ask for the answer: nothing begins until it is.
  enum class ClientState { waiting, has_unread_input, disconnected };
  virtual ClientState client_state(CallId, Millis /*heard_since*/) { return ClientState::waiting; }
  // Reads what they have sent by now. Not to be called while a step of the dispatcher is carried out.
  virtual void read_client_input(CallId) {}
  // The last attempt is shown not to have run, and none before it may have.
  virtual void proved_not_run(CallId) {}
};

// Where attempts go. Ends are told to the Dispatcher, never from inside these calls.
class HostTransport {
 public:
  virtual ~HostTransport() = default;
  virtual void send_attempt(const Attempt& attempt, const std::string& host, const Call& call,
                            Millis attempt_timeout) = 0;
  // Ends the attempt; true if it may have run. No end is told for it afterwards.
  virtual bool cancel_attempt(const Attempt& attempt) = 0;
  virtual void probe(const std::string& host) = 0;
  virtual void load_copies(const std::string& host, std::uint64_t function, int copies) = 0;
  virtual void unload(const std::string& host, std::uint64_t function) = 0;
};

}  // namespace lotusyard::core
