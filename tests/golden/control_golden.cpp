// Session frames of every kind between invokers and control nodes, and the changes that they contain.
#include "control/change.h"
#include "control/message_codec.h"
#include "golden/golden_file.h"

namespace lotusyard::golden {
namespace {

using namespace control;

std::string reencode_frame(const std::string& bytes) {
  MessageReader reader(kMaxFrameBytesToInvoker);
  std::vector<Message> out;
  if (!reader.parse(bytes, out) || out.size() != 1)
    throw std::runtime_error("not exactly one complete frame");
  return encode(out.front());
}

std::string reencode_change(const std::string& bytes) { return encode_change(decoded(decode_change(bytes))); }

const std::vector<NodeAddress> kNodes = {{"node-a", "127.0.0.1:7400", "zone-a", "region-1"},
                                         {"node-b", "127.0.0.1:7401", "", ""}};

Open sample_open() {
  Open out;
  out.cluster = "yard-1";
  out.invoker = "invoker-1";
  out.zone = "zone-a";
  out.incarnation = 0x1122334455667788;
  out.position = 42;
  out.terms = {Millis(3000.5), 0.0125, Millis(2000), Millis(7200000)};
  return out;
}

void add_refusals(std::vector<Sample>& out) {
  for (int reason = 1; reason <= static_cast<int>(RefusalReason::draining); ++reason) {
    const auto typed = static_cast<RefusalReason>(reason);
    const Refusal refusal{typed, Millis(250.25), kNodes};
    out.push_back({"refusal " + std::string(name_of(typed)), encode(refusal), reencode_frame});
  }
}

}  // namespace

GoldenFile control_golden() {
  GoldenFile out{"control", {}};
  const auto add = [&out](const std::string& name, const Message& message) {
    out.samples.push_back({name, encode(message), reencode_frame});
  };
  add("open", sample_open());
  add("welcome", Welcome{"node-a", 1ULL << 60, kNodes});
  add("welcome alone", Welcome{"node-a", 1, {}});
  add_refusals(out.samples);
  add("renew", Renew{7, 41, 40});
  add("grant", Grant{7, Millis(2250.125), 0.333333333333333});
  add("grant without share", Grant{8, Millis(0), std::nullopt});
  add("snapshot chunk", SnapshotChunk{42, 32768, 65536, std::string("piece\0\xff\n", 8)});
  add("delta", Delta{41, 42, encode_change({{"key", "value"}, {"removed", std::nullopt}})});
  add("resume", Resume{41});
  add("close", Close{});
  add("forward", Forward{"works", R"({"m":"invoker-1"})"});
  const Change change = {{"key", "value"}, {"empty", ""}, {"removed", std::nullopt}};
  out.samples.push_back({"change", encode_change(change), reencode_change});
  out.samples.push_back({"change empty", encode_change({}), reencode_change});
  return out;
}

}  // namespace lotusyard::golden
