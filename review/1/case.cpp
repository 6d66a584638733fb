// Two invokers consume one queue. One refuses a bin-record, the tablet sends it again, the other invoker runs it and
// is killed before it has answered. The broker redelivers the message to the first invoker.
#include "../support/rig.h"

using namespace rig;

namespace {

constexpr int kRounds = 3;

struct Invoker {
  std::string name, program, file, folder;
  std::unique_ptr<Process> process;
  void start() {
    process = std::make_unique<Process>(
        name, "exec " + program, std::vector<std::string>{"BALANCER_CONFIG=" + file, "TMPDIR=" + folder},
        folder + "/" + name + ".log");
    process->start();
    note(name + " is started: " + program);
  }
};

void wait_for_consumers(Broker& broker, std::size_t count) {
  for (int i = 0; i < 1000 && broker.consumers() != count; ++i)
    sleep_ms(10);
  if (broker.consumers() != count)
    could_not_run("the invokers do not consume");
}

// Returns the number of bin-records that ran more than once.
int play(const std::string& variant, const std::string& program, bool with_store) {
  const std::string folder = make_temporary_folder();
  note("== " + variant + " ==");
  auto& broker = *new Broker();
  auto& host = *new Host(1);
  auto& inbox = *new Inbox();
  auto& mutex = *new std::mutex();
  auto& runs = *new std::map<std::string, int>();
  auto& full = *new std::atomic<bool>(false);
  auto& kill_at_end_of = *new std::string();
  std::map<std::string, Invoker> invokers;
  broker.on_answer = [&inbox](const Answer& answer) {
    note("client: gets " + answer.word + " for " + answer.correlation);
    inbox.add(answer);
  };
  // The host has no room at times, and says so.
  host.plan = [&full](const Exec&) {
    Plan plan;
    plan.refuse = full ? "full" : "";
    plan.work_ms = 150;
    plan.answer_delay_ms = 40;
    return plan;
  };
  host.on_run = [&](const Exec& call) {
    std::string victim;
    {
      const std::lock_guard<std::mutex> lock(mutex);
      ++runs[call.body];
      if (kill_at_end_of == call.body) {
        victim = broker.last_consumer();
        kill_at_end_of.clear();
      }
    }
    if (victim.empty())
      return;
    note(victim + " is killed while the answer is on its way to it");
    invokers.at(victim).process->kill_now();
  };

  write_file(folder + "/hosts.json", hosts_file_text({host.port()}));
  for (const std::string name : {"a", "b"}) {
    TriggerFile file;
    file.name = name;
    file.broker = broker.address();
    file.hosts_file = folder + "/hosts.json";
    file.invokers = 2;
    if (with_store)
      file.store = folder + "/" + name + ".db";
    write_file(folder + "/" + name + ".json", file.text());
    invokers[name] = {name, program, folder + "/" + name + ".json", folder, nullptr};
    invokers[name].start();
  }
  wait_for_consumers(broker, 2);

  int twice = 0;
  for (int round = 1; round <= kRounds; ++round) {
    const std::string id = variant + "-" + std::to_string(round);
    Message message;
    message.id = id;                    // the same for all tries of one bin-record
    message.correlation = id + "#1";    // each try has its own
    message.reply_to = "tablet-1";
    message.headers = {{"class", "bin-record"}, {"lookup", "00000000000000a1"}, {"project", "redgum-estate"},
                       {"memory_mb", "400"}, {"lanes", "4"}, {"allow", "3000"}};
    message.body = id;
    full = true;
    note("client: sends " + id + " (a bin-record)");
    broker.publish(message);
    const auto first = inbox.wait(message.correlation, 1, 6000);
    full = false;
    if (!first || first->word != "BUSY") {
      note("client: no refusal of the first try; next round");
      continue;
    }
    // The client's own retries: up to two more tries after a wait, as long as it is told that trying again is harmless.
    std::size_t tries = 1;
    std::string word = first->word;
    while (word == "BUSY" && tries < 3) {
      sleep_ms(150);
      if (tries == 1 && has_trouble()) {
        const std::lock_guard<std::mutex> lock(mutex);
        kill_at_end_of = id;
      }
      ++tries;
      message.correlation = id + "#" + std::to_string(tries);
      note("client: sends " + id + " again, for it was refused");
      broker.publish(message);
      const auto next = inbox.wait(message.correlation, 1, 4000);
      word = next ? next->word : "none";
    }
    sleep_ms(400);
    int count = 0;
    {
      const std::lock_guard<std::mutex> lock(mutex);
      kill_at_end_of.clear();
      count = runs[id];
    }
    note("result: " + id + " ran " + std::to_string(count) + " times; last answer " + word);
    twice += count > 1 ? 1 : 0;
    for (auto& [name, invoker] : invokers) {
      if (kill(invoker.process->pid(), 0) != 0)
        invoker.start();  // the platform starts it again
    }
    wait_for_consumers(broker, 2);
  }
  for (auto& [name, invoker] : invokers)
    invoker.process->kill_now();
  return twice;
}

}  // namespace

int main(int argument_count, char** arguments) {
  open_record(argument_count, arguments);
  limit_duration(110);
  note(has_trouble() ? "with the disruption" : "without the disruption");
  int twice = play("memory", "build/lotusyard", false);
  twice += play("store", "build/lotusyard_cluster", true);
  note(twice > 0 ? "BROKEN: " + std::to_string(twice) + " bin-records ran more than once" : "held");
  finish(twice > 0 ? kBroken : kHeld);
}
