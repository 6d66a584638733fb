// Starts one invoker as its file and its environment say.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "answers/store.h"
#include "config/config.h"
#include "core/counters.h"

namespace lotusyard {

// How the durable answers are opened, where a program keeps any.
using StoreMaker = std::function<std::unique_ptr<answers::Store>(const config::AmqpConfig&, core::Millis now,
                                                                 core::Counters&)>;

std::string environment(const char* name);  // empty if it is not set
config::Environment read_environment();
int run(const std::string& file, const StoreMaker& make_store);

}  // namespace lotusyard
