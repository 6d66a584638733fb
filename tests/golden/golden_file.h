// Encoded sample values, and the golden files that they are compared with.
//
// Each subsystem has one file, tests/golden/<name>.golden, with one sample per line: its name, a tab, its
// bytes. Bytes that aren't printable ASCII, and backslashes, are written as \xNN.
#pragma once

#include <functional>
#include <map>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace lotusyard::golden {

// Decodes stored bytes and encodes them again; throws if they can't be decoded.
using Reencode = std::function<std::string(const std::string& encoded)>;

struct Sample {
  std::string name, encoded;
  Reencode reencode;  // empty: the program never decodes this form
};

struct GoldenFile {
  std::string name;
  std::vector<Sample> samples;
};

GoldenFile amqp_golden();
GoldenFile admin_golden();
GoldenFile compliance_golden();
GoldenFile control_golden();
GoldenFile gossip_golden();
GoldenFile hosts_golden();
GoldenFile maintenance_golden();
GoldenFile quota_golden();
GoldenFile raft_golden();
GoldenFile records_golden();
GoldenFile resp_golden();
GoldenFile stores_golden();

// Functions, so that the others are still checked if the samples of one can't be made.
using GoldenFileFunction = GoldenFile (*)();
std::map<std::string, GoldenFileFunction> all_golden_files();

using StoredSamples = std::map<std::string, std::string>;

StoredSamples read_golden(const std::string& name);
void write_golden(const GoldenFile& golden);

// Returns the value in `result`; throws if stored bytes could not be decoded.
template <typename Optional>
auto decoded(Optional&& result) {
  if (!result)
    throw std::runtime_error("the stored bytes can't be decoded");
  return *std::forward<Optional>(result);
}

}  // namespace lotusyard::golden
