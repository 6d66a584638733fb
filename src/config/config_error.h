// The error of a configuration that cannot be used.
#pragma once

#include <stdexcept>
#include <string>
#include <utility>

namespace lotusyard::config {

class ConfigError : public std::runtime_error {
 public:
  // `key` is the path of the faulty key, such as "amqp.queues"; `problem` completes the sentence.
  ConfigError(std::string key, const std::string& problem)
      : std::runtime_error("configuration: " + key + ": " + problem), key_(std::move(key)) {}

  // For callers that name the key in the message only.
  explicit ConfigError(const std::string& message) : std::runtime_error(message) {}

  // Empty if the error was made from a message.
  const std::string& key() const { return key_; }

 private:
  std::string key_;
};

}  // namespace lotusyard::config
