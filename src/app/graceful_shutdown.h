// The decisions of a graceful shutdown: what the invoker stops, answers and hands off after SIGTERM, and when
// it exits. No I/O and no clock: the caller passes in times and facts and carries out the commands.
//
// A call that is open when the process is killed is lost. All limits follow from the deployment page: SIGKILL
// comes 0.7 s after the longest deadline, which counts as 3 s at most, and clients still arrive for a while
// after SIGTERM.
//
// Each iteration of the event loop runs through these states. Commands are in [brackets].
//
//   running ------- begin() -------------------------------------> waiting
//   waiting ------- begin_iteration() ---------------------------> checking_answer_deadline
//
//   checking_answer_deadline -- past the answer deadline
//                               [answer_open_calls] -------------> limiting_arrivals
//                            -- else ----------------------------> limiting_arrivals
//   limiting_arrivals -- own listener:
//                        [stop_listening] once no one connects --> checking_idle
//                     -- shared listener:
//                        [stop_admitting] once calls would be
//                        open at SIGKILL ------------------------> handing_off
//   handing_off ------ [hand_off_connections] -------------------> checking_idle
//   checking_idle ---- past the exit deadline [exit] ------------> exited
//                   -- something is open [wait] -----------------> waiting
//                   -- else [answer_open_calls] -----------------> reading_last_input
//   reading_last_input -- [read_client_input] -------------------> confirming_idle
//   confirming_idle -- nothing read, all is delivered [exit] ----> exited
//                   -- else [wait] ------------------------------> waiting
#pragma once

#include <optional>
#include <vector>

#include "core/types.h"

namespace lotusyard {

// Who else accepts connections on this process's listener.
enum class ListenerOwnership {
  own,     // nobody: clients may connect here until it is closed
  shared,  // another process of this invoker, which serves clients that connect from now on
};

enum class ShutdownCommand {
  report_not_serving,    // health checks of clients fail; calls are still admitted
  stop_listening,        // connections that wait to be accepted are accepted first
  enter_draining_role,   // leave most of the shared resources to the other process
  drain_triggers,        // consume no further deliveries
  drain_extension,       // notify the extension, if there is one
  stop_admitting,        // reject new calls, and those that were never sent to a host
  answer_open_calls,     // answer all calls at once and reject new ones
  hand_off_connections,  // close connections with nothing open; their clients reconnect to the other process
  read_client_input,     // read what clients have sent by now
  wait,                  // nothing more to do in this iteration
  exit,
};

// What is true at the time of a decision.
struct ShutdownFacts {
  bool calls_open = false;
  bool answers_undelivered = false;     // clients have not received them yet, and still read
  bool triggers_pending = false;        // deliveries without an answer that the broker has confirmed
  bool admin_requests_pending = false;  // requests to the admin endpoint
  bool connections_open = false;        // found by hand_off_connections
  bool client_input_found = false;      // found by read_client_input
};

class GracefulShutdown {
 public:
  // The event loop waits no longer than this in an iteration of the shutdown.
  static constexpr core::Millis kMaxWait{20};

  explicit GracefulShutdown(ListenerOwnership ownership) : ownership_(ownership) {}

  bool has_begun() const { return state_ != State::running; }

  // Begins the shutdown; returns the commands to carry out at once, in order. Must be called only once.
  std::vector<ShutdownCommand> begin(core::Millis now, bool other_process_alive);

  // Begins an iteration of the event loop during the shutdown. `iteration_started` is the time by which
  // everything that the iteration reads had arrived: by a later clock, a slow iteration would cut off clients
  // that were in time. `longest_deadline` is that of the settings in force, which may change.
  void begin_iteration(core::Millis iteration_started, core::Millis longest_deadline);

  // Returns the next command of the iteration, which ends with `wait` or `exit`. The facts must be
  // observed after the previous command was carried out.
  ShutdownCommand next(const ShutdownFacts& facts);

 private:
  enum class State {
    running,
    waiting,
    checking_answer_deadline,
    limiting_arrivals,
    handing_off,
    checking_idle,
    reading_last_input,
    confirming_idle,
    exited,
  };

  // Each moves to the next state and returns the command on the way, if any.
  std::optional<ShutdownCommand> advance(const ShutdownFacts& facts);
  std::optional<ShutdownCommand> check_answer_deadline();
  std::optional<ShutdownCommand> limit_arrivals(const ShutdownFacts& facts);
  ShutdownCommand hand_off();
  ShutdownCommand check_idle(const ShutdownFacts& facts);
  ShutdownCommand read_last_input();
  ShutdownCommand confirm_idle(const ShutdownFacts& facts);
  ShutdownCommand finish(ShutdownCommand command);

  bool clients_idle(const ShutdownFacts& facts) const;

  const ListenerOwnership ownership_;
  State state_ = State::running;
  core::Millis began_at_{0};
  core::Millis elapsed_{0};          // from the beginning of the shutdown to this iteration
  core::Millis answer_deadline_{0};  // since the beginning of the shutdown
  // Whether all calls were answered, before the iteration accepted or read anything more.
  bool all_answered_ = false;
};

}  // namespace lotusyard
