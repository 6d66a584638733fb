// The records that control nodes replicate to invokers, and what invokers report to them.
#include "golden_part.h"
#include "maintenance_samples.h"
#include "node/records.h"
#include "node/session_views.h"

namespace lotusyard::golden {
namespace {

constexpr control::Index kIndex = 30;

std::string reencode_records(const std::string& bytes) {
  return control::encode_records(decoded(control::decode_records(bytes)));
}

// By way of the states that an invoker makes of them.
std::string reencode_states(const std::string& bytes) {
  const control::Records records = decoded(control::decode_records(bytes));
  const auto jobs = node::board_of(records, kIndex, works::Millis(5000));
  const auto certificates = node::book_of(records, kIndex);
  return control::encode_records(node::records_of(decoded(jobs), decoded(certificates)));
}

std::string reencode_view(const std::string& bytes) {
  node::SessionViews views;
  if (!views.take(1, bytes)) throw std::runtime_error("the view can't be decoded");
  return node::SessionViews::encode("invoker-1", views.merged({}));
}

}  // namespace

Part records_part() {
  const control::Records records = node::records_of(sample_maintenance_state(), sample_compliance_state());
  const control::Records odd = {{"", ""}, {"key", std::string("\0\xff", 2)}};
  const works::View view = *sample_heartbeat().view;
  Part out{"records", {}};
  for (const auto& [key, value] : records) out.samples.push_back({"record " + key, value, {}});
  out.samples.push_back({"all records", control::encode_records(records), reencode_states});
  out.samples.push_back({"other records", control::encode_records(odd), reencode_records});
  out.samples.push_back({"invoker's view", node::SessionViews::encode("invoker-1", view), reencode_view});
  return out;
}

}  // namespace lotusyard::golden
