// A buffered TCP connection on the event loop.
#pragma once

#include <optional>
#include <string_view>

#include "net/delivery_progress.h"
#include "net/event_loop.h"
#include "net/socket.h"

namespace lotusyard::net {

// Owns its socket, its unwritten bytes and its registration at the loop, and releases all three when it
// closes. Derived classes receive the bytes. Holders that drop a connection from one of its own callbacks
// keep it with EventLoop::delete_later().
class BufferedConnection : public EventHandler {
 public:
  BufferedConnection(EventLoop& loop, BufferPool& pool, Socket socket, bool is_connecting,
                     EventLoop::Priority priority = EventLoop::Priority::normal);
  ~BufferedConnection() override;
  BufferedConnection(const BufferedConnection&) = delete;
  BufferedConnection& operator=(const BufferedConnection&) = delete;

  // Queues bytes, which are sent at the end of the iteration. If the pool has no buffer left the connection
  // is closed, because the peer could not understand a stream with a gap.
  void write(std::string_view bytes);

  // Sends what is queued now. Returns false if bytes remain queued or the connection closes.
  bool flush_now();

  // Closes the connection from the event loop, so that on_closed() does not interrupt the caller.
  void close_later();

  // Sends what is queued, shuts down the sending side and goes on reading until the peer closes, or until a
  // time-out after the peer has received everything. Closing at once could reset the connection, and the peer
  // would lose data on its way.
  void shutdown_after_flush();

  bool is_open() const { return static_cast<bool>(socket_) && !connecting_; }
  bool is_connecting() const { return static_cast<bool>(socket_) && connecting_; }
  // Whether bytes written now would never be sent.
  bool is_closing() const { return shutdown_ != Shutdown::none || !socket_; }
  const SendQueue& send_queue() const { return send_queue_; }
  // What a peer has of the bytes that were written. Makes a system call.
  enum class Delivery {
    complete,  // its kernel has all of them: closing the connection loses none
    pending,
    stalled  // pending, and the peer seems to read no more
  };
  Delivery delivery();
  // Why the connection could not be established; set before on_closed() is called.
  const std::optional<ConnectError>& connect_error() const { return connect_error_; }
  // Whether reads and writes are paused because this machine had no memory for the last one.
  bool short_of_memory() const { return paused_for_memory_; }
  // What the peer has done that was not read yet. Makes system calls.
  PeerState peer_state() const { return socket_ ? peek_peer(socket_) : PeerState::disconnected; }

  void ready(short events) final;
  void flush() final;

 protected:
  virtual void on_connected() {}
  // Called right before the bytes go to the kernel, when nothing written earlier is still queued. Writes that
  // could still be withdrawn until then are made here.
  virtual void before_write() {}
  // Whether to read what the peer has sent before a write fails because the connection is broken.
  virtual bool reads_after_write_failure() const { return false; }
  virtual void on_received(std::string_view bytes) = 0;
  // Called once, after the socket was closed. No other callback follows.
  virtual void on_closed() = 0;
  void close_now();
  EventLoop& loop() { return loop_; }

 private:
  // How far this side has ended the connection.
  enum class Shutdown {
    none,
    after_flush,  // the sending side is shut down as soon as all is sent
    lingering,    // shut down; waits for the peer to close
    closing       // is closed by the next flush
  };

  EventLoop& loop_;
  Socket socket_;  // empty once the connection has closed
  SendQueue send_queue_;
  EventLoop::Priority priority_;
  bool connecting_ = false;
  Shutdown shutdown_ = Shutdown::none;
  bool write_failed_ = false;
  std::optional<ConnectError> connect_error_;
  bool paused_for_memory_ = false;
  DeliveryProgress delivery_progress_;
  std::optional<Millis> short_of_memory_since_;  // the first failure since the last call that succeeded
  EventLoop::TimerId linger_timer_{};
  EventLoop::TimerId resume_timer_{};

  bool closes_at_flush() const { return shutdown_ == Shutdown::closing; }
  short awaited_events() const;
  void update_registration();
  void finish_connecting(short events);
  void handle_write_status(SendQueue::WriteStatus status);
  void shutdown_write();
  void start_linger_timer();
  void read();
  void read_remaining();
  void handle_read_error(int error_number);
  void pause_for_memory(const metrics::Counter& counter);
  void resume();
};

}  // namespace lotusyard::net
