#include "compliance/enforcer.h"

#include <utility>

namespace lotusyard::compliance {
namespace {

constexpr Millis kClockError{1000};  // by so much a machine's clock may be wrong

}  // namespace

Enforcer::Enforcer(const Wiring& wiring, const Book& book, Knows knows, Note note)
    : wiring_(wiring), book_(book), knows_(std::move(knows)), note_(std::move(note)) {}

// What was decided while this process knew must not go out after it.
void Enforcer::update() {
  const bool knows = knows_();
  const bool ended = std::exchange(knew_, knows) && !knows;
  if (!ended || book_.empty()) return;
  note_("lease over: nothing regulated goes out");
  for (const auto& [name, certificate] : book_.certificates()) wiring_.fleet.cut(certificate.host);
}

Verdict Enforcer::may(const std::string& tenant, const std::string& host) const {
  const auto listed = wiring_.membership.listed(host);
  Place place{host, {}, -1};
  if (listed) place = {host, listed->entry.zone, listed->entry.started.count()};
  // After a step of the wall clock a certificate holds only if it does by the settings before and after it.
  const auto wall = wiring_.loop.wall();
  const Millis middle = (wall.earliest + wall.latest) / 2, doubt = (wall.latest - wall.earliest) / 2;
  return book_.may(tenant, place, knows_(), middle, kClockError + doubt);
}

bool Enforcer::considers(const std::string& tenant, std::uint64_t function, const std::string& host) {
  if (book_.empty()) return true;
  if (tenant_of_.size() >= functions_most) tenant_of_.clear();  // the one place where it shrinks
  tenant_of_[function] = tenant;
  return may(tenant, host).may;
}

bool Enforcer::last_check(const std::string& tenant, const std::string& host) const {
  const Verdict verdict = may(tenant, host);
  if (verdict.may) return true;
  wiring_.counters.add(std::string("compliance.stopped.") + verdict.reason);
  note_("stopped tenant=" + tenant + " regime=" + verdict.regime + " host=" + host +
        " reason=" + verdict.reason);
  return false;
}

// Danger: between the module's choice and the kernel a lease may have ended, or a revocation have come.
bool Enforcer::may_send(const std::string& host, const core::Call* call, std::uint64_t function) const {
  if (book_.empty()) return true;
  if (call != nullptr) return last_check(call->tenant, host);
  if (function == 0) return true;  // it only asks
  const auto found = tenant_of_.find(function);
  return found != tenant_of_.end() && last_check(found->second, host);
}

void Enforcer::refused(const core::Call& call) const {
  if (book_.empty()) return;
  Verdict verdict;
  for (const auto& [host, member] : wiring_.membership.hosts()) {
    verdict = may(call.tenant, host);
    if (verdict.may) return;  // not refused by these rules
  }
  if (verdict.may) return;
  wiring_.counters.add(std::string("compliance.refused.") + verdict.reason);
  note_("refused tenant=" + call.tenant + " regime=" + verdict.regime + " reason=" + verdict.reason);
}

}  // namespace lotusyard::compliance
