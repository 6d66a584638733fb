// Which host is next, and when it may be touched: what the member that leads proposes, out of what all have
// agreed upon and of its own clock. No I/O; the time is passed in. What it proposes holds once it is agreed
// upon, and only where the board's own rules allow it.
#pragma once

#include "group/lease.h"
#include "works/board.h"

namespace lotusyard::works {

class Order {
 public:
  explicit Order(group::Terms terms) : terms_(terms) {}

  // The one entry that is due now; nothing: all is as it should be, or waits. To be called again once what it
  // gave is agreed upon or lost.
  std::optional<Entry> next(const Board& board, Millis now);
  // Why a work does not go on, as of the last `next`.
  const std::map<std::string, std::string>& waits() const { return waits_; }

 private:
  group::Terms terms_;
  std::map<std::string, std::string> waits_;
  double usual_lost_ = 0;  // share of calls that is lost, as it is usually
  Millis usual_at_{0};

  bool settled(const Board::Member& m, const std::string& host, std::uint64_t round, Millis now) const;
  bool tells(const Board::Member& m, Millis now) const;
  std::optional<Entry> touch(const Board& board, Millis now);
  std::optional<Entry> returns(const Board& board, Millis now) const;
  std::optional<Entry> name(const Board& board) const;
  std::optional<Entry> take(const Board& board, const Work& work, Millis now);
  std::string obstacle(const Board& board, const Work& work, Millis now) const;
  double lost_share(const Board& board, Millis now) const;
  std::optional<double> cost(const Board& board, const std::string& host, Millis now) const;
};

}  // namespace lotusyard::works
