#include "resp/call_parser.h"

#include <cstdint>
#include <optional>
#include <utility>

#include "net/fields.h"

namespace lotusyard::resp {
namespace {

using net::field;
using net::Fields;

constexpr std::size_t kClassWord = 2;
constexpr std::size_t kFieldsWord = 3;
constexpr std::size_t kBodyWord = 4;

constexpr std::uint64_t kMaxTimeoutMs = 3600 * 1000;

// What the function needs of a host.
struct Requirements {
  double memory_mb = 0;
  int lanes = 1;
};

// A field that may be left out has to be readable where it is present.
template <typename Value>
bool is_unreadable(const Fields& fields, std::string_view name, const std::optional<Value>& parsed) {
  return !parsed && fields.count(name) != 0;
}

std::optional<Requirements> parse_requirements(const std::string& text) {
  const auto fields = net::parse_fields(text, ';', ':');
  if (!fields)
    return std::nullopt;
  const auto memory_mb = net::parse_number(field(*fields, "memory_mb"));
  const auto lanes = net::parse_whole(field(*fields, "lanes"), INT32_MAX);
  if (is_unreadable(*fields, "memory_mb", memory_mb) || is_unreadable(*fields, "lanes", lanes))
    return std::nullopt;
  return Requirements{memory_mb.value_or(0), static_cast<int>(lanes.value_or(1))};
}

// A retry is marked by 1 and by nothing else.
bool has_readable_retry_mark(const Fields& fields) {
  return fields.count("dup") == 0 || field(fields, "dup") == "1";
}

std::optional<core::Call> call_from(const Fields& fields) {
  const auto ref = net::parse_hex16(field(fields, "ref"));
  const auto function = net::parse_hex16(field(fields, "lookup"));
  const auto timeout_ms = net::parse_whole(field(fields, "allow"), kMaxTimeoutMs);
  const auto requirements = parse_requirements(field(fields, "spec"));
  if (!ref || !function || !timeout_ms || !requirements)
    return std::nullopt;
  const auto cost_hint = net::parse_number(field(fields, "effort"));
  if (is_unreadable(fields, "effort", cost_hint) || !has_readable_retry_mark(fields))
    return std::nullopt;

  core::Call call;
  call.ref = field(fields, "ref");
  call.tenant = field(fields, "project");
  call.function_name = field(fields, "lookup");
  call.function = *function;
  call.cost_hint = cost_hint;
  call.retry = fields.count("dup") != 0;
  call.key = field(fields, "replay");
  call.memory_mb = requirements->memory_mb;
  call.lanes = requirements->lanes;
  call.timeout = core::Millis(static_cast<double>(*timeout_ms));
  return call;
}

}  // namespace

std::variant<core::Call, CallParseError> parse_call(Words&& command, core::Millis arrived) {
  if (command.size() != kBodyWord && command.size() != kBodyWord + 1)
    return CallParseError::wrong_word_count;
  const auto fields = net::parse_fields(command[kFieldsWord]);
  std::optional<core::Call> call = fields ? call_from(*fields) : std::nullopt;
  if (!call)
    return CallParseError::unreadable_fields;
  call->class_name = command[kClassWord];
  call->arrived = arrived;
  if (command.size() > kBodyWord)
    call->body = std::move(command[kBodyWord]);
  return std::move(*call);
}

}  // namespace lotusyard::resp
