// One connection of a client: splits its input into commands, and bounds the time that each may take to
// arrive.
#pragma once

#include <list>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/types.h"
#include "net/arrival_clock.h"
#include "net/buffered_connection.h"
#include "resp/parser.h"

namespace lotusyard::resp {

class ClientConnection;

// Why no further input of a connection is handled.
enum class InputError {
  malformed,           // it is not RESP
  incomplete_request,  // a request did not arrive completely in time
  no_request,          // a new connection has sent no complete request in time
};

// Handles the input of a connection. A call may close the connection, which is deleted later.
class ClientConnectionListener {
 public:
  virtual ~ClientConnectionListener() = default;
  // Input was read; called before its commands are passed on.
  virtual void on_input(ClientConnection& client, bool has_command) = 0;
  // Calls were not passed on, because the same input cancels them.
  virtual void on_calls_skipped(std::size_t count) = 0;
  virtual void on_command(ClientConnection& client, Words&& command) = 0;
  // All commands of the input were passed on.
  virtual void on_input_handled(ClientConnection& client) = 0;
  virtual void on_input_error(ClientConnection& client, InputError error) = 0;
  // The connection is closed; called once.
  virtual void on_disconnected(ClientConnection& client) = 0;
};

using ClientList = std::list<std::shared_ptr<ClientConnection>>;

enum class ClientStage {
  no_request,       // has sent nothing
  partial_request,  // has sent a part of its first request
  established,      // has sent a request
};
constexpr std::size_t kClientStages = 3;

// The position of a connection in the ClientTable. Only the table changes it.
struct ClientPosition {
  ClientStage stage = ClientStage::no_request;
  ClientList::iterator iterator;
  std::size_t reads_before_request = 0;
};

class ClientConnection final : public net::BufferedConnection,
                               public std::enable_shared_from_this<ClientConnection> {
 public:
  // The client connected no sooner than `connected_since`.
  ClientConnection(net::EventLoop& loop, net::BufferPool& pool, net::Socket socket,
                   core::Millis connected_since, ClientConnectionListener& listener);
  ~ClientConnection() override;

  ClientPosition& position() { return position_; }
  const ClientPosition& position() const { return position_; }
  bool has_sent_request() const { return position_.stage == ClientStage::established; }

  // The calls of this connection without an answer, by tag.
  void add_open_call(const std::string& tag, core::CallId id) { open_calls_[tag] = id; }
  void remove_open_call(const std::string& tag) { open_calls_.erase(tag); }
  std::optional<core::CallId> find_open_call(const std::string& tag) const;
  std::size_t open_call_count() const { return open_calls_.size(); }
  std::vector<core::CallId> open_call_ids() const;  // in ascending order

  // True from a fault on: further calls are rejected, and the connection is closed once no call is open.
  bool rejects_calls() const { return rejects_calls_; }
  void reject_calls() { rejects_calls_ = true; }
  // Counts a call that was rejected for its form; after too many of them, calls are rejected.
  void count_faulty_call();
  // Input is ignored from now on, and calls are rejected.
  void stop_parsing();
  // The limit on clients is exceeded by this one: its calls are rejected.
  void mark_excess();
  bool is_excess() const { return excess_; }
  // True for the first caller, which is to close the connection.
  bool begin_close();

  // The bytes of responses that were not written to the socket yet.
  std::uint64_t unwritten_bytes() const;
  // No call is open and no response waits to be written; one may be on its way to the client.
  bool is_idle() const { return open_calls_.empty() && send_queue().empty(); }
  // Idle, and the client has received all responses: closing it now loses none.
  bool is_delivered() { return is_idle() && delivery() == Delivery::complete; }
  // Delivered, after a complete request: closing it now loses nothing that was read.
  bool is_at_rest();

  // No sooner than this can what was read last have arrived.
  core::Millis earliest_arrival() const { return earliest_arrival_; }
  // All input that had arrived by then was read.
  core::Millis all_read_at() const { return all_read_at_; }
  // Reads all input that has arrived, up to a limit.
  void drain_socket();

 private:
  void start_request_timer();
  void update_request_timer(bool has_command);
  void remove_cancelled_calls(std::vector<Words>& commands);
  void on_received(std::string_view bytes) override;
  void on_closed() override;

  ClientConnectionListener& listener_;
  Parser parser_;
  net::ArrivalClock arrivals_;
  ClientPosition position_;
  std::unordered_map<std::string, core::CallId> open_calls_;
  core::Millis earliest_arrival_{0};
  core::Millis all_read_at_{0};
  net::EventLoop::TimerId request_timer_{};
  bool request_started_ = true;  // on a new connection the first request is due from the start
  bool malformed_ = false;
  bool rejects_calls_ = false;
  bool excess_ = false;
  bool close_started_ = false;
  std::size_t faulty_calls_ = 0;
};

}  // namespace lotusyard::resp
