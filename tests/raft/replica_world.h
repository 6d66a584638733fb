// A group of replicas on virtual time, each with a disk that fails as it is told, and a checker of what they
// promise: by their messages, by what they apply and by what their clients were told.
#pragma once

#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "raft/message_codec.h"
#include "raft/raft_core.h"
#include "raft/virtual_scheduler.h"
#include "support/fault_vfs.h"
#include "support/random_input.h"
#include "support/test_settings.h"

namespace lotusyard::test {

// Of the whole group, over all its processes.
class PromiseChecker {
 public:
  void sent(std::uint64_t from, std::uint64_t to, const raft_message& m) {
    switch (m.type) {
      case RAFT_IO_APPEND_ENTRIES:
        speaks(from, m.append_entries.term);
        one(leaders_[m.append_entries.term], from, "two leaders in one term");
        break;
      case RAFT_IO_APPEND_ENTRIES_RESULT:
        speaks(from, m.append_entries_result.term);
        break;
      case RAFT_IO_REQUEST_VOTE:
        if (m.request_vote.pre_vote)
          return;  // of a term that it has not come to
        speaks(from, m.request_vote.term);
        one(votes_[{from, m.request_vote.term}], from, "two votes in one term");
        break;
      case RAFT_IO_REQUEST_VOTE_RESULT:
        if (m.request_vote_result.pre_vote == raft_tribool_true)
          return;
        speaks(from, m.request_vote_result.term);
        if (m.request_vote_result.vote_granted)
          one(votes_[{from, m.request_vote_result.term}], to, "two votes in one term");
        break;
      default:
        break;
    }
  }
  void applied(std::uint64_t index, const std::string& entry) {
    const auto first = log_.try_emplace(index, entry).first;
    if (first->second != entry)
      fault("two entries at index " + std::to_string(index));
  }
  void acknowledged(const std::string& entry) { acknowledged_.insert(entry); }
  void fault(const std::string& what) {
    if (broken.empty())
      broken = what;
  }
  const std::set<std::string>& acknowledged() const { return acknowledged_; }
  std::string broken;

 private:
  std::map<std::uint64_t, std::uint64_t> leaders_, terms_;
  std::map<std::pair<std::uint64_t, std::uint64_t>, std::uint64_t> votes_;
  std::map<std::uint64_t, std::string> log_;
  std::set<std::string> acknowledged_;

  void speaks(std::uint64_t from, std::uint64_t term) {
    if (term < terms_[from])
      fault("the term goes back at " + std::to_string(from));
    terms_[from] = term;
  }
  void one(std::uint64_t& known, std::uint64_t now, const char* rule) {
    if (known != 0 && known != now)
      fault(rule);
    known = now;
  }
};

class ReplicaWorld {
 public:
  static constexpr int kReplicas = 3;
  static constexpr Millis kElection{200}, kDelay{3}, kRestart{150};

  struct Replica final : raft::RaftCore::Delegate {
    ReplicaWorld* world = nullptr;
    std::uint64_t id = 0;
    FaultDisk* disk = nullptr;
    std::unique_ptr<raft::LogStore> store;
    std::unique_ptr<raft::RaftCore> consensus;
    std::vector<std::string> state;
    std::uint64_t last = 0;
    int unavailable_times = 0;
    std::string failure;
    Millis back_at{0};

    std::string path() const { return "r" + std::to_string(id) + ":log"; }
    void apply(std::uint64_t index, const std::string& entry) override {
      if (index <= last)
        world->checker.fault("applied twice: " + entry);
      last = index;
      state.push_back(entry);
      world->checker.applied(index, entry);
    }
    std::string snapshot() override {
      std::string out = std::to_string(last) + '\n';
      for (const auto& entry : state)
        out += entry + '\n';
      return out;
    }
    bool restore(const std::string& from) override {
      std::istringstream in(from);
      std::string line;
      std::getline(in, line);
      if (std::stoull(line) < last)
        world->checker.fault("the state goes back");
      last = std::stoull(line);
      for (state.clear(); std::getline(in, line);)
        state.push_back(line);
      return true;
    }
    void send(std::uint64_t to, const std::string&, const raft_message& message) override {
      world->checker.sent(id, to, message);
      world->deliver_later(id, to, raft::encode_message(message));
    }
    void on_store_failure(const std::string& why) override { failure = why; }
    void on_store_unavailable(sqlite::ResultKind, const std::string&) override { ++unavailable_times; }
    void on_store_available() override {}
  };

