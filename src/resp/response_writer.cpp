#include "resp/response_writer.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "metrics/client_counters.h"
#include "resp/parser.h"

namespace lotusyard::resp {

std::string encode_answer(const std::string& tag, const core::Answer& answer) {
  std::string response;
  if (answer.status == core::CallStatus::succeeded) {
    write_array(response, {tag, "OK", "", answer.body});
    return response;
  }
  const char* const status = answer.status == core::CallStatus::rejected ? "BUSY" : "FAILED";
  const double retry_after_ms = std::ceil(std::max(answer.retry_after.count(), 0.0));
  if (retry_after_ms > 0) {
    const auto whole_ms = static_cast<std::int64_t>(retry_after_ms);
    write_array(response, {tag, status, "cooldown=" + std::to_string(whole_ms)});
  } else {
    write_array(response, {tag, status});
  }
  return response;
}

std::string encode_check(const std::string& tag, bool serving) {
  std::string response;
  write_array(response, {tag, serving ? "UP" : "DOWN"});
  return response;
}

std::string encode_unknown_command(const std::string& tag) {
  std::string response;
  write_array(response, {tag, "FAILED"});
  return response;
}

void ResponseWriter::write_answer(ClientConnection& client, const std::string& tag,
                                  const core::Answer& answer) {
  const std::string response = encode_answer(tag, answer);
  clients_.evict_until_free(response.size());
  client.write(response);
  // Bounds the buffers of the pool that a client which does not read can occupy. The kernel is offered the
  // bytes first: until then nothing shows whether the client reads.
  if (client.unwritten_bytes() > limits_.unread_bytes)
    client.flush_now();
  if (client.unwritten_bytes() <= limits_.unread_bytes)
    return;
  counters_.add(metrics::kRespUnreadClosed);
  client.close_later();
}

}  // namespace lotusyard::resp
