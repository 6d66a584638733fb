#include "resp/command_handler.h"

#include <cstdint>
#include <utility>
#include <variant>

#include "metrics/client_counters.h"
#include "net/fields.h"
#include "resp/call_parser.h"

namespace lotusyard::resp {
namespace {

// A tag is a whole number above 0.
bool has_valid_tag(const Words& command) {
  if (command.size() < 2)
    return false;
  const auto tag = net::parse_whole(command[1], UINT64_MAX);
  return tag.value_or(0) != 0;
}

const metrics::Counter& counter_of(CallParseError error) {
  return error == CallParseError::wrong_word_count ? metrics::kRespBadCall : metrics::kRespBadFields;
}

}  // namespace

void CommandHandler::handle(ClientConnection& client, Words&& command) {
  if (!has_valid_tag(command))
    return reject_unanswerable(client, metrics::kRespNoTag);
  const std::string& name = command[0];
  const std::string& tag = command[1];
  if (name == "CALL")
    return handle_call(client, std::move(command));
  if (name == "CANCEL")
    return handle_cancel(client, tag);
  if (name == "CHECK")
    return client.write(encode_check(tag, serving_));
  counters_.add(metrics::kRespUnknownVerb);
  client.write(encode_unknown_command(tag));
}

bool CommandHandler::stop_admitting() { return std::exchange(admitting_, false); }

void CommandHandler::handle_call(ClientConnection& client, Words&& command) {
  const std::string tag = command[1];
  if (client.find_open_call(tag))  // the client could not tell two answers under one tag apart
    return reject_unanswerable(client, metrics::kRespTagRepeated);
  if (!admitting_ || client.rejects_calls()) {
    counters_.add(admitting_ ? metrics::kRespRefusedAtEnd : metrics::kRespHandedOver);
    return responses_.write_answer(client, tag, {core::CallStatus::rejected, core::Millis(0), {}});
  }
  if (client.open_call_count() >= limits_.calls_per_client)
    return reject(client, tag, metrics::kRespTooManyOpen, core::CallStatus::rejected);
  auto parsed = parse_call(std::move(command), client.earliest_arrival());
  if (const auto* error = std::get_if<CallParseError>(&parsed))
    return reject(client, tag, counter_of(*error), core::CallStatus::failed);
  admit(client, tag, std::move(std::get<core::Call>(parsed)));
}

void CommandHandler::admit(ClientConnection& client, const std::string& tag, core::Call&& call) {
  const std::size_t body_bytes = call.body.size();
  // Bounds the memory of all calls, however many connections a client opens.
  if (open_calls_.body_bytes() + body_bytes > limits_.body_bytes)
    return reject(client, tag, metrics::kRespNoMemory, core::CallStatus::rejected);
  const core::CallId id = dispatcher_.allocate_call_id();
  open_calls_.add(id, {&client, tag, body_bytes});  // first: the answer may come before admit() returns
  if (!dispatcher_.admit(id, std::move(call), front_end_))
    return;
  open_calls_.remove(id);
  reject(client, tag, metrics::kRespNotTaken, core::CallStatus::failed);
}

void CommandHandler::handle_cancel(ClientConnection& client, const std::string& tag) {
  counters_.add(metrics::kRespCancels);
  const auto id = client.find_open_call(tag);
  if (!id)
    return;  // it was answered meanwhile
  open_calls_.remove(*id);
  dispatcher_.client_disconnected(*id);
}

void CommandHandler::reject(ClientConnection& client, const std::string& tag, const metrics::Counter& reason,
                            core::CallStatus status) {
  counters_.add(reason);
  responses_.write_answer(client, tag, {status, core::Millis(0), {}});
  client.count_faulty_call();
}

void CommandHandler::reject_unanswerable(ClientConnection& client, const metrics::Counter& reason) {
  counters_.add(reason);
  client.reject_calls();
}

}  // namespace lotusyard::resp
