#include "node/event_log.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace lotusyard::node {

void write_event(const std::string& part, policy::Millis at, const std::string& member,
                 const std::string& text) {
  static const auto out = [] {
    auto made = spdlog::stdout_logger_st("lines");
    made->set_pattern("%v");
    made->flush_on(spdlog::level::info);  // a process that is killed has told all that it did
    return made;
  }();
  out->info("{} at={} member={} {}", part, static_cast<std::int64_t>(at.count()), member, text);
}

}  // namespace lotusyard::node
