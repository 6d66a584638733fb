// Open requests and their queues.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

#include "policy/records.h"

namespace lotusyard::policy {

// Owns open requests by serial, in order of arrival. Addresses stay valid until the request is erased.
class RequestTable {
 public:
  bool contains(const std::string& id) const { return serials_.count(id) != 0; }
  // Adds a request with the next serial. Its function has to be set, and counts it in `open_requests`.
  Request& add(const std::string& id);
  void erase(const Request& request);

  // The request, or null.
  Request* find(const std::string& id);
  Request* find(std::uint64_t serial);
  // The request, which must exist.
  Request& at(std::uint64_t serial) { return requests_.at(serial); }

  // Adds a request to its function's queue: retries go to the front.
  static void enqueue_front(const Request& request);
  static void enqueue_back(const Request& request);
  static void dequeue(const Request& request);

  auto begin() { return requests_.begin(); }
  auto end() { return requests_.end(); }

 private:
  std::map<std::uint64_t, Request> requests_;
  std::unordered_map<std::string, std::uint64_t> serials_;  // by id
  std::uint64_t next_serial_ = 1;                           // 0 is the token of the sweep's timer
};

}  // namespace lotusyard::policy
