// What is known of calls by message_id: which run, and the answers of those that ended. Bounded: the answers
// longest remembered are forgotten first; calls that run are never.
#pragma once

#include <list>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/types.h"

namespace lotusyard::amqp {

struct Address {  // where an answer goes, and what it answers there
  std::string reply_to, correlation_id;
  std::string text() const { return reply_to + '\n' + correlation_id; }
  bool operator==(const Address& o) const {
    return reply_to == o.reply_to && correlation_id == o.correlation_id;
  }
};

struct Waiter {
  std::uint64_t tag = 0;  // of a delivery on the present channel
  Address address;
};

struct Remembered {
  bool once = false;
  std::shared_ptr<const core::Answer> answer;  // none while the call runs
  std::vector<Waiter> waiters;                 // while it runs
  std::vector<Address> confirmed;              // the broker holds the answer for these
};

class Memory {
 public:
  Memory(std::size_t most, std::size_t most_bytes) : most_(most), most_bytes_(most_bytes) {}

  Remembered* find(const std::string& id);
  Remembered& begin(const std::string& id, bool once);  // anew, whatever was known
  void end(const std::string& id, core::Answer&& answer);
  void forget_waiters();
  std::size_t size() const { return entries_.size(); }
  std::size_t running() const { return entries_.size() - ended_.size(); }

 private:
  struct Entry {
    Remembered remembered;
    std::list<std::string>::iterator place;  // among the ended
  };
  std::size_t most_, most_bytes_, bytes_ = 0;
  std::unordered_map<std::string, Entry> entries_;
  std::list<std::string> ended_;  // the one that ended first stands first

  static std::size_t cost(const std::string& id, const core::Answer& answer);
  void forget(const std::string& id);
};

}  // namespace lotusyard::amqp
