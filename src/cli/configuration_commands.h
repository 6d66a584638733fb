// The sub-commands that read a configuration: `check` reports what is wrong with it, `answers` lists the
// durable results of the store that it names.
#pragma once

#include <memory>

#include "cli/subcommand.h"
#include "config/config.h"
#include "core/types.h"
#include "idempotency/sqlite_result_store.h"
#include "metrics/counters.h"

namespace lotusyard::cli {

void add_configuration_commands(CLI::App& program, ChosenCommand& chosen);

// Opens the store of durable results. The counters must outlive it.
std::unique_ptr<idempotency::SqliteResultStore> open_result_store(const config::AmqpConfig& config,
                                                                  core::Millis now,
                                                                  metrics::Counters& counters);

}  // namespace lotusyard::cli
