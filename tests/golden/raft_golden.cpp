// Connections between group members: frames, the handshake, consensus messages of every kind, and the tagged
// entries and snapshots of several replicated state machines in one log.
#include "golden/golden_file.h"
#include "raft/frame.h"
#include "raft/message_codec.h"
#include "raft/replicated_state_machine.h"

namespace lotusyard::golden {
namespace {

using namespace raft;

std::string reencode_frame(const std::string& bytes) {
  FrameParser parser;
  std::vector<Frame> out;
  if (!parser.parse(bytes, out) || out.size() != 1)
    throw std::runtime_error("not exactly one complete frame");
  return encode_frame(out.front().kind, out.front().body);
}

std::string reencode_hello(const std::string& bytes) { return encode_hello(decoded(decode_hello(bytes))); }

std::string reencode_consensus(const std::string& bytes) {
  raft_message message = decoded(decode_message(bytes));
  const std::string out = encode_message(message);
  free_message(message);
  return out;
}

std::string reencode_snapshots(const std::string& bytes) {
  return encode_snapshots(decoded(decode_snapshots(bytes)));
}

std::string reencode_tagged(const std::string& bytes) {
  const auto [kind, text] = untag_entry(bytes);
  return tag_entry(kind, text);
}

std::string vote_request() {
  raft_message m{};
  m.type = RAFT_IO_REQUEST_VOTE;
  m.request_vote.term = 0x0102030405060708;
  m.request_vote.candidate_id = 2;
  m.request_vote.last_log_index = 300;
  m.request_vote.last_log_term = 4;
  m.request_vote.disrupt_leader = true;
  m.request_vote.pre_vote = false;
  return encode_message(m);
}

std::string vote_result(raft_tribool pre_vote) {
  raft_message m{};
  m.type = RAFT_IO_REQUEST_VOTE_RESULT;
  m.request_vote_result.term = 5;
  m.request_vote_result.vote_granted = true;
  m.request_vote_result.pre_vote = pre_vote;
  return encode_message(m);
}

std::string append_entries(bool heartbeat) {
  std::string command = "works\n{\"t\":\"ask\"}", change("\0\x01\xff", 3);
  raft_entry entries[3] = {};
  entries[0].term = 4;
  entries[0].type = RAFT_COMMAND;
  entries[0].buf = {command.data(), command.size()};
  entries[1].term = 5;
  entries[1].type = RAFT_BARRIER;
  entries[2].term = 5;
  entries[2].type = RAFT_CHANGE;
  entries[2].buf = {change.data(), change.size()};
  raft_message m{};
  m.type = RAFT_IO_APPEND_ENTRIES;
  m.append_entries.term = 5;
  m.append_entries.prev_log_index = 299;
  m.append_entries.prev_log_term = 4;
  m.append_entries.leader_commit = 298;
  m.append_entries.entries = heartbeat ? nullptr : entries;
  m.append_entries.n_entries = heartbeat ? 0 : 3;
  return encode_message(m);
}

std::string append_result() {
  raft_message m{};
  m.type = RAFT_IO_APPEND_ENTRIES_RESULT;
  m.append_entries_result.term = 5;
  m.append_entries_result.rejected = 299;
  m.append_entries_result.last_log_index = 290;
  return encode_message(m);
}

std::string install_snapshot() {
  std::string data = encode_snapshots({{"works", "{}"}});
  raft_message m{};
  m.type = RAFT_IO_INSTALL_SNAPSHOT;
  m.install_snapshot.term = 5;
  m.install_snapshot.last_index = 256;
  m.install_snapshot.last_term = 4;
  m.install_snapshot.conf_index = 1;
  raft_configuration_init(&m.install_snapshot.conf);
  raft_configuration_add(&m.install_snapshot.conf, 1, "127.0.0.1:7200", RAFT_VOTER);
  raft_configuration_add(&m.install_snapshot.conf, 2, "127.0.0.1:7201", RAFT_STANDBY);
  m.install_snapshot.data = {data.data(), data.size()};
  std::string out = encode_message(m);
  raft_configuration_close(&m.install_snapshot.conf);
  return out;
}

std::string timeout_now() {
  raft_message m{};
  m.type = RAFT_IO_TIMEOUT_NOW;
  m.timeout_now.term = 5;
  m.timeout_now.last_log_index = 300;
  m.timeout_now.last_log_term = 5;
  return encode_message(m);
}

void add_frames(std::vector<Sample>& out) {
  const std::vector<std::pair<std::string, Frame::Kind>> kinds = {
      {"hello", Frame::Kind::hello},    {"consensus", Frame::Kind::consensus},
      {"word", Frame::Kind::message},   {"refusal", Frame::Kind::refusal},
      {"heard", Frame::Kind::received}, {"view", Frame::Kind::gossip}};
  for (const auto& [name, kind] : kinds)
    out.push_back({"frame " + name, encode_frame(kind, "body of " + name), reencode_frame});
  out.push_back({"frame empty", encode_frame(Frame::Kind::received, ""), reencode_frame});
}

}  // namespace

GoldenFile raft_golden() {
  GoldenFile out{"raft", {}};
  add_frames(out.samples);
  const Hello hello{kProtocolVersion, "yard-1", "member-1", 1ULL << 60, 2, 3000.5, 0.0125, 2000};
  const std::vector<Sample> more = {
      {"hello", encode_hello(hello), reencode_hello},
      {"hello before ids are known", encode_hello(Hello{kProtocolVersion, "yard-1", "m", 0, 0, 1, 0, 1}),
       reencode_hello},
      {"vote request", vote_request(), reencode_consensus},
      {"vote result unknown", vote_result(raft_tribool_unknown), reencode_consensus},
      {"vote result pre-vote", vote_result(raft_tribool_true), reencode_consensus},
      {"vote result vote", vote_result(raft_tribool_false), reencode_consensus},
      {"append entries", append_entries(false), reencode_consensus},
      {"append entries none", append_entries(true), reencode_consensus},
      {"append result", append_result(), reencode_consensus},
      {"install snapshot", install_snapshot(), reencode_consensus},
      {"timeout now", timeout_now(), reencode_consensus},
      {"tagged entry", tag_entry("compliance", R"({"t":"regime"})"), reencode_tagged},
      {"snapshots of all", encode_snapshots({{"works", "{}"}, {"compliance", "{\"a\":1}"}}),
       reencode_snapshots}};
  out.samples.insert(out.samples.end(), more.begin(), more.end());
  return out;
}

}  // namespace lotusyard::golden
