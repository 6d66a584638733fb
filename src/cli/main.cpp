// The program for other installations: durable answers, and sub-commands. With none it starts as lotusyard
// does.
#include <CLI/CLI.hpp>
#include <iostream>

#include "app/app.h"
#include "cli/operate.h"
#include "control/config.h"
#include "idempotency/sqlite_result_store.h"
#include "node/cluster_member.h"
#include "raft/config.h"

namespace lotusyard {
namespace {

idempotency::Bounds bounds_of(const config::AmqpConfig& from) {
  idempotency::Bounds bounds;
  bounds.longest = core::Millis(static_cast<double>(from.store_days) * 24 * 3600e3);
  bounds.most = from.store_records;
  bounds.most_bytes = from.store_mb << 20;
  return bounds;
}

std::unique_ptr<idempotency::SqliteResultStore> open_store(const config::AmqpConfig& from, core::Millis now,
                                                           metrics::Counters& counters) {
  const auto log = [](const std::string& line) { std::cerr << "lotusyard: " << line << std::endl; };
  return std::make_unique<idempotency::SqliteResultStore>(from.store, bounds_of(from), now, counters, log);
}

config::Config read(const std::string& file) {
  return config::read_config(config::read_json_file(file), read_environment());
}

// What the process would be to a group, by the parts `group` and `control`. Throws config::ConfigError.
std::string role_in_group(const nlohmann::json& file, const config::Config& config) {
  const auto longest_deadline = core::longest_deadline(config.settings);
  if (const auto group = raft::parse_config(file, config.name, longest_deadline)) {
    const auto node = control::read_node_config(file, *group);
    const std::string member = "member " + group->member + " of group " + group->cluster;
    return node ? member + ", a control node at " + node->self.address : member;
  }
  if (const auto invoker = control::read_invoker_config(file, longest_deadline))
    return "sessions with control nodes of group " + invoker->cluster;
  return "no group";
}

int check(const std::string& file) {
  const auto config = read(file);
  const std::string role = role_in_group(config::read_json_file(file), config);
  std::cout << file << ": good; "
            << (config.amqp ? "triggers from " + config.amqp->brokers.front() : "no triggers") << ", "
            << (config.amqp && !config.amqp->store.empty() ? "answers in " + config.amqp->store
                                                           : std::string("no durable answers"))
            << ", " << role << std::endl;
  return 0;
}

int list_answers(const std::string& file) {
  const auto config = read(file);
  if (!config.amqp || config.amqp->store.empty())
    throw config::ConfigError("configuration: amqp.store: not set");
  metrics::Counters counters;
  const auto store = open_store(*config.amqp, core::Millis(0), counters);
  static const char* const stages[] = {"", "may_have_run", "not_run", "answered", "confirmed"};
  static const char* const words[] = {"OK", "BUSY", "FAILED"};
  store->for_each([&](const std::string& id, const idempotency::ResultRecord& record) {
    const bool answered = record.stage >= idempotency::ResultStage::answered;
    std::cout << static_cast<std::int64_t>(record.at.count()) << ' ' << stages[static_cast<int>(record.stage)]
              << ' ' << (answered ? words[static_cast<std::size_t>(record.answer.status)] : "-") << ' '
              << record.answer.body.size() << ' ' << id << '\n';
  });
  std::cout << store->size() << " calls" << std::endl;
  return store->healthy() ? 0 : 1;
}

}  // namespace
}  // namespace lotusyard

int main(int count, char** words) {
  using namespace lotusyard;
  CLI::App app{"An invoker with AMQP triggers and durable answers"};
  std::string file;
  app.add_option("file", file, "the configuration; without it the one that BALANCER_CONFIG names");
  std::string checked, listed;
  auto* check_command = app.add_subcommand("check", "reads a configuration and says what is wrong with it");
  check_command->add_option("file", checked)->required();
  auto* answers_command =
      app.add_subcommand("answers", "lists the durable answers, while the invoker is stopped");
  answers_command->add_option("file", listed)->required();
  std::function<int()> operating;
  add_operating(app, operating);
  app.require_subcommand(0, 1);
  CLI11_PARSE(app, count, words);
  try {
    if (check_command->parsed())
      return check(checked);
    if (answers_command->parsed())
      return list_answers(listed);
    if (operating)
      return operating();
    return run(file.empty() ? environment("BALANCER_CONFIG") : file, open_store, node::make_extension);
  } catch (const std::exception& fault) {
    std::cerr << "lotusyard: " << fault.what() << std::endl;
    return 1;
  }
}
