#include "app/app.h"

#include <cstdlib>

#include "app/invoker.h"

namespace lotusyard {

std::string environment(const char* name) {
  const char* const value = std::getenv(name);
  return value == nullptr ? std::string() : value;
}

config::Environment read_environment() {
  return {environment("BALANCER_NAME"), environment("BALANCER_LISTEN"), environment("BALANCER_CONSOLE"),
          environment("BALANCER_LISTEN_FD")};
}

int run(const std::string& file, const ResultStoreFactory& make_store,
        const ExtensionFactory& make_extension) {
  Invoker(file, make_store, make_extension).run();
  return 0;
}

}  // namespace lotusyard
