#include "policy/request_table.h"

#include <algorithm>

namespace lotusyard::policy {

Request& RequestTable::add(const std::string& id) {
  Request& request = requests_[next_serial_];
  request.id = id;
  request.serial = next_serial_;
  serials_[id] = next_serial_;
  ++next_serial_;
  return request;
}

void RequestTable::erase(const Request& request) {
  --request.function->open_requests;
  serials_.erase(request.id);
  requests_.erase(request.serial);
}

Request* RequestTable::find(const std::string& id) {
  const auto found = serials_.find(id);
  return found == serials_.end() ? nullptr : &requests_.at(found->second);
}

Request* RequestTable::find(std::uint64_t serial) {
  const auto found = requests_.find(serial);
  return found == requests_.end() ? nullptr : &found->second;
}

void RequestTable::enqueue_front(const Request& request) {
  request.function->queue.push_front(request.serial);
}

void RequestTable::enqueue_back(const Request& request) { request.function->queue.push_back(request.serial); }

void RequestTable::dequeue(const Request& request) {
  auto& queue = request.function->queue;
  queue.erase(std::remove(queue.begin(), queue.end(), request.serial), queue.end());
}

}  // namespace lotusyard::policy
