// AMQP 0-9-1: frames, method arguments, content headers and tables.
#include "amqp/methods.h"
#include "amqp/wire.h"
#include "golden/golden_file.h"

namespace lotusyard::golden {
namespace {

using namespace amqp;

std::string reencode_frame(const std::string& bytes) {
  FrameParser parser;
  std::vector<Frame> out;
  if (!parser.parse(bytes, out) || out.size() != 1)
    throw std::runtime_error("not exactly one complete frame");
  return frame(out.front().type, out.front().channel, out.front().payload);
}

std::string reencode_header(const std::string& bytes) {
  const auto read = decoded(read_content_header(bytes));
  return content_header(read.first, read.second);
}

std::string reencode_table(const std::string& bytes) {
  Reader reader(bytes);
  const Table table = reader.table();
  if (!reader.ok())
    throw std::runtime_error("the table can't be decoded");
  return Writer().table(table).bytes();
}

const Table kTable = {{"class", std::string("bin-check")},
                      {"memory_mb", std::int64_t{300}},
                      {"negative", std::int64_t{-5}},
                      {"large", std::int64_t{1} << 40},
                      {"ratio", 0.625},
                      {"yes", true},
                      {"no", false},
                      {"nothing", std::monostate()}};

Properties all_properties() {
  Properties out;
  out.content_type = "application/json";
  out.content_encoding = "identity";
  out.correlation_id = "c-1";
  out.reply_to = "answers";
  out.expiration = "1500";
  out.message_id = "call-1";
  out.type = "call";
  out.user_id = "user";
  out.app_id = "tablet";
  out.delivery_mode = 2;
  out.priority = 5;
  out.timestamp = 1700000000;
  out.headers = kTable;
  return out;
}

Properties some_properties() {
  Properties out;
  out.correlation_id = "c-2";
  out.delivery_mode = 2;
  return out;
}

std::string method_frame(std::uint32_t id, const Writer& arguments) {
  const std::string head = Writer().u16(id >> 16).u16(id & 0xffff).bytes();
  return frame(FrameType::method, 1, head + arguments.bytes());
}

}  // namespace

GoldenFile amqp_golden() {
  const Writer numbers = Writer().u8(0x12).u16(0x1234).u32(0x12345678).u64(0x123456789abcdef0);
  const Writer texts = Writer().short_text("short").long_text("long").short_text(std::string(300, 's'));
  const std::string ack = method_frame(method::basic_ack, Writer().u64(77).u8(0));
  const std::string publish =
      method_frame(method::basic_publish, Writer().u16(0).short_text("").short_text("answers").u8(0));
  return {
      "amqp",
      {{"frame heartbeat", frame(FrameType::heartbeat, 0, ""), reencode_frame},
       {"frame body", frame(FrameType::body, 7, std::string("bo\0dy", 5)), reencode_frame},
       {"frame header", frame(FrameType::header, 1, content_header(5, some_properties())), reencode_frame},
       {"frame ack", ack, reencode_frame},
       {"frame publish", publish, reencode_frame},
       {"numbers", numbers.bytes(), {}},
       {"texts", texts.bytes(), {}},
       {"table", Writer().table(kTable).bytes(), reencode_table},
       {"table empty", Writer().table({}).bytes(), reencode_table},
       {"content header full", content_header(1ULL << 33, all_properties()), reencode_header},
       {"content header some", content_header(5, some_properties()), reencode_header},
       {"content header least", content_header(0, {}), reencode_header}}};
}

}  // namespace lotusyard::golden
