#include "raft/message_codec.h"

#include <cstring>
#include <utility>
#include <vector>

#include "raft/bytes.h"

namespace lotusyard::raft {
namespace {

constexpr std::size_t kAligned = 8;  // the library reads words out of its entries
constexpr std::size_t kEntriesMost = 100000, kServersMost = 4096;

std::size_t aligned(std::size_t size) { return (size + kAligned - 1) / kAligned * kAligned; }

bool read_entries(Reader& in, raft_append_entries& out) {
  const std::size_t count = in.number(4);
  out.entries = nullptr;
  out.n_entries = 0;
  if (!in.sound() || count > kEntriesMost) return false;
  if (count == 0) return true;
  // One block holds what all of them carry: the library gives back blocks, not entries.
  std::vector<std::string_view> data;
  std::vector<std::pair<raft_term, unsigned short>> heads;
  std::size_t size = 0;
  for (std::size_t i = 0; i < count; ++i) {
    const raft_term term = in.number(8);
    const auto type = static_cast<unsigned short>(in.number(1));
    heads.emplace_back(term, type);
    data.push_back(in.bytes());
    if (!in.sound() || type < RAFT_COMMAND || type > RAFT_CHANGE) return false;
    size += aligned(data.back().size());
  }
  out.entries = static_cast<raft_entry*>(raft_calloc(count, sizeof(raft_entry)));
  char* batch = static_cast<char*>(raft_malloc(size + kAligned));
  if (out.entries == nullptr || batch == nullptr) {
    raft_free(out.entries);
    raft_free(batch);
    out.entries = nullptr;
    return false;
  }
  std::size_t at = 0;
  for (std::size_t i = 0; i < count; ++i) {
    raft_entry& entry = out.entries[i];
    entry.term = heads[i].first;
    entry.type = heads[i].second;
    entry.batch = batch;
    entry.buf.base = batch + at;
    entry.buf.len = data[i].size();
    if (!data[i].empty()) std::memcpy(entry.buf.base, data[i].data(), data[i].size());
    at += aligned(data[i].size());
  }
  out.n_entries = static_cast<unsigned>(count);
  return true;
}

void put_servers(std::string& out, const raft_configuration& conf) {
  put32(out, conf.n);
  for (unsigned i = 0; i < conf.n; ++i) {
    put64(out, conf.servers[i].id);
    put8(out, static_cast<unsigned>(conf.servers[i].role));
    put_bytes(out, conf.servers[i].address, std::strlen(conf.servers[i].address));
  }
}

bool read_servers(Reader& in, raft_configuration& conf) {
  const std::size_t count = in.number(4);
  if (!in.sound() || count > kServersMost) return false;
  for (std::size_t i = 0; i < count; ++i) {
    const raft_id id = in.number(8);
    const int role = static_cast<int>(in.number(1));
    const std::string address(in.bytes());
    if (!in.sound() || raft_configuration_add(&conf, id, address.c_str(), role) != 0) return false;
  }
  return true;
}

// The terms, ids and indexes with which a message begins, in the order in which they are worded and read.
template <typename Message>  // const or not
auto numbers_of(Message& m) -> std::vector<decltype(&m.request_vote.term)> {
  switch (m.type) {
    case RAFT_IO_REQUEST_VOTE: {
      auto& r = m.request_vote;
      return {&r.term, &r.candidate_id, &r.last_log_index, &r.last_log_term};
    }
    case RAFT_IO_REQUEST_VOTE_RESULT: return {&m.request_vote_result.term};
    case RAFT_IO_APPEND_ENTRIES: {
      auto& a = m.append_entries;
      return {&a.term, &a.prev_log_index, &a.prev_log_term, &a.leader_commit};
    }
    case RAFT_IO_APPEND_ENTRIES_RESULT: {
      auto& a = m.append_entries_result;
      return {&a.term, &a.rejected, &a.last_log_index};
    }
    case RAFT_IO_INSTALL_SNAPSHOT: {
      auto& s = m.install_snapshot;
      return {&s.term, &s.last_index, &s.last_term, &s.conf_index};
    }
    default: return {&m.timeout_now.term, &m.timeout_now.last_log_index, &m.timeout_now.last_log_term};
  }
}

}  // namespace

std::string encode_hello(const raft_message& m) {
  std::string out;
  put8(out, m.type);
  for (const auto* number : numbers_of(m)) put64(out, *number);
  switch (m.type) {
    case RAFT_IO_REQUEST_VOTE:
      put8(out, m.request_vote.disrupt_leader);
      put8(out, m.request_vote.pre_vote);
      break;
    case RAFT_IO_REQUEST_VOTE_RESULT:
      put8(out, m.request_vote_result.vote_granted);
      put8(out, static_cast<unsigned>(m.request_vote_result.pre_vote));
      break;
    case RAFT_IO_APPEND_ENTRIES:
      put32(out, m.append_entries.n_entries);
      for (unsigned i = 0; i < m.append_entries.n_entries; ++i) {
        const raft_entry& entry = m.append_entries.entries[i];
        put64(out, entry.term);
        put8(out, entry.type);
        put_bytes(out, entry.buf.base, entry.buf.len);
      }
      break;
    case RAFT_IO_INSTALL_SNAPSHOT:
      put_servers(out, m.install_snapshot.conf);
      put_bytes(out, m.install_snapshot.data.base, m.install_snapshot.data.len);
      break;
    default: break;
  }
  return out;
}

std::optional<raft_message> decode_message(const std::string& body) {
  Reader in(body);
  raft_message m{};
  m.type = static_cast<unsigned short>(in.number(1));
  if (m.type < RAFT_IO_APPEND_ENTRIES || m.type > RAFT_IO_TIMEOUT_NOW) return std::nullopt;
  for (auto* number : numbers_of(m)) *number = in.number(8);
  bool sound = true;
  switch (m.type) {
    case RAFT_IO_REQUEST_VOTE:
      m.request_vote.disrupt_leader = in.number(1) != 0;
      m.request_vote.pre_vote = in.number(1) != 0;
      break;
    case RAFT_IO_REQUEST_VOTE_RESULT: {
      m.request_vote_result.vote_granted = in.number(1) != 0;
      const auto pre = in.number(1);
      sound = pre <= raft_tribool_false;
      m.request_vote_result.pre_vote = sound ? static_cast<raft_tribool>(pre) : raft_tribool_unknown;
      break;
    }
    case RAFT_IO_APPEND_ENTRIES: sound = read_entries(in, m.append_entries); break;
    case RAFT_IO_INSTALL_SNAPSHOT: {
      raft_configuration_init(&m.install_snapshot.conf);
      sound = read_servers(in, m.install_snapshot.conf);
      const std::string_view data = in.bytes();
      if (!sound || !in.sound()) break;
      m.install_snapshot.data.len = data.size();
      m.install_snapshot.data.base = raft_malloc(data.empty() ? 1 : data.size());
      if (!data.empty()) std::memcpy(m.install_snapshot.data.base, data.data(), data.size());
      break;
    }
    default: break;
  }
  if (sound && in.ended()) return m;
  give_back(m);
  return std::nullopt;
}

void give_back(raft_message& m) {
  if (m.type == RAFT_IO_APPEND_ENTRIES) {
    if (m.append_entries.n_entries > 0) raft_free(m.append_entries.entries[0].batch);
    raft_free(m.append_entries.entries);
    m.append_entries.entries = nullptr;
    m.append_entries.n_entries = 0;
  }
  if (m.type == RAFT_IO_INSTALL_SNAPSHOT) {
    raft_configuration_close(&m.install_snapshot.conf);
    raft_free(m.install_snapshot.data.base);
    m.install_snapshot.data.base = nullptr;
  }
}

}  // namespace lotusyard::raft
