// The configuration file: read at the start, and read again at each reload.
#pragma once

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "config/config.h"

namespace lotusyard {

// Throws config::ConfigError if no file was named, or it cannot be read.
nlohmann::json read_configuration_file(const std::string& path);

// Holds the configuration that is in force, and replaces it as a whole or not at all.
class ReloadableConfiguration {
 public:
  // A configuration that was read and checked and is not in force yet.
  struct Replacement {
    nlohmann::json file;
    std::shared_ptr<config::Config> config;
  };

  // Reads the file. Throws config::ConfigError if it is faulty.
  explicit ReloadableConfiguration(std::string path);

  const config::Config& current() const { return *current_; }
  const std::string& path() const { return path_; }

  // Reads the file again. Throws config::ConfigError if it is faulty, lacks a key that the file in force has,
  // or changes where the endpoint list comes from; what is in force stays.
  Replacement read_replacement() const;

  // Puts a replacement in force. What a running program cannot change stays as it is; returns the keys of
  // such settings that differ.
  std::vector<std::string> apply(Replacement replacement);

 private:
  const std::string path_;
  nlohmann::json required_keys_;  // of the file in force
  std::shared_ptr<const config::Config> current_;
};

}  // namespace lotusyard
