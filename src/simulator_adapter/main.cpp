// The decision module on the simulator's wire: a batch a line on standard input, its reply on standard
// output.
#include <exception>
#include <iostream>
#include <string>

#include "wire.h"

int main() {
  std::ios::sync_with_stdio(false);
  lotusyard::simulator_adapter::Host host;
  std::string line;
  while (std::getline(std::cin, line)) {
    if (line.empty())
      continue;
    try {
      std::cout << host.reply(line) << std::endl;
    } catch (const std::exception& fault) {
      std::cerr << "lotusyard: " << fault.what() << '\n';
      return 1;
    }
  }
  return 0;
}
