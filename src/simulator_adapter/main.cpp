// Connects the decision module to the simulator: reads one batch per line from standard input and writes its
// reply to standard output.
#include <exception>
#include <iostream>
#include <string>

#include "wire.h"

int main() {
  std::ios::sync_with_stdio(false);
  lotusyard::simulator_adapter::Adapter adapter;
  std::string line;
  while (std::getline(std::cin, line)) {
    if (line.empty())
      continue;
    try {
      std::cout << adapter.reply(line) << std::endl;
    } catch (const std::exception& fault) {
      std::cerr << "lotusyard: " << fault.what() << '\n';
      return 1;
    }
  }
  return 0;
}
