// What the one member that leads does for works: it gathers signs of life and proposes what the order says.
#include "config/json_read.h"
#include "works/coordinator.h"
#include "works/gather.h"

namespace lotusyard::works {
namespace {

using nlohmann::json;
using Kind = Entry::Kind;

constexpr Millis kFlightMost{10000};  // a proposal that is not answered for so long is taken as lost

}  // namespace

void Coordinator::told(const std::string& word) {
  const json read = json::parse(word, nullptr, false);
  if (!read.is_object()) return wiring_.counters.add("works.malformed");
  if (const auto& b = config::key(read, "b"); !b.is_null()) {
    auto beat = read_beat(b);
    return beat ? told_beat(std::move(*beat)) : wiring_.counters.add("works.malformed");
  }
  const auto entry = read_entry(config::text(config::key(read, "e")));
  if (!entry) return wiring_.counters.add("works.malformed");
  if (!entry->proposal.empty() && board_.outcome(entry->proposal) != nullptr) return;
  if (entry->kind == Kind::join && entry->life <= board_.last_life(entry->member)) return;
  if (!member_->propose(*this, worded(*entry))) wiring_.counters.add("works.not_proposed");
}

void Coordinator::told_beat(Beat&& beat) {
  Beat& held = heard_[beat.member];
  // What was seen and is not in the log yet goes with the newer sign of life.
  if (!beat.view && held.view && held.life == beat.life) beat.view = std::move(held.view);
  held = std::move(beat);
}

bool Coordinator::leads() {
  if (!member_->leads()) return false;
  const std::uint64_t term = member_->term();
  if (led_term_ == term) return true;
  if (readying_term_ == term) return false;
  readying_term_ = term;
  heard_.clear();
  in_flight_ = false;
  Entry ask;
  const bool asked = member_->propose(*this, worded(ask), [this, term](bool done) {
    if (!done) return;
    led_term_ = term;
    note_("leads");
  });
  if (!asked) readying_term_ = 0;
  return false;
}

void Coordinator::propose(const Entry& entry) {
  flown_at_ = now();
  in_flight_ = member_->propose(*this, worded(entry), [this, term = member_->term()](bool) {
    if (term == led_term_) in_flight_ = false;
  });
}

void Coordinator::turn() {
  turns_ = wiring_.loop.at(now() + config_.terms.beat() / 2, [this] { turn(); });
  if (failed_ || !leads()) return;
  if (in_flight_ && now() - flown_at_ < kFlightMost) return;
  const auto next = order_.next(board_, now());
  json waits = order_.waits();
  const std::string told = waits.dump();
  if (!heard_.empty() || told != waits_) {
    const Gathered gathered = gather(std::exchange(heard_, {}), told);
    waits_ = told;
    wiring_.counters.add("works.too_long", gathered.left_out);
    for (const Entry& beats : gathered.entries) member_->propose(*this, worded(beats));
  }
  if (next) propose(*next);
}

}  // namespace lotusyard::works
