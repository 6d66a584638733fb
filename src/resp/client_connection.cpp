#include "resp/client_connection.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace lotusyard::resp {
namespace {

// Enough for more than 32 calls with the longest bodies.
constexpr int kMaxReadsPerDrain = 6;

// From connecting, or from a request's first byte, to its last byte. Some clients take over 2 s to write one;
// a client that sends none expects to be closed within 3 s.
constexpr core::Millis kRequestTimeout{2800};

constexpr std::size_t kMaxFaultyCalls = 64;

}  // namespace

ClientConnection::ClientConnection(net::EventLoop& loop, net::BufferPool& pool, net::Socket socket,
                                   core::Millis connected_since, ClientConnectionListener& listener)
    : BufferedConnection(loop, pool, std::move(socket), false),
      listener_(listener),
      arrivals_(connected_since, loop.now()) {
  start_request_timer();
}

ClientConnection::~ClientConnection() { loop().cancel(request_timer_); }

std::optional<core::CallId> ClientConnection::find_open_call(const std::string& tag) const {
  const auto found = open_calls_.find(tag);
  if (found == open_calls_.end())
    return std::nullopt;
  return found->second;
}

std::vector<core::CallId> ClientConnection::open_call_ids() const {
  std::vector<core::CallId> ids;
  for (const auto& [tag, id] : open_calls_)
    ids.push_back(id);
  std::sort(ids.begin(), ids.end());
  return ids;
}

// A client that repeats a faulty call as soon as it is rejected would do so for ever.
void ClientConnection::count_faulty_call() {
  if (++faulty_calls_ > kMaxFaultyCalls)
    reject_calls();
}

void ClientConnection::stop_parsing() {
  malformed_ = true;
  reject_calls();
}

void ClientConnection::mark_excess() {
  excess_ = true;
  reject_calls();
}

bool ClientConnection::begin_close() { return !std::exchange(close_started_, true); }

std::uint64_t ClientConnection::unwritten_bytes() const {
  return is_closing() ? 0 : send_queue().appended() - send_queue().written();
}

bool ClientConnection::is_at_rest() {
  return has_sent_request() && !parser_.in_progress() && !is_closing() && is_delivered();
}

void ClientConnection::drain_socket() {
  for (int reads = 0; reads < kMaxReadsPerDrain && !is_closing(); ++reads) {
    const core::Millis now = loop().now();
    if (peer_state() == net::PeerState::idle) {
      all_read_at_ = now;
      return;
    }
    ready(POLLIN);
  }
}

// Without a limit, a client that sends no request or a part of one would hold a descriptor for ever.
void ClientConnection::start_request_timer() {
  request_timer_ = loop().schedule_at(loop().now() + kRequestTimeout, [this] {
    listener_.on_input_error(*this,
                             has_sent_request() ? InputError::incomplete_request : InputError::no_request);
  });
}

// One timer for each request: the time of the next one starts with its own first byte.
void ClientConnection::update_request_timer(bool has_command) {
  const bool in_progress = parser_.in_progress();
  if (request_started_ && (has_command || !in_progress))
    loop().cancel(request_timer_);
  if (in_progress && (has_command || !request_started_))
    start_request_timer();
  request_started_ = in_progress || !has_sent_request();
}

void ClientConnection::on_received(std::string_view bytes) {
  earliest_arrival_ = arrivals_.earliest_arrival(loop());
  if (bytes.size() < net::BufferPool::kBlockSize)
    arrivals_.mark_all_read();
  if (malformed_)
    return;
  std::vector<Words> commands;
  const bool well_formed = parser_.parse(bytes, commands);
  listener_.on_input(*this, !commands.empty());
  update_request_timer(!commands.empty());
  remove_cancelled_calls(commands);
  for (Words& command : commands) {
    if (is_closing())
      return;
    listener_.on_command(*this, std::move(command));
  }
  if (!well_formed)
    return listener_.on_input_error(*this, InputError::malformed);
  listener_.on_input_handled(*this);
}

// A call that the same input cancels is not admitted at all: hundreds of them would each cost a host
// something.
void ClientConnection::remove_cancelled_calls(std::vector<Words>& commands) {
  std::unordered_set<std::string> cancelled_tags;
  const auto is_cancelled_call = [&](const Words& command) {
    if (command.size() < 2)
      return false;
    const std::string& tag = command[1];
    if (command[0] == "CANCEL")
      cancelled_tags.insert(tag);
    return command[0] == "CALL" && open_calls_.count(tag) == 0 && cancelled_tags.count(tag) != 0;
  };
  // From the last command to the first: a CANCEL follows its call.
  const auto kept_end = std::remove_if(commands.rbegin(), commands.rend(), is_cancelled_call);
  if (kept_end == commands.rend())
    return;
  listener_.on_calls_skipped(static_cast<std::size_t>(commands.rend() - kept_end));
  commands.erase(commands.begin(), kept_end.base());
}

void ClientConnection::on_closed() {
  loop().cancel(request_timer_);
  listener_.on_disconnected(*this);
}

}  // namespace lotusyard::resp
