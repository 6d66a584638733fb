// A bin-record with a timestamp and an expiration runs, and the invoker is killed before it has answered.
// When the invoker is back and gets the message again, marked as redelivered, the message's time in the queue
// is over; its client still waits.
#include "../support/rig.h"

using namespace rig;

namespace {

constexpr int kRounds = 3;
constexpr long kAllowMs = 3000;  // how long the client waits over all tries: bin-record is given up after 3 s
constexpr long kExpirationMs = 1000;  // how long the message may wait in the queue
constexpr long kBackMs = 2050;        // from the first try until the platform starts the killed invoker again

struct Result {
  int run_twice = 0, refused_after_run = 0, rounds = 0;
  long latest_refusal = 0;  // after the first try
};

Message expiring_bin_record(const std::string& id, int number, long allow_ms) {
  Message message = bin_record(id, number, allow_ms);
  message.timestamp = unix_seconds();
  message.expiration = std::to_string(kExpirationMs);
  return message;
}

Result play(const std::string& variant, const std::string& program, bool with_store) {
  const std::string folder = make_temporary_folder();
  note("== " + variant + " ==");
  auto& broker = *new Broker();
  auto& host = *new Host(1);
  auto& inbox = *new Inbox();
  auto& mutex = *new std::mutex();
  auto& runs = *new std::map<std::string, int>();
  auto& kill_at_end_of = *new std::string();
  auto& killed = *new std::atomic<bool>(false);
  broker.on_answer = [&inbox](const Answer& answer) {
    note("client: gets " + answer.word + " for " + answer.correlation);
    inbox.add(answer);
  };
  host.plan = [](const Exec&) {
    Plan plan;
    plan.work_ms = 150;
    plan.answer_delay_ms = 40;
    return plan;
  };
  write_file(folder + "/hosts.json", hosts_file_text({host.port()}));
  TriggerFile file;
  file.broker = broker.address();
  file.hosts_file = folder + "/hosts.json";
  if (with_store) {
    file.store = folder + "/answers.db";
    file.sole_consumer = true;
  }
  write_file(folder + "/operator.json", file.text());
  Process invoker("triggers-1", "exec " + program,
                  {"BALANCER_CONFIG=" + folder + "/operator.json", "TMPDIR=" + folder},
                  folder + "/invoker.log");
  host.on_run = [&](const Exec& call) {
    const std::lock_guard<std::mutex> lock(mutex);
    ++runs[call.body];
    if (kill_at_end_of != call.body)
      return;
    kill_at_end_of.clear();
    note("the invoker is killed while the answer is on its way to it");
    invoker.kill_now();
    killed = true;
  };
  const auto start = [&] {
    invoker.start();
    note("the invoker is started: " + program);
    wait_for_consumers(broker, 1);
  };
  start();

  Result result;
  for (int round = 1; round <= kRounds; ++round) {
    const std::string id = variant + "-" + std::to_string(round);
    if (has_trouble()) {
      const std::lock_guard<std::mutex> lock(mutex);
      kill_at_end_of = id;
    }
    killed = false;
    note("client: sends " + id + " (a bin-record)");
    const Message first = expiring_bin_record(id, 1, kAllowMs);
    const long sent_at = elapsed_ms();
    broker.publish(first);
    if (has_trouble()) {
      for (int i = 0; i < 500 && !killed; ++i)
        sleep_ms(10);
      if (!killed)
        could_not_run("the bin-record did not run");
      sleep_ms(sent_at + kBackMs - elapsed_ms());
      start();
    }
    const auto answer = inbox.wait(first.correlation, 1, sent_at + kAllowMs - elapsed_ms());
    std::string word = answer ? answer->word : "none";
    {
      const std::lock_guard<std::mutex> lock(mutex);
      if (word == "BUSY" && runs[id] > 0) {
        ++result.refused_after_run;
        result.latest_refusal = std::max(result.latest_refusal, answer->at_ms - sent_at);
      }
    }
    // The client's own retries, as long as it is told that trying again is harmless, and within its time.
    for (int number = 2; word == "BUSY" && number <= 3; ++number) {
      sleep_ms(100);
      note("client: sends " + id + " again, for it was refused");
      const Message again = expiring_bin_record(id, number, sent_at + kAllowMs - elapsed_ms());
      broker.publish(again);
      const auto next = inbox.wait(again.correlation, 1, sent_at + kAllowMs - elapsed_ms());
      word = next ? next->word : "none";
    }
    sleep_ms(300);
    const std::lock_guard<std::mutex> lock(mutex);
    note("result: " + id + " ran " + std::to_string(runs[id]) + " times; last answer " + word);
    result.run_twice += runs[id] > 1 ? 1 : 0;
    ++result.rounds;
  }
  invoker.kill_now();
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
  const int refused = memory.refused_after_run + store.refused_after_run;
  note("bin-records that ran more than once: " + std::to_string(twice) +
       "; refused although they had run: " + std::to_string(refused) + ", at the latest " +
       std::to_string(std::max(memory.latest_refusal, store.latest_refusal)) +
       " ms after the first try; of " + std::to_string(memory.rounds + store.rounds));
  const bool broken = twice > 0 || refused > 0;
  note(broken ? "BROKEN" : "held");
  finish(broken ? kBroken : kHeld);
}
