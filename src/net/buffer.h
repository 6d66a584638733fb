// Fixed-size buffers from a bounded pool, and the queue of bytes that a connection has yet to send.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string_view>
#include <vector>

namespace lotusyard::net {

// Bounds the memory for unsent bytes of all connections that share the pool. Must outlive its leases.
class BufferPool {
 public:
  static constexpr std::size_t kBlockSize = 16 * 1024;  // bytes
  using Block = std::array<char, kBlockSize>;

  // Returns a leased block to its pool.
  struct Returner {
    BufferPool* pool;
    void operator()(Block* block) const { pool->give_back(block); }
  };
  using Lease = std::unique_ptr<Block, Returner>;

  explicit BufferPool(std::size_t max_blocks) : max_blocks_(max_blocks) {}

  // Returns an empty lease if all blocks are in use.
  Lease acquire();

  std::size_t blocks_in_use() const { return allocated_ - free_.size(); }
  std::size_t blocks_allocated() const { return allocated_; }
  std::size_t bytes_available() const;

  // Surplus blocks are freed now, or when they are returned if they are in use.
  void set_max_blocks(std::size_t max_blocks);

 private:
  std::size_t max_blocks_;
  std::size_t allocated_ = 0;  // in use or free
  std::vector<std::unique_ptr<Block>> free_;

  void give_back(Block* block);
  void drop_free_block();
};

// The unsent bytes of one connection, in blocks of the pool. The offsets count all bytes since the connection
// was established.
class SendQueue {
 public:
  enum class WriteStatus {
    all,
    partial,          // the kernel's buffer is full: poll(2) reports when it has space
    short_of_memory,  // this machine has no memory for the call; poll(2) does not report when it has
    broken            // the connection is lost
  };

  explicit SendQueue(BufferPool& pool) : pool_(pool) {}

  // Returns false if the pool has no block left; then only a part of the bytes is queued.
  bool append(std::string_view bytes);

  // Sends as much as the kernel takes.
  WriteStatus write_to(int fd);

  // Drops what is not sent.
  void clear() { blocks_.clear(); }

  // Whether all bytes were sent. Not true after bytes were dropped.
  bool empty() const { return appended_ == written_; }
  std::uint64_t appended() const { return appended_; }
  std::uint64_t written() const { return written_; }  // accepted by the kernel

 private:
  BufferPool& pool_;
  std::deque<BufferPool::Lease> blocks_;
  std::size_t head_ = 0;  // offset of the first unsent byte in the first block
  std::size_t tail_ = 0;  // end of the bytes in the last block
  std::uint64_t appended_ = 0;
  std::uint64_t written_ = 0;

  bool append_block();
};

}  // namespace lotusyard::net
