// The clients of the rig: what they send, and what they record.
#include "outage/outage_rig.h"

namespace lotusyard::test::outage {
namespace {

constexpr std::size_t kMaxOpenCalls = 24;
constexpr const char* kReadyLine = "listens on";
constexpr std::uint64_t kFirstFunction = 0xa1;

}  // namespace

void OutageRig::excuse_open_calls(RiggedInvoker& invoker) {
  for (const auto& [tag, index] : invoker.open)
    history.calls[index].excused = true;
  invoker.open.clear();
}

// Reads the log of a process that has just started.
void OutageRig::check_ready(RiggedInvoker& invoker) {
  const std::string log = invoker.process->log();
  std::size_t lines = 0;
  for (auto at = log.find(kReadyLine); at != std::string::npos; at = log.find(kReadyLine, at + 1))
    ++lines;
  invoker.takes_calls = lines >= invoker.starts;
}

void OutageRig::step_client(RiggedInvoker& invoker) {
  if (invoker.process && !invoker.takes_calls)
    check_ready(invoker);
  if (invoker.client)
    read_answers(invoker);
  const bool is_due = fixture.loop.now() >= invoker.next_call_at;
  if (quiet_ || !invoker.takes_calls || !invoker.sends_calls || !invoker.process || !is_due ||
      invoker.open.size() >= kMaxOpenCalls)
    return;
  invoker.next_call_at = fixture.loop.now() + options.call_interval;
  if (!invoker.client || invoker.client->closed)
    connect_client(invoker);
  send_call(invoker);
}

// A call that was read and got no answer is lost.
void OutageRig::connect_client(RiggedInvoker& invoker) {
  invoker.open.clear();
  invoker.read_answers = 0;
  invoker.client = std::make_shared<ServiceClient>(fixture, invoker.listen);
}

void OutageRig::read_answers(RiggedInvoker& invoker) {
  const auto& got = invoker.client->results;
  for (; invoker.read_answers < got.size(); ++invoker.read_answers) {
    const auto& [status, body] = got[invoker.read_answers];
    const auto found = invoker.open.find(body);
    if (found == invoker.open.end())
      continue;
    ClientCall& call = history.calls[found->second];
    call.answered_at = now();
    call.status = status;
    ++call.answers;
    invoker.open.erase(found);
  }
}

void OutageRig::send_call(RiggedInvoker& invoker) {
  const int number = ++next_call_;
  const bool repeatable = number % 3 != 0;
  ClientCall call;
  call.body = (repeatable ? "check " : "record ") + std::to_string(number);
  call.repeatable = repeatable;
  call.sent_at = now();
  call.timeout = options.call_timeout.count();
  const auto function = kFirstFunction + static_cast<std::uint64_t>(number % options.functions);
  invoker.client->call(number, repeatable ? "bin-check" : "bin-record", call.body,
                       static_cast<int>(call.timeout), function);
  invoker.open[call.body] = history.calls.size();
  history.calls.push_back(std::move(call));
}

}  // namespace lotusyard::test::outage
