// What a CALL says, read for the core.
#include <cmath>

#include "metrics/client_counters.h"
#include "net/fields.h"
#include "resp/client_connection.h"

namespace lotusyard::resp {
namespace {

using net::field;

constexpr std::uint64_t kLongestAllow = 3600 * 1000;

}  // namespace

void FrontEnd::call(ClientConnection& client, Words&& words) {
  const std::string tag = words[1];
  if (client.open_calls.count(tag) != 0) {
    counters_.add(metrics::kRespTagRepeated);  // two answers under one tag could not be told apart
    client.refuses = true;
    return;
  }
  if (!admitting_ || client.refuses) {
    counters_.add(admitting_ ? metrics::kRespRefusedAtEnd : metrics::kRespHandedOver);
    return write_response(client, tag, core::CallStatus::rejected, core::Millis(0), {});
  }
  if (client.open_calls.size() >= limits_.calls_a_client) {
    return reject(client, tag, metrics::kRespTooManyOpen, core::CallStatus::rejected);
  }
  if (words.size() < 4 || words.size() > 5)
    return reject(client, tag, metrics::kRespBadCall);
  const auto fields = net::parse_fields(words[3]);
  if (!fields)
    return reject(client, tag, metrics::kRespBadFields);
  const auto ref = net::parse_hex16(field(*fields, "ref")),
             function = net::parse_hex16(field(*fields, "lookup"));
  const auto allow = net::parse_whole(field(*fields, "allow"), kLongestAllow);
  const auto spec = net::parse_fields(field(*fields, "spec"), ';', ':');
  if (!ref || !function || !allow || !spec)
    return reject(client, tag, metrics::kRespBadFields);
  // A figure that is there can be read; the core knows which ones can be used.
  const auto cost_hint = net::parse_number(field(*fields, "effort")),
             memory = net::parse_number(field(*spec, "memory_mb"));
  const auto lanes = net::parse_whole(field(*spec, "lanes"), INT32_MAX);
  if ((!cost_hint && fields->count("effort") != 0) || (!memory && spec->count("memory_mb") != 0) ||
      (!lanes && spec->count("lanes") != 0)) {
    return reject(client, tag, metrics::kRespBadFields);
  }
  // A retry is marked by 1 and by nothing else.
  const bool retry = fields->count("dup") != 0;
  if (retry && field(*fields, "dup") != "1")
    return reject(client, tag, metrics::kRespBadFields);
  const std::size_t size = words.size() > 4 ? words[4].size() : 0;
  // Bounds memory: a client of any number of connections may hold only so much of it.
  if (bodies_ + size > limits_.body_bytes) {
    return reject(client, tag, metrics::kRespNoMemory, core::CallStatus::rejected);
  }

  core::Call call;
  call.ref = field(*fields, "ref");
  call.class_name = words[2];
  call.tenant = field(*fields, "project");
  call.function_name = field(*fields, "lookup");
  call.function = *function;
  call.cost_hint = cost_hint;
  call.retry = retry;
  call.key = field(*fields, "replay");
  call.memory_mb = memory.value_or(0);
  call.lanes = static_cast<int>(lanes.value_or(1));
  call.arrived = client.earliest_arrival();  // time for which it has stood unread comes off
  call.timeout = core::Millis(static_cast<double>(*allow));
  if (size > 0)
    call.body = std::move(words[4]);

  const core::CallId id = dispatcher_.allocate_call_id();
  by_call_[id] = {&client, tag, size};
  client.open_calls[tag] = id;
  bodies_ += size;
  const auto rejection = dispatcher_.admit(id, std::move(call), *this);
  if (rejection) {
    forget_call(id);
    reject(client, tag, metrics::kRespNotTaken);
  }
}

}  // namespace lotusyard::resp
