#include "net/buffer.h"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

#include "net/errors.h"
#include "net/system_calls.h"

namespace lotusyard::net {

bool SendQueue::append(std::string_view bytes) {
  while (!bytes.empty()) {
    if (blocks_.empty() || tail_ == BufferPool::block_size) {
      auto lease = pool_.acquire();
      if (!lease)
        return false;
      if (blocks_.empty())
        head_ = 0;
      blocks_.push_back(std::move(lease));
      tail_ = 0;
    }
    const std::size_t part = std::min(bytes.size(), BufferPool::block_size - tail_);
    std::memcpy(blocks_.back()->data() + tail_, bytes.data(), part);
    tail_ += part;
    appended_ += part;
    bytes.remove_prefix(part);
  }
  return true;
}

SendQueue::WriteStatus SendQueue::write_to(int fd) {
  while (!blocks_.empty()) {
    const std::size_t end = blocks_.size() == 1 ? tail_ : BufferPool::block_size;
    const ssize_t sent = system_calls::send(fd, blocks_.front()->data() + head_, end - head_, MSG_NOSIGNAL);
    if (sent < 0) {
      if (errno == EINTR)
        continue;
      if (is_transient_shortage(errno))
        return WriteStatus::short_of_memory;
      return errno == EAGAIN || errno == EWOULDBLOCK ? WriteStatus::partial : WriteStatus::broken;
    }
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
