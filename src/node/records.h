// The records that invokers without a place in the log are given: hosts and works of the board, regimes,
// tenants and certificates of the book, and back again.
#pragma once

#include <optional>

#include "compliance/book.h"
#include "control/change.h"
#include "control/message.h"
#include "works/board.h"

namespace lotusyard::node {

control::Records records_of(const works::Board& board, const compliance::Book& book);

// Nothing: the records are of another version of the program.
std::optional<works::Board> board_of(const control::Records& records, control::Index index,
                                     works::Millis now);
std::optional<compliance::Book> book_of(const control::Records& records, control::Index index);

}  // namespace lotusyard::node
