// Hosts' answers arrive spoilt at times: noise replaces one byte of an answer's line. Clients compare what
// they are served with what hosts made for them.
#include <random>

#include "../support/platform.h"

using namespace rig;

namespace {

constexpr int kHosts = 4;
constexpr int kClients = 8;
constexpr int kCallsPerClient = 400;
constexpr unsigned kSpoiltInHundred = 15;

std::string hex16(std::uint64_t value) {
  char out[17];
  std::snprintf(out, sizeof out, "%016lx", static_cast<unsigned long>(value));
  return out;
}

}  // namespace

int main(int argument_count, char** arguments) {
  open_record(argument_count, arguments);
  limit_duration(110);
  note(has_trouble() ? "with the disruption" : "without the disruption");
  const std::string folder = make_temporary_folder();

  std::mutex mutex;
  std::mt19937_64 random(4711);
  std::map<std::string, std::string> made;    // by ref: what a host made for it
  std::map<std::string, std::string> spoilt;  // by ref: the line as it went out
  int spoilt_count = 0;

  std::vector<int> ports;
  for (int i = 1; i <= kHosts; ++i) {
    auto& host = *new Host(i);
    ports.push_back(host.port());
    host.quiet = true;
    host.load_ms = 200;
    host.plan = [](const Exec&) {
      Plan plan;
      plan.work_ms = 25;
      return plan;
    };
    host.on_run = [&](const Exec& call) {
      const std::lock_guard<std::mutex> lock(mutex);
      made[call.ref] = "done:" + call.body;
    };
    host.spoil = [&](const std::string& ref, std::string line) {
      const std::lock_guard<std::mutex> lock(mutex);
      if (!has_trouble() || random() % 100 >= kSpoiltInHundred)
        return line;
      const std::size_t at = random() % line.size();
      const char before = line[at];
      while (line[at] == before)
        line[at] = static_cast<char>(random() % 256);
      spoilt[ref] = line;
      ++spoilt_count;
      detail("the network spoils it: " + line);
      return line;
    };
  }

  ChangeLog log(1);
  const int port = free_port();
  const std::string listen = "127.0.0.1:" + std::to_string(port);
  write_file(folder + "/config.json", platform_file(listen, log.address(), ports));
  Process invoker("n1", "exec build/lotusyard",
                  {"BALANCER_CONFIG=" + folder + "/config.json", "BALANCER_LISTEN=" + listen,
                   "BALANCER_NAME=n1", "TMPDIR=" + folder},
                  folder + "/invoker.log");
  invoker.start();
  wait_until_up(port);

  std::atomic<int> served{0}, refused{0}, failed{0}, unanswered{0}, wrong{0};
  std::vector<std::thread> clients;
  for (int number = 0; number < kClients; ++number) {
    clients.emplace_back([&, number] {
      std::mt19937_64 own(static_cast<std::uint64_t>(number) + 1);
      auto client = std::make_unique<RespClient>(port);
      for (int i = 1; i <= kCallsPerClient; ++i) {
        const std::string tag = std::to_string(i);
        const std::string ref = hex16(own());
        std::string body = "bin " + ref + ' ';
        for (int k = 0; k < 120; ++k)
          body += static_cast<char>('a' + own() % 26);
        // About a third of the calls are bin-records.
        const bool is_record = own() % 3 == 0;
        const long allow = is_record ? 3000 : 2000;
        detail("client " + std::to_string(number) + " sends " + (is_record ? "bin-record " : "bin-check ") +
               ref);
        client->send({"CALL", tag, is_record ? "bin-record" : "bin-check",
                      "ref=" + ref + ",allow=" + std::to_string(allow) + ",project=redgum-estate,lookup=" +
                          hex16((is_record ? 0xb0 : 0xa0) + own() % 2) + ",spec=memory_mb:300;lanes:4",
                      body});
        const auto answer = client->wait(tag, allow + 100);
        detail("client " + std::to_string(number) + " gets " + (answer ? answer->word : "no answer") +
               " for " + ref);
        if (!answer) {
          ++unanswered;
          client = std::make_unique<RespClient>(port);
          continue;
        }
        if (answer->word == "BUSY")
          ++refused;
        else if (answer->word != "OK")
          ++failed;
        else
          ++served;
        if (answer->word != "OK")
          continue;
        const std::lock_guard<std::mutex> lock(mutex);
        const auto host_made = made.find(ref);
        if (host_made != made.end() && host_made->second == answer->body)
          continue;
        ++wrong;
        const std::size_t made_bytes = host_made == made.end() ? 0 : host_made->second.size();
        note(std::string("client: ") + (is_record ? "bin-record " : "bin-check ") + ref + " is served with " +
             std::to_string(answer->body.size()) + " bytes; the host made " + std::to_string(made_bytes) +
             " bytes, and its line arrived as: " + spoilt[ref]);
      }
    });
  }
  for (auto& client : clients)
    client.join();
  if (invoker.wait_end(0))
    could_not_run("the invoker has ended");
  note("calls: " + std::to_string(kClients * kCallsPerClient) +
       ", answers of hosts that were spoilt: " + std::to_string(spoilt_count) + "; served " +
       std::to_string(served) + ", refused " + std::to_string(refused) + ", failed " +
       std::to_string(failed) + ", unanswered " + std::to_string(unanswered));
  note("served with what no host made: " + std::to_string(wrong));
  note(wrong > 0 ? "BROKEN" : "held");
  finish(wrong > 0 ? kBroken : kHeld);
}