  explicit ReplicaWorld(std::uint64_t seed) : random(seed) {
    for (int i = 0; i < kReplicas; ++i) {
      Replica& r = replicas[i];
      r.world = this;
      r.id = static_cast<std::uint64_t>(i) + 1;
      r.disk = &vfs.make_disk("r" + std::to_string(r.id), seed * kReplicas + r.id);
      raft::LogStore store(r.path());
      store.initialize({"yard", std::to_string(r.id), r.id, 0});
      std::vector<raft::StoredServer> servers;
      for (std::uint64_t s = 1; s <= kReplicas; ++s)
        servers.push_back({s, "r" + std::to_string(s), RAFT_VOTER});
      raft::RaftCore::bootstrap(store, servers);
    }
    for (auto& r : replicas)
      start(r);
  }
  ~ReplicaWorld() {
    for (auto& r : replicas)
      stop(r);
  }

  FaultVfs vfs;  // the stores go first
  VirtualScheduler scheduler;
  Random random;
  PromiseChecker checker;
  Replica replicas[kReplicas];
  unsigned loss = 0;  // of messages, in a hundred
  int proposed = 0;

  void start(Replica& r) {
    try {
      r.store = std::make_unique<raft::LogStore>(r.path());
      r.consensus = std::make_unique<raft::RaftCore>(scheduler, *r.store, r, r.id, "r" + std::to_string(r.id),
                                                     kElection, random());
    } catch (const raft::LogStoreError& fault) {
      if (!fault.transient())
        checker.fault(std::string("damaged by trouble that passed: ") + fault.what());
      stop(r);
    }
  }
  // As a process that ends: its memory is gone.
  void stop(Replica& r) {
    r.consensus.reset();
    r.store.reset();
    r.state.clear();
    r.last = 0;
    r.back_at = scheduler.now() + kRestart;
  }
  void crash(Replica& r) {
    r.disk->crash();
    stop(r);
    r.disk->restart();
  }
  void propose() {
    for (auto& r : replicas) {
      if (!r.consensus || !r.consensus->is_leader())
        continue;
      const std::string entry = "e" + std::to_string(++proposed);
      r.consensus->propose(entry, [this, entry](bool done) {
        if (done)
          checker.acknowledged(entry);
      });
    }
  }
  void run(Millis span) {
    const Millis until = scheduler.now() + span;
    while (checker.broken.empty() && scheduler.run_next(until)) {
      for (auto& r : replicas) {
        if (r.disk->crashed())
          crash(r);
        if (!r.consensus && scheduler.now() >= r.back_at)
          start(r);
        if (!r.failure.empty())
          checker.fault("failed for good: " + r.failure);
      }
    }
    for (auto& r : replicas) {
      if (!r.consensus)
        start(r);
    }
  }
  // With disks that are well again all take part, and have all that clients were told.
  void end() {
    loss = 0;
    for (auto& r : replicas) {
      r.disk->rates = FaultRates();
      r.disk->is_full = r.disk->sync_lies = false;
      r.disk->crash_at = 0;
    }
    run(Millis(5000));
    const int before = proposed;
    propose();
    run(Millis(1000));
    if (proposed == before)
      checker.fault("nobody leads though the disks are well");
    for (auto& r : replicas) {
      if (!r.consensus || !r.consensus->is_available())
        return checker.fault("not available again");
      const std::set<std::string> has(r.state.begin(), r.state.end());
      for (const auto& entry : checker.acknowledged()) {
        if (has.count(entry) == 0)
          checker.fault("lost " + entry + " at " + std::to_string(r.id));
      }
    }
  }

 private:
  void deliver_later(std::uint64_t from, std::uint64_t to, const std::string& body) {
    if (to == 0 || to > kReplicas || below(random, 100) < loss)
      return;
    scheduler.at(scheduler.now() + kDelay, [this, from, to, body] {
      Replica& r = replicas[to - 1];
      auto message = raft::decode_message(body);
      if (!message)
        return checker.fault("a message that cannot be read");
      if (!r.consensus)
        return raft::free_message(*message);
      r.consensus->receive(from, "r" + std::to_string(from), std::move(*message));
    });
  }
};

}  // namespace lotusyard::test
