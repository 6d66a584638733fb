// Maps requests at the admin endpoint to operations.
#pragma once

#include <string>

#include "admin/admin_operations.h"
#include "admin/http_message.h"
#include "metrics/counters.h"

namespace lotusyard::admin {

// Does no I/O of its own. Counters and operations must outlive it.
class AdminRouter {
 public:
  AdminRouter(metrics::Counters& counters, AdminOperations& operations)
      : counters_(counters), operations_(operations) {}

  // Runs the operation and returns the response to it.
  HttpResponse handle(const Request& request);

 private:
  struct Route;

  metrics::Counters& counters_;
  AdminOperations& operations_;

  static const Route* find_route(const std::string& path);
  HttpResponse reject(HttpResponse response);
  HttpResponse get_ready(const std::string&);
  HttpResponse disable_host(const std::string& host);
  HttpResponse enable_host(const std::string& host);
};

}  // namespace lotusyard::admin
