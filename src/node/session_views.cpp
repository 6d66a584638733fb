#include "node/session_views.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace lotusyard::node {
namespace {

using nlohmann::json;

void merge(works::View& into, const works::View& view) {
  for (const auto& [host, cost] : view.cost) into.cost[host] += cost;
  into.down.insert(view.down.begin(), view.down.end());
  into.reborn.insert(view.reborn.begin(), view.reborn.end());
  into.served.insert(view.served.begin(), view.served.end());
  into.asked += view.asked;
  into.lost += view.lost;
  // The bounds on how many hosts may be out go by whoever sees fewest.
  if (view.listed > 0) into.listed = into.listed > 0 ? std::min(into.listed, view.listed) : view.listed;
}

}  // namespace

std::string SessionViews::encode(const std::string& invoker, const works::View& view) {
  const works::Beat beat{invoker, 0, 0, 0, {}, view};
  return works::worded_beat(beat).dump(-1, ' ', false, json::error_handler_t::replace);
}

bool SessionViews::take(SessionId session, const std::string& word) {
  const json read = json::parse(word, nullptr, false);
  if (!read.is_object()) return false;
  auto beat = works::read_beat(read);
  if (!beat || !beat->view) return false;
  const works::View& view = *beat->view;
  const std::size_t largest =
      std::max({view.cost.size(), view.down.size(), view.reborn.size(), view.served.size()});
  if (largest > hosts_most) return false;
  views_[session] = std::move(*beat->view);
  return true;
}

void SessionViews::retain(const std::function<bool(SessionId)>& known) {
  for (auto view = views_.begin(); view != views_.end();) {
    view = known(view->first) ? std::next(view) : views_.erase(view);
  }
}

works::View SessionViews::merged(works::View own) const {
  for (const auto& [session, view] : views_) merge(own, view);
  return own;
}

}  // namespace lotusyard::node
