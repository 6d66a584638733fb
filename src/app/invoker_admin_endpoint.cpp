// The operations of the admin endpoint.
#include <iostream>

#include "app/invoker.h"

namespace lotusyard {

void Invoker::open_admin_endpoint() {
  if (config().console.empty())
    return;
  admin_endpoint_.emplace(loop_, counters_, static_cast<admin::AdminOperations&>(*this),
                          resource_shares().admin_connections);
  if (!admin_endpoint_->listen(config().console)) {
    throw config::ConfigError("configuration: console: cannot listen on " + config().console);
  }
  std::cout << "lotusyard " << config().name << " has its admin endpoint at " << config().console
            << std::endl;
  if (state_folder_.empty())
    std::cerr << "lotusyard: TMPDIR is not set: no host can be disabled by hand" << std::endl;
}

bool Invoker::ready() const {
  return front_.listening() && !shutdown_.has_begun() && (!extension_ || extension_->ready());
}

std::optional<admin::Response> Invoker::handle_request(const admin::Request& request) {
  return extension_ ? extension_->handle_request(request) : std::nullopt;
}

admin::OperationResult Invoker::disable(const std::string& host) {
  if (!endpoint_states_.is_known(host))
    return admin::OperationResult::unknown_host;
  if (!disabled_host_files_.add(host))
    return admin::OperationResult::not_persisted;
  endpoint_states_.disable(host);
  std::cout << "lotusyard " << config().name << ": host " << host << " is out by hand" << std::endl;
  return admin::OperationResult::done;
}

admin::OperationResult Invoker::enable(const std::string& host) {
  if (!endpoint_states_.is_known(host))
    return admin::OperationResult::unknown_host;
  if (!disabled_host_files_.remove(host))
    return admin::OperationResult::not_persisted;
  endpoint_states_.enable(host, loop_.now());
  std::cout << "lotusyard " << config().name << ": host " << host << " may be used again" << std::endl;
  return admin::OperationResult::done;
}

}  // namespace lotusyard
