// The messages between invoker and host, and their codec.
//
// Only this codec uses the words on the wire, which the document PROTOCOL specifies. The messages and the
// types that represent them:
//   exec REF sort=CLASS,asset=FUNCTION[,op=KEY],patience=MS LENGTH   AttemptRequest (op: idempotency key,
//                                                                    patience: the attempt's timeout)
//   drop REF                                                         CancelRequest
//   ensure TAG asset=FUNCTION,count=COPIES                           LoadRequest
//   release FUNCTION                                                 UnloadRequest
//   load TAG                                                         LoadReportRequest
//   health TAG                                                       HealthCheckRequest
//   ID WORD FIELDS LENGTH                                            HostReply, where FIELDS are - or
//     l=NAME:VALUE;...  load report      crowd=N  host_concurrency      count=N  copies
//   and WORD is one of those at ReplyStatus.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/types.h"
#include "hosts/line_parser.h"

namespace lotusyard::hosts {

using core::Millis;

// Runs a call. The ref identifies the attempt on its connection.
struct AttemptRequest {
  std::string ref;
  std::string class_name, function_name;
  std::string idempotency_key;  // empty: none
  std::string body;
};

// Cancels the attempt with this ref.
struct CancelRequest {
  std::string ref;
};

// Asks the host to have this many copies of the function loaded; 0 changes nothing, but is answered.
struct LoadRequest {
  std::string tag;
  std::uint64_t function = 0;
  int copies = 0;
};

// Lets the host unload the function. It is not answered.
struct UnloadRequest {
  std::uint64_t function = 0;
};

// Asks for a load report.
struct LoadReportRequest {
  std::string tag;
};

// Asks for the host's health. The answer does not wait in the host's queue of calls.
struct HealthCheckRequest {
  std::string tag;
};

// `timeout` counts from the time at which the bytes are sent, and is sent in whole milliseconds.
std::string encode(const AttemptRequest& request, Millis timeout);
std::string encode(const CancelRequest& request);
std::string encode(const LoadRequest& request);
std::string encode(const UnloadRequest& request);
std::string encode(const LoadReportRequest& request);
std::string encode(const HealthCheckRequest& request);

enum class ReplyStatus {
  succeeded,    // data
  no_instance,  // absent
  at_capacity,  // full
  failed,       // failed
  never_ran,    // moot
  healthy,      // well
  unhealthy     // ill
};

// True for the answers to LoadReportRequest and HealthCheckRequest, which are not valid for an attempt.
bool is_health_status(ReplyStatus status);
core::Outcome outcome_of(ReplyStatus status);
// The word on the wire, which also labels the counters.
std::string_view wire_word(ReplyStatus status);

struct HostReply {
  std::string id;  // the ref of an attempt, or a tag
  ReplyStatus status = ReplyStatus::failed;
  int host_concurrency = 0;  // calls of the same function in flight at the host; 0: not reported
  int copies = 0;            // copies that the host has loaded, in answer to a LoadRequest
  core::Report report;       // nothing if any of the requested fields is missing
  std::string body;
};

// Decodes a framed reply. `report_fields`: the names of the report's values, in their order. Returns nothing
// if the reply is malformed. A reply without a length is: the length was lost, and no body may stand in for
// it.
std::optional<HostReply> decode_reply(Reply&& reply, const std::vector<std::string>& report_fields);

}  // namespace lotusyard::hosts
