#include "quota/log_entry_codec.h"

#include <nlohmann/json.hpp>

namespace lotusyard::quota {
namespace {

using nlohmann::json;

// Stored names of the commands.
const std::string kBeginEpoch = "part";
const std::string kOpenEpoch = "open";

// Every stored entry has all three keys, whichever command it holds.
json encode_fields(const std::string& command, const QuotaHolders& holders, std::uint64_t epoch_index) {
  return {{"t", command}, {"sharers", holders}, {"round", epoch_index}};
}

json encode_command(const BeginEpoch& command) { return encode_fields(kBeginEpoch, command.holders, 0); }

json encode_command(const OpenEpoch& command) { return encode_fields(kOpenEpoch, {}, command.epoch_index); }

}  // namespace

std::string encode_entry(const LogEntry& entry) {
  const json encoded = std::visit([](const auto& command) { return encode_command(command); }, entry);
  return encoded.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<LogEntry> parse_entry(const std::string& text) {
  const json from = json::parse(text, nullptr, false);
  if (!from.is_object()) {
    return std::nullopt;
  }
  try {
    const auto command = from.at("t").get<std::string>();
    auto holders = from.at("sharers").get<QuotaHolders>();
    const auto epoch_index = from.at("round").get<std::uint64_t>();
    if (command == kBeginEpoch) {
      return BeginEpoch{std::move(holders)};
    }
    if (command == kOpenEpoch) {
      return OpenEpoch{epoch_index};
    }
    return std::nullopt;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace lotusyard::quota
