// Two invokers consume one queue. One refuses a bin-record, the tablet sends it again, the other invoker runs
// it and is killed before it has answered. The broker redelivers the message to the first invoker.
#include "../support/rig.h"

using namespace rig;

namespace {

constexpr int kRounds = 3;
constexpr long kTryMs = 1500;    // a try of bin-record is given up after 1.5 to 3 s
constexpr long kAllowMs = 3000;  // and all tries together after 3 s

struct Result {
  int run_twice = 0, refused_after_run = 0, rounds = 0;
};

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

Result play(const std::string& variant, const std::string& program, bool with_store) {
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

  Result result;
  for (int round = 1; round <= kRounds; ++round) {
    const std::string id = variant + "-" + std::to_string(round);
    const Message first_try = bin_record(id, 1, kTryMs);
    full = true;
    note("client: sends " + id + " (a bin-record)");
    const long sent_at = elapsed_ms();
    broker.publish(first_try);
    const auto first = inbox.wait(first_try.correlation, 1, kTryMs);
    full = false;
    if (!first || first->word != "BUSY") {
      note("client: no refusal of the first try; next round");
      continue;
    }
    ++result.rounds;
    // The client's own retries, as long as it is told that trying again is harmless, and within its time.
    std::string word = first->word;
    for (int number = 2; word == "BUSY" && number <= 3; ++number) {
      sleep_ms(150);
      if (number == 2 && has_trouble()) {
        const std::lock_guard<std::mutex> lock(mutex);
        kill_at_end_of = id;
      }
      note("client: sends " + id + " again, for it was refused");
      const long allow = std::min(kTryMs, sent_at + kAllowMs - elapsed_ms());
      const Message again = bin_record(id, number, allow);
      broker.publish(again);
      const auto next = inbox.wait(again.correlation, 1, allow);
      word = next ? next->word : "none";
      const std::lock_guard<std::mutex> lock(mutex);
      if (number == 2 && word == "BUSY" && runs[id] > 0)
        ++result.refused_after_run;
    }
    sleep_ms(400);
    int count = 0;
    {
      const std::lock_guard<std::mutex> lock(mutex);
      kill_at_end_of.clear();
      count = runs[id];
    }
    note("result: " + id + " ran " + std::to_string(count) + " times; last answer " + word);
    result.run_twice += count > 1 ? 1 : 0;
    for (auto& [name, invoker] : invokers) {
      if (kill(invoker.process->pid(), 0) != 0)
        invoker.start();  // the platform starts it again
    }
    wait_for_consumers(broker, 2);
  }
  for (auto& [name, invoker] : invokers)
    invoker.process->kill_now();
  return result;
}

}  // namespace

int main(int argument_count, char** arguments) {
  open_record(argument_count, arguments);
  limit_duration(110);
  note(has_trouble() ? "with the disruption" : "without the disruption");
  const Result memory = play("memory", "build/lotusyard", false);
  const Result store = play("store", "build/lotusyard_cluster", true);
  const int twice = memory.run_twice + store.run_twice;
  const int rounds = memory.rounds + store.rounds;
  if (rounds == 0)
    could_not_run("no bin-record was refused");
  const int refused = memory.refused_after_run + store.refused_after_run;
  note("bin-records that ran more than once: " + std::to_string(twice) +
       "; refused although they had run: " + std::to_string(refused) + "; of " + std::to_string(rounds));
  const bool broken = twice > 0 || refused > 0;
  note(broken ? "BROKEN" : "held");
  finish(broken ? kBroken : kHeld);
}
