// A connection: owns its socket, its unwritten bytes and its place in the loop, and gives all three back at
// once.
#pragma once

#include <optional>
#include <string_view>

#include "net/event_loop.h"
#include "net/socket.h"

namespace lotusyard::net {

class BufferedConnection : public EventHandler {
 public:
  BufferedConnection(EventLoop& loop, BufferPool& pool, Socket socket, bool is_connecting,
                     EventLoop::Priority priority = EventLoop::Priority::normal);
  ~BufferedConnection() override;
  BufferedConnection(const BufferedConnection&) = delete;
  BufferedConnection& operator=(const BufferedConnection&) = delete;

  void write(std::string_view bytes);  // goes out at the end of the turn
  bool flush_now();                    // false if some bytes must wait or the stream ends
  void close_later();                  // ends it from the loop, for callers that `ended` must not interrupt
  // What was written goes out, then the peer hears that no more comes; what it still sends is read for a
  // while. Guards against a reset, which would take what the peer has not read yet.
  void shutdown_after_flush();
  bool is_open() const { return static_cast<bool>(socket_) && !connecting_; }
  bool is_connecting() const { return static_cast<bool>(socket_) && connecting_; }
  bool is_closing() const { return closing_ || finishing_ || !socket_; }  // nothing written now would go out
  const SendQueue& send_queue() const { return send_queue_; }
  // Why the connection could not be made, once it has ended for that.
  const std::optional<ConnectError>& connect_error() const { return connect_error_; }
  // A system call on it failed for lack of this machine's memory; it is made again before long.
  bool short_of_memory() const { return paused_; }
  PeerState peer_state() const {
    return socket_ ? peek_peer(socket_) : PeerState::disconnected;
  }  // asks the kernel

  void ready(short events) final;
  void flush() final;

 protected:
  virtual void on_connected() {}
  // The last point before bytes go to the kernel: nothing waits before what is written now. What stands back
  // until then can still be taken back.
  virtual void before_write() {}
  // What a peer sent before it broke the connection is read when a write finds that out, where this says so.
  virtual bool reads_after_write_failure() const { return false; }
  virtual void on_received(std::string_view bytes) = 0;
  virtual void on_closed() = 0;  // once; the socket is closed, nothing more comes
  void close_now();
  EventLoop& loop() { return loop_; }

 private:
  EventLoop& loop_;
  Socket socket_;
  SendQueue send_queue_;
  EventLoop::Priority priority_;
  bool connecting_ = false, closing_ = false, finishing_ = false, told_ = false, broken_ = false;
  std::optional<ConnectError> connect_error_;
  bool paused_ = false;  // for a moment nothing is read or written: the last try found no memory
  std::optional<Millis> short_since_;  // since when no call has found memory
  EventLoop::TimerId linger_{}, resume_{};

  void update_registration();
  void connect_decided(short events);
  void pause_for_memory(const metrics::Counter& counter);
  void resume();
  void read_failed(int error_number);
  void shutdown_write();
  void read();
  void read_remaining();
};

}  // namespace lotusyard::net
