#include "scale/tier_checker.h"

namespace lotusyard::test {
namespace {

constexpr std::size_t kMaxViolations = 50;
constexpr std::size_t kViolationsShown = 3;
constexpr double kRounding = 0.01;  // milliseconds; durations travel in microseconds

}  // namespace

const char* name_of(TierChecker::Rule rule) {
  switch (rule) {
    case TierChecker::Rule::lease_behind_proof:
      return "lease_behind_proof";
    case TierChecker::Rule::settled_behind_proof:
      return "settled_behind_proof";
    case TierChecker::Rule::lease_outlasts_node:
      return "lease_outlasts_node";
    case TierChecker::Rule::records_differ:
      return "records_differ";
    case TierChecker::Rule::delta_skipped:
      return "delta_skipped";
    case TierChecker::Rule::left_behind:
      return "left_behind";
  }
  return "unknown";
}

void TierChecker::violate(Rule rule, double now, const HollowInvoker& invoker, const std::string& what) {
  if (violations_.size() >= kMaxViolations)
    return;
  violations_.push_back({rule, now,
                         "invoker " + std::to_string(invoker.endpoint.number) + " life " +
                             std::to_string(invoker.incarnation) + " at node " +
                             (invoker.up() ? invoker.session->node().name : "-") + ": " + what});
}

bool TierChecker::found(Rule rule) const {
  return std::any_of(violations_.begin(), violations_.end(),
                     [&](const Violation& violation) { return violation.rule == rule; });
}

std::string TierChecker::text() const {
  std::string out = std::to_string(violations_.size()) + " violations";
  for (std::size_t i = 0; i < std::min(violations_.size(), kViolationsShown); ++i)
    out += "\n  " + std::string(name_of(violations_[i].rule)) + " at " + std::to_string(violations_[i].at) +
           " ms: " + violations_[i].what;
  return out;
}

void TierChecker::on_move(const HollowInvoker& invoker, Index from, const HollowInvoker::Move& move,
                          double now) {
  ++moves_;
  const std::string step = std::to_string(from) + " -> " + std::to_string(move.position);
  if (move.position <= from)
    violate(Rule::records_differ, now, invoker, "not forward: " + step);
  if (move.position > fleet_.log().last())
    violate(Rule::records_differ, now, invoker, "ahead: " + step);
  if (!move.by_snapshot && fleet_.log().changes_between(from, move.position).size() != 1)
    violate(Rule::records_differ, now, invoker, "not one change: " + step);
  if (moves_ % compare_every_ != 0)
    return;
  const auto state = fleet_.log().state(move.position);
  if (state != nullptr && *state != invoker.replica->records())
    violate(Rule::records_differ, now, invoker, "other records after " + step);
}

void TierChecker::on_lease(const HollowInvoker& invoker, Millis, double now) {
  ++leases_;
  const double end = invoker.lease_end();
  if (end > invoker.node_lease_end + kRounding)
    violate(Rule::lease_outlasts_node, now, invoker,
            "by " + std::to_string(end - invoker.node_lease_end) + " ms");
  if (!invoker.holds_lease(now))
    return;
  const std::string detail = "lease taken at " + std::to_string(invoker.position) + ", proved ";
  if (invoker.position < fleet_.log().last_change(proof_.applied))
    violate(Rule::lease_behind_proof, now, invoker, detail + std::to_string(proof_.applied));
  if (invoker.position < fleet_.log().last_change(proof_.quiesced_index))
    violate(Rule::settled_behind_proof, now, invoker, detail + std::to_string(proof_.quiesced_index));
}

// Whether calls that started while the replica was below `needed` are in flight, or may still start.
bool TierChecker::has_calls_below(const HollowInvoker& invoker, Index needed, double now) const {
  const bool behind = invoker.up() && invoker.position < needed && invoker.lease_until.count() > 0;
  const double last_call = invoker.clock.true_duration(fleet_.options().terms.max_attempt_time);
  if (behind && invoker.lease_end() + last_call > now)
    return true;
  return std::any_of(invoker.calls.begin(), invoker.calls.end(), [&](const HollowInvoker::Calls& calls) {
    return calls.position < needed && calls.until > now;
  });
}

void TierChecker::on_proof(const Proof& proof, double now) {
  const Proof before = std::exchange(proof_, proof);
  const Index applied = fleet_.log().last_change(proof.applied);
  const Index quiesced_index = fleet_.log().last_change(proof.quiesced_index);
  const bool applied_rose = applied > fleet_.log().last_change(before.applied);
  const bool quiesced_rose = quiesced_index > fleet_.log().last_change(before.quiesced_index);
  if (!applied_rose && !quiesced_rose)
    return;
  for (const auto& invoker : fleet_.invokers()) {
    const std::string detail = "at " + std::to_string(invoker->position) + ", proved ";
    if (applied_rose && invoker->position < applied && invoker->holds_lease(now))
      violate(Rule::lease_behind_proof, now, *invoker, detail + std::to_string(proof.applied));
    if (quiesced_rose && has_calls_below(*invoker, quiesced_index, now))
      violate(Rule::settled_behind_proof, now, *invoker, detail + std::to_string(proof.quiesced_index));
  }
}

void TierChecker::expect_all_served(Index agreed, double now) {
  for (const auto& node : fleet_.nodes()) {
    if (node->skipped_deltas == 0)
      continue;
    const std::string skipped = "a node left out " + std::to_string(node->skipped_deltas) + " deltas";
    violations_.push_back({Rule::delta_skipped, now, skipped});
  }
  for (const auto& invoker : fleet_.invokers()) {
    if (!invoker->up())
      continue;
    const std::string detail = "at " + std::to_string(invoker->position);
    if (!invoker->holds_lease(now))
      violate(Rule::left_behind, now, *invoker, detail + " without a lease");
    if (invoker->position < fleet_.log().last_change(agreed))
      violate(Rule::left_behind, now, *invoker, detail + " of " + std::to_string(agreed));
  }
}

}  // namespace lotusyard::test
