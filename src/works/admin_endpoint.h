// What operators ask about works, and what they may propose. No I/O.
#pragma once

#include <map>
#include <string>

#include "console/admin_endpoint.h"
#include "core/member.h"
#include "works/board.h"

namespace lotusyard::works {

nlohmann::json shown_works(const Board& board, const std::string& member);
nlohmann::json shown_outcome(const Board::Outcome& outcome);

struct Proposal {
  console::Said refused;       // holds where there is no entry
  std::optional<Entry> entry;  // for whoever leads
};
// An operator's wording, checked against the hosts that this member sees.
Proposal read_proposal(const std::string& wording, const std::map<std::string, core::Member>& listed);

}  // namespace lotusyard::works
