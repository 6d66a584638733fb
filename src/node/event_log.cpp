#include "node/event_log.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace lotusyard::node {

void write_event(const std::string& component, policy::Millis at, const std::string& member,
                 const std::string& text) {
  static const auto logger = [] {
    auto created = spdlog::stdout_logger_st("lines");
    created->set_pattern("%v");
    // The lines of a process that is killed must not be lost in a buffer.
    created->flush_on(spdlog::level::info);
    return created;
  }();
  logger->info("{} at={} member={} {}", component, static_cast<std::int64_t>(at.count()), member, text);
}

}  // namespace lotusyard::node
