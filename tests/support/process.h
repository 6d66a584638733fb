// Runs the program as a child process, as its supervisor does: its files, environment and signals.
#pragma once

#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <cstdlib>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <vector>

#include "net/socket.h"

namespace lotusyard::test {

// Created for one test and removed after it.
struct TemporaryFolder {
  std::string path;
  TemporaryFolder() {
    char name[] = "/tmp/lotusyard-test-XXXXXX";
    REQUIRE(mkdtemp(name) != nullptr);
    path = name;
  }
  ~TemporaryFolder() { CHECK(std::system(("chmod -R u+w " + path + " && rm -rf " + path).c_str()) == 0); }
};

class Process {
 public:
  // The child inherits `listener` as descriptor 3.
  Process(const std::string& log, const std::map<std::string, std::string>& environment,
          const net::Socket* listener = nullptr, const char* program = LOTUSYARD_PROGRAM)
      : log_(log) {
    std::vector<std::string> variables;
    for (const auto& [name, value] : environment)
      variables.push_back(name + "=" + value);
    std::vector<char*> environment_block;
    for (auto& variable : variables)
      environment_block.push_back(variable.data());
    environment_block.push_back(nullptr);
    const int fd = listener == nullptr ? -1 : listener->fd();
    pid_ = fork();
    REQUIRE(pid_ >= 0);
    if (pid_ > 0)
      return;
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(out, 1);
    dup2(out, 2);
    if (fd >= 0 && fd != 3)
      dup2(fd, 3);
    if (fd == 3)
      fcntl(3, F_SETFD, 0);
    for (int other = fd >= 0 ? 4 : 3; other < 256; ++other)
      close(other);
    char* const arguments[] = {const_cast<char*>(program), nullptr};
    execve(program, arguments, environment_block.data());
    _exit(127);
  }
  ~Process() {
    if (pid_ <= 0)
      return;
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
  }
  pid_t pid() const { return pid_; }
  void signal(int number) const { REQUIRE(kill(pid_, number) == 0); }
  // The exit status; -1 while the process runs, 1000 plus the signal number if a signal killed it.
  int status() {
    if (pid_ <= 0)
      return status_;
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) != pid_)
      return -1;
    pid_ = 0;
    return status_ = WIFEXITED(status) ? WEXITSTATUS(status) : 1000 + WTERMSIG(status);
  }
  std::string log() const {
    std::ostringstream text;
    text << std::ifstream(log_).rdbuf();
    return text.str();
  }
  bool has_logged(const std::string& text) const { return log().find(text) != std::string::npos; }
  // The value that was logged last; 0: none.
  long counter(const std::string& name) const {
    const std::string all = "\n" + log();
    const auto at = all.rfind("\n" + name + " ");
    return at == std::string::npos ? 0 : std::stol(all.substr(at + name.size() + 2));
  }

 private:
  std::string log_;
  pid_t pid_ = 0;
  int status_ = -1;
};

inline nlohmann::json invoker_config(const std::string& listen, const std::string& changelog) {
  auto file = nlohmann::json::parse(R"({"name":"n0","seed":"8c1f30d27a5be964",
    "limits":{"cores":0.5,"memory_mb":48,"sockets":384},"known":{"seq":0,"results":[]},
    "settings":{"Balancers":1,"Tick":4.0,"Bounds":{"Cancel":true,"ConnIdle":15000,"ConnectTimeout":250,
      "Probes":true,"SendCap":4,"StreamsPerConn":32},
    "Classes":[{"Name":"bin-check","Semantics":"repeatable","Aim":400,"HardLimit":900},
               {"Name":"bin-record","Semantics":"once","Aim":500,"HardLimit":1000}],
    "FamilyInfo":{"LingerIdle":9000,"OnMiss":"miss","Orders":true,"OrderTimeout":10000},
    "LoadInfo":{"Fields":["inflight","util"],"How":"piggyback"},
    "Rules":{"DrainGrace":2000,"GraceToAnswer":16}}})");
  file["listen"] = listen;
  file["changelog"] = changelog;
  return file;
}

}  // namespace lotusyard::test
