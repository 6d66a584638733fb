#include "admin/admin_router.h"

#include <string_view>

#include "metrics/client_counters.h"

namespace lotusyard::admin {
namespace {

constexpr std::string_view kHostPrefix = "/-/hosts/";

bool starts_with(std::string_view text, std::string_view prefix) {
  return text.substr(0, prefix.size()) == prefix;
}

bool ends_with(std::string_view text, std::string_view suffix) {
  return text.size() >= suffix.size() && text.substr(text.size() - suffix.size()) == suffix;
}

// Whether the path has the form /-/hosts/HOST/ACTION.
bool is_host_action(const std::string& path) {
  return starts_with(path, kHostPrefix) && path.rfind('/') > kHostPrefix.size();
}

std::string_view label(OperationResult result) { return result == OperationResult::done ? "yes" : "no"; }

HttpResponse host_response(OperationResult result, const std::string& text_if_done) {
  switch (result) {
    case OperationResult::done:
      return {HttpStatus::ok, text_if_done, {}};
    case OperationResult::unknown_host:
      return {HttpStatus::not_found, "no such host", {}};
    case OperationResult::not_persisted:
      break;
  }
  return {HttpStatus::service_unavailable, "this could not be kept, so nothing has changed", {}};
}

}  // namespace

// A path is the prefix, a parameter and the suffix. A route without a suffix has no parameter.
struct AdminRouter::Route {
  std::string_view prefix;
  std::string_view suffix;
  const char* method;
  HttpResponse (AdminRouter::*handler)(const std::string& parameter);

  bool matches(std::string_view path) const {
    if (suffix.empty())
      return path == prefix;
    const bool has_parameter = path.size() > prefix.size() + suffix.size();
    return has_parameter && starts_with(path, prefix) && ends_with(path, suffix);
  }
  std::string parameter(const std::string& path) const {
    return path.substr(prefix.size(), path.size() - prefix.size() - suffix.size());
  }
};

const AdminRouter::Route* AdminRouter::find_route(const std::string& path) {
  static constexpr Route kRoutes[] = {{"/-/ready", "", "GET", &AdminRouter::get_ready},
                                      {kHostPrefix, "/disable", "POST", &AdminRouter::disable_host},
                                      {kHostPrefix, "/enable", "POST", &AdminRouter::enable_host}};
  for (const Route& route : kRoutes) {
    if (route.matches(path))
      return &route;
  }
  return nullptr;
}

HttpResponse AdminRouter::handle(const Request& request) {
  counters_.add(metrics::kConsoleCalls);
  if (const Route* route = find_route(request.path)) {
    if (request.method != route->method) {
      const std::string method = route->method;
      return reject({HttpStatus::method_not_allowed, "the method here is " + method, method});
    }
    return (this->*route->handler)(route->parameter(request.path));
  }
  if (!is_host_action(request.path)) {
    if (const auto response = operations_.handle_request(request))
      return {static_cast<HttpStatus>(response->status), response->text, {}};
  }
  return reject({HttpStatus::not_found, "no such call", {}});
}

HttpResponse AdminRouter::reject(HttpResponse response) {
  counters_.add(metrics::kConsoleFaulty, to_string(response.status));
  return response;
}

HttpResponse AdminRouter::get_ready(const std::string&) {
  if (operations_.ready())
    return {HttpStatus::ok, "ready", {}};
  return {HttpStatus::service_unavailable, "not ready: no clients are taken", {}};
}

HttpResponse AdminRouter::disable_host(const std::string& host) {
  const OperationResult result = operations_.disable(host);
  counters_.add(metrics::kConsoleDisable, label(result));
  return host_response(result, "disabled");
}

HttpResponse AdminRouter::enable_host(const std::string& host) {
  const OperationResult result = operations_.enable(host);
  counters_.add(metrics::kConsoleEnable, label(result));
  return host_response(result, "enabled");
}

}  // namespace lotusyard::admin
