#include "hosts/host_protocol.h"

#include <algorithm>
#include <array>
#include <cmath>

#include "net/fields.h"

namespace lotusyard::hosts {
namespace {

using core::Outcome;
using net::field;

constexpr const char* kLineEnd = "\r\n";

struct StatusRow {
  ReplyStatus status;
  std::string_view word;
  Outcome outcome;
};
constexpr std::array<StatusRow, 7> kStatusTable{{{ReplyStatus::succeeded, "data", Outcome::ok},
                                                 {ReplyStatus::no_instance, "absent", Outcome::no_instance},
                                                 {ReplyStatus::at_capacity, "full", Outcome::at_capacity},
                                                 {ReplyStatus::failed, "failed", Outcome::error},
                                                 {ReplyStatus::never_ran, "moot", Outcome::never_ran},
                                                 {ReplyStatus::healthy, "well", Outcome::ok},
                                                 {ReplyStatus::unhealthy, "ill", Outcome::error}}};

// A larger number of calls is not plausible, and counts as not reported.
constexpr std::uint64_t kMaxParsedConcurrency = 1000000;
// More calls than this make no difference to the policy.
constexpr int kMaxHostConcurrency = 30;
// A larger number of copies is not plausible, and counts as 0.
constexpr std::uint64_t kMaxParsedCopies = 1000;
// The shortest timeout that can be sent.
constexpr std::int64_t kMinTimeoutMs = 1;

const StatusRow& row_of(ReplyStatus status) {
  return *std::find_if(kStatusTable.begin(), kStatusTable.end(),
                       [&](const StatusRow& row) { return row.status == status; });
}

std::optional<ReplyStatus> parse_status(std::string_view word) {
  const auto found = std::find_if(kStatusTable.begin(), kStatusTable.end(),
                                  [&](const StatusRow& row) { return row.word == word; });
  if (found == kStatusTable.end())
    return std::nullopt;
  return found->status;
}

// Refs and tags that this process generates consist of digits and lower-case letters.
bool is_valid_id(const std::string& id) {
  return std::all_of(id.begin(), id.end(), [](char character) {
    return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'z');
  });
}

int parse_count(const net::Fields& fields, std::string_view name, std::uint64_t largest) {
  return static_cast<int>(net::parse_whole(field(fields, name), largest).value_or(0));
}

core::Report parse_report(const std::string& text, const std::vector<std::string>& names) {
  const auto fields = net::parse_fields(text, ';', ':');
  if (text.empty() || !fields)
    return std::nullopt;
  std::vector<double> values;
  for (const auto& name : names) {
    const auto value = net::parse_number(field(*fields, name));
    // The policy reads values by position: a gap would shift those behind it.
    if (!value)
      return std::nullopt;
    values.push_back(*value);
  }
  return values;
}

}  // namespace

std::string encode(const AttemptRequest& request, Millis timeout) {
  std::string fields = "sort=" + request.class_name + ",asset=" + request.function_name;
  if (!request.idempotency_key.empty())
    fields += ",op=" + request.idempotency_key;
  const auto timeout_ms = static_cast<std::int64_t>(std::floor(timeout.count()));
  fields += ",patience=" + std::to_string(std::max(kMinTimeoutMs, timeout_ms));
  std::string message =
      "exec " + request.ref + ' ' + fields + ' ' + std::to_string(request.body.size()) + kLineEnd;
  message += request.body;
  message += kLineEnd;
  return message;
}

std::string encode(const CancelRequest& request) { return "drop " + request.ref + kLineEnd; }

std::string encode(const LoadRequest& request) {
  return "ensure " + request.tag + " asset=" + net::hex16(request.function) +
         ",count=" + std::to_string(request.copies) + kLineEnd;
}

std::string encode(const UnloadRequest& request) {
  return "release " + net::hex16(request.function) + kLineEnd;
}

std::string encode(const LoadReportRequest& request) { return "load " + request.tag + kLineEnd; }

std::string encode(const HealthCheckRequest& request) { return "health " + request.tag + kLineEnd; }

bool is_health_status(ReplyStatus status) {
  return status == ReplyStatus::healthy || status == ReplyStatus::unhealthy;
}

Outcome outcome_of(ReplyStatus status) { return row_of(status).outcome; }

std::string_view wire_word(ReplyStatus status) { return row_of(status).word; }

std::optional<HostReply> decode_reply(Reply&& reply, const std::vector<std::string>& report_fields) {
  const auto fields = net::parse_fields(reply.fields);
  const auto status = parse_status(reply.word);
  if (!fields || !status || !reply.body || !is_valid_id(reply.id))
    return std::nullopt;
  HostReply decoded;
  decoded.id = std::move(reply.id);
  decoded.status = *status;
  decoded.host_concurrency =
      std::min(parse_count(*fields, "crowd", kMaxParsedConcurrency), kMaxHostConcurrency);
  decoded.copies = parse_count(*fields, "count", kMaxParsedCopies);
  decoded.report = parse_report(field(*fields, "l"), report_fields);
  decoded.body = std::move(*reply.body);
  return decoded;
}

}  // namespace lotusyard::hosts
