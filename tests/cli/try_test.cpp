// What `./try` shows: three members, hosts and clients on one machine, and a work that they settle.
#include <iostream>

#include "support/cluster.h"

namespace lotusyard::test {
namespace {

TEST_CASE("three members take six hosts out and back, two at a time, while calls are served") {
  Cluster cluster(7, 3, 6);
  REQUIRE(cluster.all_ready(20));
  const std::string admin_endpoint = cluster.members[1]->admin_endpoint;
  std::cout << "three members are in; their admin endpoints are at";
  for (const auto& m : cluster.members)
    std::cout << ' ' << m->admin_endpoint;
  std::cout << "\n$ lotusyard_cluster works add kernel-update --at " << admin_endpoint
            << " --all --out 2 --wait" << std::endl;
  const pid_t child = fork();
  REQUIRE(child >= 0);
  if (child == 0) {
    execl(LOTUSYARD_CLUSTER, "lotusyard_cluster", "works", "add", "kernel-update", "--at",
          admin_endpoint.c_str(), "--all", "--out", "2", "--wait", nullptr);
    _exit(127);
  }
  int status = -1;
  double checked = 0;
  const bool ended = cluster.run_until(
      [&] {
        if (cluster.fixture.loop.now().count() < checked)
          return false;
        checked = cluster.fixture.loop.now().count() + 100;
        cluster.propose_returns(700);  // whoever works on a machine takes as long
        return waitpid(child, &status, WNOHANG) == child;
      },
      45);
  if (!ended)
    kill(child, SIGKILL);
  REQUIRE(ended);
  CHECK(WEXITSTATUS(status) == 0);
  CHECK(cluster.violated_rule(2) == "");
  std::map<std::string, int> words;
  for (const auto& m : cluster.members) {
    for (const auto& [word, body] : m->client->results)
      ++words[word];
  }
  std::cout << "calls meanwhile:";
  for (const auto& [word, count] : words)
    std::cout << ' ' << count << ' ' << word;
  std::cout << "\n$ lotusyard_cluster works timeline *.log --svg works.svg" << std::endl;
  std::string command = std::string(LOTUSYARD_CLUSTER) + " works timeline";
  for (const auto& m : cluster.members)
    command += ' ' + cluster.log_path(*m);
  CHECK(std::system((command + " --svg works.svg").c_str()) == 0);
  std::cout << "the chart is in works.svg" << std::endl;
}

}  // namespace
}  // namespace lotusyard::test
