// A connection: owns its socket, its unwritten bytes and its place in the loop, and gives all three back at
// once.
#pragma once

#include <optional>
#include <string_view>

#include "net/loop.h"
#include "net/socket.h"

namespace lotusyard::net {

class Stream : public Handler {
 public:
  Stream(Loop& loop, BufferPool& pool, Socket socket, bool connecting, Loop::Rank rank = Loop::Rank::usual);
  ~Stream() override;
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  void write(std::string_view bytes);  // goes out at the end of the turn
  bool flush_now();                    // false if some bytes must wait or the stream ends
  void end_later();                    // ends it from the loop, for callers that `ended` must not interrupt
  // What was written goes out, then the peer hears that no more comes; what it still sends is read for a
  // while. Guards against a reset, which would take what the peer has not read yet.
  void finish_later();
  bool open() const { return static_cast<bool>(socket_) && !connecting_; }
  bool connecting() const { return static_cast<bool>(socket_) && connecting_; }
  bool ending() const { return ending_ || finishing_ || !socket_; }  // nothing written now would go out
  const Outbox& outbox() const { return outbox_; }
  // Why the connection could not be made, once it has ended for that.
  const std::optional<ConnectError>& connect_error() const { return connect_error_; }
  // A system call on it failed for lack of this machine's memory; it is made again before long.
  bool short_of_memory() const { return paused_; }
  Peer peer() const { return socket_ ? look_at(socket_) : Peer::gone; }  // asks the kernel

  void ready(short events) final;
  void flush() final;

 protected:
  virtual void connected() {}
  // The last point before bytes go to the kernel: nothing waits before what is written now. What stands back
  // until then can still be taken back.
  virtual void before_flush() {}
  // What a peer sent before it broke the connection is read when a write finds that out, where this says so.
  virtual bool reads_rest() const { return false; }
  virtual void received(std::string_view bytes) = 0;
  virtual void ended() = 0;  // once; the socket is closed, nothing more comes
  void end();
  Loop& loop() { return loop_; }

 private:
  Loop& loop_;
  Socket socket_;
  Outbox outbox_;
  Loop::Rank rank_;
  bool connecting_ = false, ending_ = false, finishing_ = false, told_ = false, broken_ = false;
  std::optional<ConnectError> connect_error_;
  bool paused_ = false;  // for a moment nothing is read or written: the last try found no memory
  std::optional<Millis> short_since_;  // since when no call has found memory
  Loop::TimerId linger_{}, resume_{};

  void watch();
  void connect_decided(short events);
  void pause_for_memory(const char* counter);
  void resume();
  void read_failed(int error_number);
  void tell_finished();
  void read();
  void read_rest();
};

}  // namespace lotusyard::net
