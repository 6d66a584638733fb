// The platform's program: no store, no further libraries.
#include <iostream>

#include "app/app.h"

int main(int count, char** words) {
  if (count > 2) {
    std::cerr
        << "usage: lotusyard [FILE]   the configuration; without it the one that BALANCER_CONFIG names\n";
    return 2;
  }
  try {
    return lotusyard::run(count == 2 ? words[1] : lotusyard::environment("BALANCER_CONFIG"), nullptr);
  } catch (const std::exception& fault) {
    std::cerr << "lotusyard: " << fault.what() << std::endl;
    return 1;
  }
}
