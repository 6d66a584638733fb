// Sample values in their encoded forms, and the stored files that they are compared with.
//
// A part is one subsystem's samples and one file, tests/golden/<name>.golden, with one sample a line: its
// name, a tab, its bytes. Bytes that aren't printable ASCII, and backslashes, are written as \xNN.
#pragma once

#include <functional>
#include <map>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace lotusyard::golden {

// Decodes stored bytes and encodes them again; throws where they can't be decoded.
using Reencode = std::function<std::string(const std::string& encoded)>;

struct Sample {
  std::string name, encoded;
  Reencode reencode;  // empty: this form is never read by the program
};

struct Part {
  std::string name;
  std::vector<Sample> samples;
};

Part amqp_part();
Part admin_part();
Part compliance_part();
Part control_part();
Part gossip_part();
Part hosts_part();
Part maintenance_part();
Part quota_part();
Part raft_part();
Part records_part();
Part resp_part();
Part stores_part();

// Made one by one, so that a part that can't be made doesn't hide what others show.
using PartFunction = Part (*)();
std::map<std::string, PartFunction> all_parts();

using StoredSamples = std::map<std::string, std::string>;

StoredSamples read_golden(const std::string& part);
void write_golden(const Part& part);

// The value in `found`, or a failure that says that stored bytes can't be decoded.
template <typename Optional>
auto decoded(Optional&& found) {
  if (!found)
    throw std::runtime_error("the stored bytes can't be decoded");
  return *std::forward<Optional>(found);
}

}  // namespace lotusyard::golden
