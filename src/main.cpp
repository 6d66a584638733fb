// The platform's program: an invoker without an extension and without durable results.
#include <iostream>

#include "app/app.h"

int main(int argument_count, char** arguments) {
  if (argument_count > 2) {
    std::cerr
        << "usage: lotusyard [FILE]   the configuration; without it the one that BALANCER_CONFIG names\n";
    return 2;
  }
  try {
    const std::string file = argument_count == 2 ? arguments[1] : lotusyard::environment("BALANCER_CONFIG");
    return lotusyard::run(file, nullptr);
  } catch (const std::exception& fault) {
    std::cerr << "lotusyard: " << fault.what() << std::endl;
    return 1;
  }
}
