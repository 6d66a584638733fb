// Buffers of one size from a pool, and the queue of bytes that a connection has yet to write.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <memory>
#include <string_view>
#include <vector>

namespace lotusyard::net {

class BufferPool {
 public:
  static constexpr std::size_t block_size = 16 * 1024;
  using Block = std::array<char, block_size>;
  struct Returner {
    BufferPool* pool;
    void operator()(Block* block) const {
      pool->free_.emplace_back(block);
      if (pool->made_ > pool->most_)
        pool->drop_one();
    }
  };
  using Lease = std::unique_ptr<Block, Returner>;

  explicit BufferPool(std::size_t most_blocks) : most_(most_blocks) {}
  Lease acquire() {  // empty when all are out: the bound on what may wait unwritten
    if (free_.empty()) {
      if (made_ >= most_)
        return Lease(nullptr, Returner{this});
      ++made_;
      return Lease(new Block, Returner{this});
    }
    Lease lease(free_.back().release(), Returner{this});
    free_.pop_back();
    return lease;
  }
  std::size_t blocks_in_use() const { return made_ - free_.size(); }
  std::size_t blocks_allocated() const { return made_; }
  std::size_t bytes_available() const {
    return most_ > blocks_in_use() ? (most_ - blocks_in_use()) * block_size : 0;
  }  // in bytes
  // Fewer from now on: what is not out is given back at once, the rest as it comes back.
  void set_max_blocks(std::size_t most_blocks) {
    most_ = most_blocks;
    while (made_ > most_ && !free_.empty())
      drop_one();
  }

 private:
  std::size_t most_, made_ = 0;
  std::vector<std::unique_ptr<Block>> free_;

  void drop_one() {
    free_.pop_back();
    --made_;
  }
};

class SendQueue {
 public:
  // short_of_memory: this machine could not take more just now; unlike `some`, poll(2) tells no end of it.
  enum class WriteStatus { all, partial, short_of_memory, broken };
  explicit SendQueue(BufferPool& pool) : pool_(pool) {}
  bool append(std::string_view bytes);  // false: no buffer to be had, and the stream is spoilt
  WriteStatus write_to(int fd);
  void clear() { blocks_.clear(); }  // what is not written never will be
  bool empty() const { return appended_ == written_; }
  std::uint64_t appended() const { return appended_; }  // offsets count from the connection's start
  std::uint64_t written() const { return written_; }    // handed to the kernel

 private:
  BufferPool& pool_;
  std::deque<BufferPool::Lease> blocks_;
  std::size_t head_ = 0, tail_ = 0;  // first unwritten byte of the first block, end of the last
  std::uint64_t appended_ = 0, written_ = 0;
};

}  // namespace lotusyard::net
