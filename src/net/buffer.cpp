#include "net/buffer.h"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

#include "net/errors.h"
#include "net/system_calls.h"

namespace lotusyard::net {
namespace {

SendQueue::WriteStatus write_status(int error_number) {
  if (is_transient_shortage(error_number))
    return SendQueue::WriteStatus::short_of_memory;
  if (error_number == EAGAIN || error_number == EWOULDBLOCK)
    return SendQueue::WriteStatus::partial;
  return SendQueue::WriteStatus::broken;
}

}  // namespace

BufferPool::Lease BufferPool::acquire() {
  if (!free_.empty()) {
    Lease lease(free_.back().release(), Returner{this});
    free_.pop_back();
    return lease;
  }
  if (allocated_ >= max_blocks_)
    return Lease(nullptr, Returner{this});
  ++allocated_;
  return Lease(new Block, Returner{this});
}

std::size_t BufferPool::bytes_available() const {
  if (blocks_in_use() >= max_blocks_)
    return 0;
  return (max_blocks_ - blocks_in_use()) * kBlockSize;
}

void BufferPool::set_max_blocks(std::size_t max_blocks) {
  max_blocks_ = max_blocks;
  while (allocated_ > max_blocks_ && !free_.empty())
    drop_free_block();
}

void BufferPool::give_back(Block* block) {
  free_.emplace_back(block);
  if (allocated_ > max_blocks_)
    drop_free_block();
}

void BufferPool::drop_free_block() {
  free_.pop_back();
  --allocated_;
}

bool SendQueue::append(std::string_view bytes) {
  while (!bytes.empty()) {
    const bool needs_block = blocks_.empty() || tail_ == BufferPool::kBlockSize;
    if (needs_block && !append_block())
      return false;
    const std::size_t size = std::min(bytes.size(), BufferPool::kBlockSize - tail_);
    std::memcpy(blocks_.back()->data() + tail_, bytes.data(), size);
    tail_ += size;
    appended_ += size;
    bytes.remove_prefix(size);
  }
  return true;
}

bool SendQueue::append_block() {
  auto lease = pool_.acquire();
  if (!lease)
    return false;
  if (blocks_.empty())
    head_ = 0;
  blocks_.push_back(std::move(lease));
  tail_ = 0;
  return true;
}

SendQueue::WriteStatus SendQueue::write_to(int fd) {
  while (!blocks_.empty()) {
    const std::size_t end = blocks_.size() == 1 ? tail_ : BufferPool::kBlockSize;
    const char* unsent = blocks_.front()->data() + head_;
    const ssize_t sent = system_calls::send(fd, unsent, end - head_, MSG_NOSIGNAL);
    if (sent < 0 && errno == EINTR)
      continue;
    if (sent < 0)
      return write_status(errno);
    written_ += static_cast<std::size_t>(sent);
    head_ += static_cast<std::size_t>(sent);
    if (head_ < end)
      continue;
    blocks_.pop_front();
    head_ = 0;
  }
  return WriteStatus::all;
}

}  // namespace lotusyard::net
