#include "cli/configuration_commands.h"

#include <cstdint>
#include <iostream>
#include <string>

#include "app/app.h"
#include "control/config.h"
#include "raft/config.h"

namespace lotusyard::cli {
namespace {

struct FileOptions {
  std::string file;
};

idempotency::Bounds store_bounds(const config::AmqpConfig& config) {
  constexpr double kMillisPerDay = 24 * 3600e3;
  idempotency::Bounds bounds;
  bounds.max_age = core::Millis(static_cast<double>(config.store_days) * kMillisPerDay);
  bounds.max_records = config.store_records;
  bounds.max_bytes = config.store_mb << 20;
  return bounds;
}

// What the process would be to a group, by the sections `group` and `control`. Throws config::ConfigError.
std::string describe_group_role(const nlohmann::json& file, const config::Config& config) {
  const auto longest_deadline = core::longest_deadline(config.settings);
  if (const auto group = raft::parse_config(file, config.name, longest_deadline)) {
    const auto node = control::read_node_config(file, *group);
    const std::string member = "member " + group->member + " of group " + group->cluster;
    return node ? member + ", a control node at " + node->self.address : member;
  }
  if (const auto invoker = control::read_invoker_config(file, longest_deadline)) {
    return "sessions with control nodes of group " + invoker->cluster;
  }
  return "no group";
}

std::string describe_triggers(const config::Config& config) {
  return config.amqp ? "triggers from " + config.amqp->brokers.front() : "no triggers";
}

std::string describe_result_store(const config::Config& config) {
  const bool has_store = config.amqp && !config.amqp->store.empty();
  return has_store ? "answers in " + config.amqp->store : "no durable answers";
}

ExitStatus check(const FileOptions& options) {
  const auto file = config::read_json_file(options.file);
  const auto config = config::read_config(file, read_environment());
  const std::string role = describe_group_role(file, config);
  std::cout << options.file << ": good; " << describe_triggers(config) << ", "
            << describe_result_store(config) << ", " << role << std::endl;
  return ExitStatus::done;
}

const char* name_of(idempotency::ResultStage stage) {
  switch (stage) {
    case idempotency::ResultStage::sent:
      return "may_have_run";
    case idempotency::ResultStage::cleared:
      return "not_run";
    case idempotency::ResultStage::answered:
      return "answered";
    case idempotency::ResultStage::confirmed:
      break;
  }
  return "confirmed";
}

const char* name_of(core::CallStatus status) {
  switch (status) {
    case core::CallStatus::succeeded:
      return "OK";
    case core::CallStatus::rejected:
      return "BUSY";
    case core::CallStatus::failed:
      break;
  }
  return "FAILED";
}

void print_record(const std::string& id, const idempotency::ResultRecord& record) {
  const bool is_answered = record.stage >= idempotency::ResultStage::answered;
  std::cout << static_cast<std::int64_t>(record.at.count()) << ' ' << name_of(record.stage) << ' '
            << (is_answered ? name_of(record.answer.status) : "-") << ' ' << record.answer.body.size() << ' '
            << id << '\n';
}

ExitStatus list_results(const FileOptions& options) {
  const auto config = config::read_config(config::read_json_file(options.file), read_environment());
  if (!config.amqp || config.amqp->store.empty()) {
    throw config::ConfigError("configuration: amqp.store: not set");
  }
  metrics::Counters counters;
  const auto store = open_result_store(*config.amqp, core::Millis(0), counters);
  store->for_each(print_record);
  std::cout << store->size() << " calls" << std::endl;
  return store->healthy() ? ExitStatus::done : ExitStatus::refused;
}

void add_file_command(CLI::App& program, ChosenCommand& chosen, const char* name, const char* description,
                      ExitStatus (*run)(const FileOptions&)) {
  const auto options = std::make_shared<FileOptions>();
  add_command(program, chosen, options, name, description, run)
      ->add_option("file", options->file)
      ->required();
}

}  // namespace

void add_configuration_commands(CLI::App& program, ChosenCommand& chosen) {
  add_file_command(program, chosen, "check", "reads a configuration and says what is wrong with it", &check);
  add_file_command(program, chosen, "answers", "lists the durable answers, while the invoker is stopped",
                   &list_results);
}

std::unique_ptr<idempotency::SqliteResultStore> open_result_store(const config::AmqpConfig& config,
                                                                  core::Millis now,
                                                                  metrics::Counters& counters) {
  const auto log = [](const std::string& line) { std::cerr << "lotusyard: " << line << std::endl; };
  return std::make_unique<idempotency::SqliteResultStore>(config.store, store_bounds(config), now, counters,
                                                          log);
}

}  // namespace lotusyard::cli
