// Messages among replicas, which are sent in frames of the kind `message`.
#pragma once

#include <string>
#include <variant>

namespace lotusyard::raft {

// A message of a state machine to the same state machine of the leader.
struct LeaderMessage {
  std::string state_machine;  // its name
  std::string text;
};

// A request of a member without a store for admission to the group.
struct AdmissionRequest {
  std::string name;
  std::string address;  // at which others reach it
};

// The id that the leader has assigned to a new member.
struct AdmissionResponse {
  std::string id;  // decimal digits
};

enum class MessageError {
  malformed,  // to be counted
  ignored     // of an unknown kind, or incomplete
};

std::string encode_message(const LeaderMessage& message);
std::string encode_message(const AdmissionRequest& message);
std::string encode_message(const AdmissionResponse& message);

using DecodedMessage = std::variant<LeaderMessage, AdmissionRequest, AdmissionResponse, MessageError>;
DecodedMessage decode_replica_message(const std::string& body);

}  // namespace lotusyard::raft
