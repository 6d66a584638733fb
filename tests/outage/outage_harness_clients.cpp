// The harness's clients: send calls and record the answers.
#include "outage/outage_harness.h"

namespace lotusyard::test::outage {
namespace {

constexpr std::size_t kMaxOpenCalls = 24;
constexpr const char* kReadyLine = "listens on";
constexpr std::uint64_t kFirstFunction = 0xa1;

}  // namespace

void OutageHarness::excuse_open_calls(HarnessInvoker& invoker) {
  for (const auto& [tag, index] : invoker.open)
    history.calls[index].excused = true;
  invoker.open.clear();
}

// Checks the log of a process that has just started for the line that it accepts calls.
void OutageHarness::check_ready(HarnessInvoker& invoker) {
  const std::string log = invoker.process->log();
  std::size_t lines = 0;
  for (auto at = log.find(kReadyLine); at != std::string::npos; at = log.find(kReadyLine, at + 1))
    ++lines;
  invoker.takes_calls = lines >= invoker.starts;
}

void OutageHarness::step_client(HarnessInvoker& invoker) {
  if (invoker.process && !invoker.takes_calls)
    check_ready(invoker);
  if (invoker.client)
    read_answers(invoker);
  const bool is_due = fixture.loop.now() >= invoker.next_call_at;
  if (clients_stopped_ || !invoker.takes_calls || !invoker.sends_calls || !invoker.process || !is_due ||
      invoker.open.size() >= kMaxOpenCalls)
    return;
  invoker.next_call_at = fixture.loop.now() + options.call_interval;
  if (!invoker.client || invoker.client->closed)
    connect_client(invoker);
  send_call(invoker);
}

// Calls that are open on the old connection get no answer any more: the checker reports them as lost.
void OutageHarness::connect_client(HarnessInvoker& invoker) {
  invoker.open.clear();
  invoker.read_answers = 0;
  invoker.client = std::make_shared<ServiceClient>(fixture, invoker.listen);
}

void OutageHarness::read_answers(HarnessInvoker& invoker) {
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

void OutageHarness::send_call(HarnessInvoker& invoker) {
  const int number = ++next_call_;
  const bool idempotent = number % 3 != 0;
  ClientCall call;
  call.body = (idempotent ? "check " : "record ") + std::to_string(number);
  call.idempotent = idempotent;
  call.sent_at = now();
  call.timeout = options.call_timeout.count();
  const auto function = kFirstFunction + static_cast<std::uint64_t>(number % options.functions);
  invoker.client->call(number, idempotent ? "bin-check" : "bin-record", call.body,
                       static_cast<int>(call.timeout), function);
  invoker.open[call.body] = history.calls.size();
  history.calls.push_back(std::move(call));
}

}  // namespace lotusyard::test::outage
