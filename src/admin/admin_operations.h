// The operations of the program that requests to the admin endpoint run.
#pragma once

#include <optional>
#include <string>

#include "admin/http_message.h"

namespace lotusyard::admin {

enum class OperationResult {
  done,
  unknown_host,
  not_persisted  // could not be stored, so nothing has changed
};

class AdminOperations {
 public:
  virtual ~AdminOperations() = default;

  // Whether clients are admitted.
  virtual bool ready() const = 0;

  virtual OperationResult disable(const std::string& host) = 0;
  virtual OperationResult enable(const std::string& host) = 0;

  // Handles a request that is none of the above. Returns nothing if there is no such operation.
  virtual std::optional<Response> handle_request(const Request&) { return std::nullopt; }
};

}  // namespace lotusyard::admin
