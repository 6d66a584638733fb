// Actions of the decision module, as commands on the simulator's wire.
#include <initializer_list>

#include "wire.h"

namespace lotusyard::simulator_adapter {
namespace {

using nlohmann::json;

json with(const char* name, std::initializer_list<json> values) {
  json row = json::array({name});
  for (const auto& value : values)
    row.push_back(value);
  return row;
}

struct Writer {
  json operator()(const action::Send& a) const { return with("Assign", {a.id, a.host, a.time_out.count()}); }
  json operator()(const action::Load& a) const { return with("Load", {a.host, a.function, a.copies}); }
  json operator()(const action::Unload& a) const { return with("Unmount", {a.host, a.function}); }
  json operator()(const action::Reject& a) const {
    return with("OverloadReply", {a.id, a.retry_after.count()});
  }
  json operator()(const action::Fail& a) const { return with("EndFailed", {a.id}); }
  json operator()(const action::Cancel& a) const { return with("Recall", {a.id, a.attempt}); }
  json operator()(const action::Probe& a) const { return with("Touch", {a.host}); }
  json operator()(const action::SendToPeers& a) const {
    return with("Publish", {a.to ? json(*a.to) : json("*"), a.text});
  }
  json operator()(const action::SetTimer& a) const { return with("Timer", {a.after.count(), a.token}); }
  json operator()(const action::Watch& a) const { return with("Subscribe", {a.on}); }
  json operator()(const action::Log& a) const { return with("Record", {a.text}); }
};

}  // namespace

json write_action(const Action& action) { return std::visit(Writer{}, action); }

}  // namespace lotusyard::simulator_adapter
