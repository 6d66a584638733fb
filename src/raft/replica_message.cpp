#include "raft/replica_message.h"

#include <nlohmann/json.hpp>

#include "net/socket.h"
#include "raft/replicated_state_machine.h"

namespace lotusyard::raft {
namespace {

using nlohmann::json;

// The first byte of a message is its kind.
constexpr char kLeaderMessage = 't';
constexpr char kAdmissionRequest = 'j';
constexpr char kAdmissionResponse = 'i';
constexpr std::size_t kMaxIdDigits = 20;

DecodedMessage decode_leader_message(const std::string& content) {
  auto [name, text] = untag_entry(content);
  return LeaderMessage{std::move(name), std::move(text)};
}

DecodedMessage decode_admission_request(const std::string& content) {
  const auto document = json::parse(content, nullptr, false);
  if (!document.is_object()) {
    return MessageError::malformed;
  }
  const auto name = document.value("name", json());
  const auto address = document.value("address", json());
  if (!name.is_string() || !address.is_string()) {
    return MessageError::ignored;
  }
  AdmissionRequest out{name.get<std::string>(), address.get<std::string>()};
  if (!net::valid_address(out.address)) {
    return MessageError::ignored;
  }
  return out;
}

DecodedMessage decode_admission_response(const std::string& content) {
  const bool is_number = content.find_first_not_of("0123456789") == std::string::npos;
  if (content.empty() || content.size() > kMaxIdDigits || !is_number) {
    return MessageError::ignored;
  }
  return AdmissionResponse{content};
}

}  // namespace

std::string encode_message(const LeaderMessage& message) {
  return kLeaderMessage + tag_entry(message.state_machine, message.text);
}

std::string encode_message(const AdmissionRequest& message) {
  return kAdmissionRequest + json{{"name", message.name}, {"address", message.address}}.dump();
}

std::string encode_message(const AdmissionResponse& message) { return kAdmissionResponse + message.id; }

DecodedMessage decode_replica_message(const std::string& body) {
  if (body.empty()) {
    return MessageError::ignored;
  }
  const std::string content = body.substr(1);
  switch (body[0]) {
    case kLeaderMessage:
      return decode_leader_message(content);
    case kAdmissionRequest:
      return decode_admission_request(content);
    case kAdmissionResponse:
      return decode_admission_response(content);
    default:
      return MessageError::ignored;
  }
}

}  // namespace lotusyard::raft
