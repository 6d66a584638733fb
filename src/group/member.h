// One member of a group: its store, its links and the agreed log, for whoever decides by them.
#pragma once

#include <memory>
#include <string>

#include "core/counters.h"
#include "group/config.h"
#include "group/consensus.h"
#include "group/links.h"

namespace lotusyard::group {

class Member final : private Consensus::User {
 public:
  // Whoever decides by the log. Calls come from the loop, one at a time.
  class Part {
   public:
    virtual ~Part() = default;
    virtual void applied(std::uint64_t index, const std::string& entry) = 0;
    virtual std::string snapshot() = 0;
    virtual bool restore(const std::string& snapshot) = 0;
    virtual void told(const std::string& word) = 0;  // by another member, to the one that leads
    virtual void failed(const std::string& why) = 0;
  };
  using Note = Links::Note;

  // Throws config::ConfigError or StoreError.
  Member(net::Loop& loop, core::Counters& counters, const Config& config, Part& part, Note note);
  ~Member() override;
  static void found(const Config& config);  // begins this member's store; once, before a group's first start

  const Config& config() const { return config_; }
  std::uint64_t id() const { return identity_.id; }
  std::uint64_t life() const { return identity_.life; }
  std::uint64_t new_life();  // throws StoreError
  bool in_group() const { return consensus_ != nullptr; }
  bool leads() const { return consensus_ && consensus_->leads(); }
  std::uint64_t leader() const { return consensus_ ? consensus_->leader().id : 0; }
  std::uint64_t term() const { return consensus_ ? consensus_->term() : 0; }
  std::vector<Consensus::Server> servers() const;
  // At the one that leads; false elsewhere. `done`: whether it was agreed upon, as far as is known here.
  bool propose(const std::string& entry, std::function<void(bool)> done = {});
  bool tell_leader(const std::string& word);  // false: nobody is known to lead, or nothing goes out there
  std::size_t stored() const { return store_.bytes(); }

 private:
  net::Loop& loop_;
  core::Counters& counters_;
  const Config config_;
  Part& part_;
  Note note_;
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

  void applied(std::uint64_t index, const std::string& entry) override { part_.applied(index, entry); }
  std::string snapshot() override { return part_.snapshot(); }
  bool restore(const std::string& snapshot) override { return part_.restore(snapshot); }
  void send(std::uint64_t to, const std::string& address, const raft_message& message) override;
  void failed(const std::string& why) override;
};

}  // namespace lotusyard::group
