// A random committed log, and the records at each of its indexes, computed independently of the code under
// test.
#pragma once

#include <algorithm>
#include <random>

#include "control/change.h"
#include "control/message.h"
#include "control/property.h"

namespace lotusyard::test {

struct History {
  struct Step {
    control::Index index = 0;
    control::Change change;
  };
  std::vector<Step> steps;                      // with gaps between the indexes, as other entries leave them
  std::vector<control::Records> states = {{}};  // before the first step, and after each

  History(std::uint64_t seed, std::size_t count) {
    std::mt19937_64 random(seed);
    control::Index index = 0;
    for (std::size_t i = 0; i < count; ++i) {
      index += 1 + random() % 3;
      const std::string key(1, static_cast<char>('a' + random() % 4));
      const bool removes = random() % 4 == 0;
      control::RecordChange one{key, std::nullopt};
      if (!removes)
        one.value = "v" + std::to_string(index);
      steps.push_back({index, {one, {"last", std::to_string(index)}}});
      replay(steps.back().change);
    }
  }
  control::Index last() const { return steps.back().index; }
  const control::Records& at(control::Index index) const { return states[next_after(index)]; }
  control::Delta delta(std::size_t i) const {
    return {i == 0 ? 0 : steps[i - 1].index, steps[i].index, control::encode_change(steps[i].change)};
  }
  // The number of the first step after an index.
  std::size_t next_after(control::Index index) const {
    const auto behind = [](control::Index one, const Step& step) { return one < step.index; };
    const auto found = std::upper_bound(steps.begin(), steps.end(), index, behind);
    return static_cast<std::size_t>(found - steps.begin());
  }
  std::vector<control::SnapshotChunk> snapshot(control::Index index, std::size_t chunk) const {
    const std::string bytes = control::encode_records(at(index));
    std::vector<control::SnapshotChunk> out;
    for (std::size_t offset = 0; offset < bytes.size(); offset += chunk)
      out.push_back({index, offset, bytes.size(), bytes.substr(offset, chunk)});
    return out;
  }

 private:
  void replay(const control::Change& change) {
    control::Records next = states.back();
    for (const control::RecordChange& one : change) {
      next.erase(one.key);
      if (one.value)
        next.emplace(one.key, *one.value);
    }
    states.push_back(std::move(next));
  }
};

constexpr std::uint64_t kHistorySeed = 11;  // of the scenarios of replicas and sessions

}  // namespace lotusyard::test
