#include "raft/message_codec.h"

#include <cstring>
#include <string_view>
#include <vector>

#include "raft/bytes.h"
#include "raft/entry_codec.h"
#include "raft/raft_buffer.h"

namespace lotusyard::raft {
namespace {

constexpr std::size_t kMaxServers = 4096;

void put_servers(std::string& out, const raft_configuration& configuration) {
  put32(out, configuration.n);
  for (unsigned i = 0; i < configuration.n; ++i) {
    const raft_server& server = configuration.servers[i];
    put64(out, server.id);
    put8(out, static_cast<unsigned>(server.role));
    put_bytes(out, server.address, std::strlen(server.address));
  }
}

bool read_servers(Reader& reader, raft_configuration& configuration) {
  const std::size_t count = reader.number(4);
  if (!reader.sound() || count > kMaxServers) {
    return false;
  }
  for (std::size_t i = 0; i < count; ++i) {
    const raft_id id = reader.number(8);
    const int role = static_cast<int>(reader.number(1));
    const std::string address(reader.bytes());
    if (!reader.sound() || raft_configuration_add(&configuration, id, address.c_str(), role) != 0) {
      return false;
    }
  }
  return true;
}

bool read_vote_result(Reader& reader, raft_request_vote_result& out) {
  out.vote_granted = reader.number(1) != 0;
  const auto pre_vote = reader.number(1);
  const bool valid = pre_vote <= raft_tribool_false;
  out.pre_vote = valid ? static_cast<raft_tribool>(pre_vote) : raft_tribool_unknown;
  return valid;
}

bool read_snapshot(Reader& reader, raft_install_snapshot& out) {
  raft_configuration_init(&out.conf);
  if (!read_servers(reader, out.conf)) {
    return false;
  }
  const std::string_view data = reader.bytes();
  if (!reader.sound()) {
    return false;
  }
  out.data.base = copy_to_raft_memory(data);
  out.data.len = data.size();
  return out.data.base != nullptr;
}

// Pointers to the terms, ids and indexes at the start of a message, in the order of the wire form. `Message`
// is raft_message or const raft_message.
template <typename Message>
auto leading_numbers(Message& message) -> std::vector<decltype(&message.request_vote.term)> {
  switch (message.type) {
    case RAFT_IO_REQUEST_VOTE: {
      auto& vote = message.request_vote;
      return {&vote.term, &vote.candidate_id, &vote.last_log_index, &vote.last_log_term};
    }
    case RAFT_IO_REQUEST_VOTE_RESULT:
      return {&message.request_vote_result.term};
    case RAFT_IO_APPEND_ENTRIES: {
      auto& append = message.append_entries;
      return {&append.term, &append.prev_log_index, &append.prev_log_term, &append.leader_commit};
    }
    case RAFT_IO_APPEND_ENTRIES_RESULT: {
      auto& result = message.append_entries_result;
      return {&result.term, &result.rejected, &result.last_log_index};
    }
    case RAFT_IO_INSTALL_SNAPSHOT: {
      auto& install = message.install_snapshot;
      return {&install.term, &install.last_index, &install.last_term, &install.conf_index};
    }
    default: {
      auto& timeout = message.timeout_now;
      return {&timeout.term, &timeout.last_log_index, &timeout.last_log_term};
    }
  }
}

// Reads what follows the leading numbers. Memory that was allocated is in `message` also on failure.
bool read_rest(Reader& reader, raft_message& message) {
  switch (message.type) {
    case RAFT_IO_REQUEST_VOTE:
      message.request_vote.disrupt_leader = reader.number(1) != 0;
      message.request_vote.pre_vote = reader.number(1) != 0;
      return true;
    case RAFT_IO_REQUEST_VOTE_RESULT:
      return read_vote_result(reader, message.request_vote_result);
    case RAFT_IO_APPEND_ENTRIES:
      return read_entries(reader, message.append_entries);
    case RAFT_IO_INSTALL_SNAPSHOT:
      return read_snapshot(reader, message.install_snapshot);
    default:
      return true;
  }
}

}  // namespace

std::string encode_message(const raft_message& message) {
  std::string out;
  put8(out, message.type);
  for (const auto* number : leading_numbers(message)) {
    put64(out, *number);
  }
  switch (message.type) {
    case RAFT_IO_REQUEST_VOTE:
      put8(out, message.request_vote.disrupt_leader);
      put8(out, message.request_vote.pre_vote);
      break;
    case RAFT_IO_REQUEST_VOTE_RESULT:
      put8(out, message.request_vote_result.vote_granted);
      put8(out, static_cast<unsigned>(message.request_vote_result.pre_vote));
      break;
    case RAFT_IO_APPEND_ENTRIES:
      put_entries(out, message.append_entries);
      break;
    case RAFT_IO_INSTALL_SNAPSHOT:
      put_servers(out, message.install_snapshot.conf);
      put_bytes(out, message.install_snapshot.data.base, message.install_snapshot.data.len);
      break;
    default:
      break;
  }
  return out;
}

std::optional<raft_message> decode_message(const std::string& body) {
  Reader reader(body);
  raft_message message{};
  message.type = static_cast<unsigned short>(reader.number(1));
  if (message.type < RAFT_IO_APPEND_ENTRIES || message.type > RAFT_IO_TIMEOUT_NOW) {
    return std::nullopt;
  }
  for (auto* number : leading_numbers(message)) {
    *number = reader.number(8);
  }
  if (read_rest(reader, message) && reader.ended()) {
    return message;
  }
  free_message(message);
  return std::nullopt;
}

void free_message(raft_message& message) {
  if (message.type == RAFT_IO_APPEND_ENTRIES) {
    auto& append = message.append_entries;
    if (append.n_entries > 0) {
      raft_free(append.entries[0].batch);
    }
    raft_free(append.entries);
    append.entries = nullptr;
    append.n_entries = 0;
  }
  if (message.type == RAFT_IO_INSTALL_SNAPSHOT) {
    auto& install = message.install_snapshot;
    raft_configuration_close(&install.conf);
    raft_free(install.data.base);
    install.data.base = nullptr;
  }
}

}  // namespace lotusyard::raft
