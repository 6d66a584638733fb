#include "amqp/delivery_parser.h"

#include <cstdint>

#include "net/fields.h"

namespace lotusyard::amqp {
namespace {

using core::Millis;

constexpr std::uint64_t kMaxTimeoutMs = 3600 * 1000;
// Keys that are not message ids begin with this character, and have the parts of the address between it.
constexpr char kAddressKeySeparator = '\n';

// Headers of calls, named by the platform's page on triggers.
constexpr char kClassHeader[] = "class";
constexpr char kFunctionHeader[] = "lookup";
constexpr char kTenantHeader[] = "project";
constexpr char kTimeoutHeader[] = "allow";
constexpr char kMemoryHeader[] = "memory_mb";
constexpr char kLanesHeader[] = "lanes";
constexpr char kCostHintHeader[] = "effort";
constexpr char kIdempotencyKeyHeader[] = "key";

// Returns the header as text; empty if it is missing or of a type that no header of a call has.
std::string string_header(const Table& headers, const std::string& name) {
  const auto found = headers.find(name);
  if (found == headers.end())
    return {};
  if (const auto* text = std::get_if<std::string>(&found->second))
    return *text;
  if (const auto* integer = std::get_if<std::int64_t>(&found->second))
    return std::to_string(*integer);
  if (const auto* real = std::get_if<double>(&found->second))
    return std::to_string(*real);
  return {};
}

// Headers with numbers may be missing, but must be valid if they are there.
struct NumberHeaders {
  std::optional<std::uint64_t> timeout_ms;
  std::optional<double> memory_mb;
  std::optional<std::uint64_t> lanes;
};

std::variant<NumberHeaders, DeliveryError> parse_number_headers(const Table& headers) {
  const std::string timeout = string_header(headers, kTimeoutHeader);
  const std::string memory = string_header(headers, kMemoryHeader);
  const std::string lanes = string_header(headers, kLanesHeader);
  NumberHeaders numbers;
  numbers.timeout_ms = net::parse_whole(timeout, kMaxTimeoutMs);
  numbers.memory_mb = net::parse_number(memory);
  numbers.lanes = net::parse_whole(lanes, INT32_MAX);
  if (!timeout.empty() && !numbers.timeout_ms)
    return DeliveryError::invalid_timeout;
  if (!memory.empty() && !numbers.memory_mb)
    return DeliveryError::invalid_memory;
  if (!lanes.empty() && !numbers.lanes)
    return DeliveryError::invalid_lanes;
  return numbers;
}

// A message id identifies the call however often the message is delivered, as an idempotency key does.
std::string idempotency_key(const Properties& properties) {
  const std::string key = string_header(properties.headers, kIdempotencyKeyHeader);
  return key.empty() ? properties.message_id : key;
}

core::Call make_call(const Properties& properties, const policy::ClassSettings& call_class,
                     std::uint64_t function, const NumberHeaders& numbers) {
  const Table& headers = properties.headers;
  core::Call call;
  call.class_name = call_class.name;
  call.tenant = string_header(headers, kTenantHeader);
  call.function = function;
  call.function_name = string_header(headers, kFunctionHeader);
  call.cost_hint = net::parse_number(string_header(headers, kCostHintHeader));
  call.memory_mb = numbers.memory_mb.value_or(0);
  call.lanes = static_cast<int>(numbers.lanes.value_or(1));
  if (call_class.semantics == policy::Semantics::idempotent_with_key)
    call.key = idempotency_key(properties);
  call.timeout = numbers.timeout_ms ? Millis(static_cast<double>(*numbers.timeout_ms)) : call_class.deadline;
  return call;
}

}  // namespace

std::optional<Publication> publication_of(const Properties& properties) {
  if (properties.reply_to.empty())
    return std::nullopt;
  const std::string& correlation_id =
      properties.correlation_id.empty() ? properties.message_id : properties.correlation_id;
  if (correlation_id.empty())
    return std::nullopt;
  return Publication{{properties.reply_to, correlation_id},
                     properties.timestamp,
                     string_header(properties.headers, kTimeoutHeader)};
}

std::string call_key(const Properties& properties) {
  if (!properties.message_id.empty())
    return properties.message_id;
  return kAddressKeySeparator + properties.reply_to + kAddressKeySeparator + properties.correlation_id;
}

bool is_message_id(const std::string& call_key) { return call_key.front() != kAddressKeySeparator; }

const policy::ClassSettings* named_class(const Delivery& delivery, const core::Settings& settings) {
  return core::class_named(settings, string_header(delivery.properties.headers, kClassHeader));
}

std::variant<core::Call, DeliveryError> parse_call(const Delivery& delivery, const core::Settings& settings,
                                                   Millis arrived) {
  const Properties& properties = delivery.properties;
  if (delivery.oversized)
    return DeliveryError::oversized;
  if (properties.message_id.empty())
    return DeliveryError::no_message_id;
  const auto* call_class = named_class(delivery, settings);
  if (call_class == nullptr)
    return DeliveryError::unknown_class;
  const auto function = net::parse_hex16(string_header(properties.headers, kFunctionHeader));
  if (!function)
    return DeliveryError::invalid_function;
  const auto numbers = parse_number_headers(properties.headers);
  if (const auto* error = std::get_if<DeliveryError>(&numbers))
    return *error;
  core::Call call = make_call(properties, *call_class, *function, std::get<NumberHeaders>(numbers));
  call.arrived = arrived;
  return call;
}

}  // namespace lotusyard::amqp
