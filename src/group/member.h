// One member of a group: its store, its links and the agreed log, for the parts that decide by them.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/counters.h"
#include "group/config.h"
#include "group/consensus.h"
#include "group/links.h"
#include "group/part.h"

namespace lotusyard::group {

class Member final : private Consensus::User {
 public:
  using Note = Links::Note;

  // Told of the log as a whole, once all parts have taken in what came.
  class Observer {
   public:
    virtual ~Observer() = default;
    virtual void log_applied(std::uint64_t index) = 0;
    virtual void log_restored() = 0;  // the state was replaced by a snapshot of an index not told
  };

  // A frame of the kind `view`, from whoever was let in; it needs no agreement.
  using Heard = std::function<void(const std::string& member, const std::string& body)>;

  // The parts outlive it. Throws config::ConfigError or StoreError.
  Member(net::Loop& loop, core::Counters& counters, const Config& config, std::vector<Part*> parts,
         Note note);
  ~Member() override;
  static void found(const Config& config);  // begins this member's store; once, before a group's first start

  const Config& config() const { return config_; }
  std::uint64_t id() const { return identity_.id; }
  std::uint64_t life() const { return identity_.life; }
  // Larger than the present one and `above`, and kept before it is told; throws StoreError.
  std::uint64_t new_life(std::uint64_t above = 0);
  bool in_group() const { return consensus_ != nullptr; }
  bool leads() const { return consensus_ && consensus_->leads(); }
  std::uint64_t leader() const { return consensus_ ? consensus_->leader().id : 0; }
  std::uint64_t term() const { return consensus_ ? consensus_->term() : 0; }
  std::vector<Consensus::Server> servers() const;
  // At the one that leads; false elsewhere. `done`: whether it was agreed upon, as far as is known here.
  bool propose(const Part& part, const std::string& entry, std::function<void(bool)> done = {});
  // False: nobody is known to lead, or nothing goes out there.
  bool tell_leader(const Part& part, const std::string& word);
  void observe(Observer* observer) { observer_ = observer; }  // one; null: none
  void hear_views(Heard heard) { heard_ = std::move(heard); }
  bool send_view(const std::string& address, const std::string& body);  // to whoever listens there
  bool is_available() const { return consensus_ && consensus_->is_available(); }
  std::size_t stored() const;  // bytes of the store's file; 0: it cannot be read just now

 private:
  net::Loop& loop_;
  core::Counters& counters_;
  const Config config_;
  std::vector<Part*> parts_;
  Heard heard_;
  Observer* observer_ = nullptr;
  Note note_;
  LoopScheduler scheduler_;
  Store store_;
  Identity identity_;
  Links links_;
  std::unique_ptr<Consensus> consensus_;
  net::Loop::TimerId asks_{};
  std::size_t asked_ = 0;
  bool changing_ = false;

  void begin();
  void ask_in();
  void take_in(const std::string& name, const std::string& address);
  void give_place(std::uint64_t id, const std::string& address, int role);
  void receive(const Hello& from, Frame&& frame);
  void word(const Hello& from, const std::string& body);

  Part* part_of(const std::string& kind) const;
  void applied(std::uint64_t index, const std::string& entry) override;
  std::string snapshot() override;
  bool restore(const std::string& snapshot) override;
  void send(std::uint64_t to, const std::string& address, const raft_message& message) override;
  void failed(const std::string& why) override;
  void unavailable(sqlite::ResultKind kind, const std::string& why) override;
  void available() override;
};

}  // namespace lotusyard::group
