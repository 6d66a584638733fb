// One connection to a host: what is out on it, what it says, and how it ends.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>

#include "hosts/fleet.h"
#include "hosts/line_parser.h"

namespace lotusyard::hosts {

// Until it is up its messages stand in `waiting_`, where a drop can still take them back.
class Fleet::Link final : public net::Stream {
 public:
  Link(Fleet& fleet, std::string host, net::Socket socket);
  ~Link() override;

  const std::string& host() const { return host_; }
  std::size_t load() const { return attempts_.size() + asked_.size(); }
  std::size_t held() const { return held_; }  // bytes of an answer that is not whole yet
  bool takes(const std::string& ref) const;
  void exec(const core::Attempt& attempt, const core::Call& call, Millis patience);
  bool drop(const core::Attempt& attempt);
  void order(const std::string& tag, std::uint64_t function, int copies);
  void probe(const std::string& tag);
  void say(const std::string& tag, const std::string& line);
  // The host is told draining or gone, or started anew: nothing new goes here; what has not gone out never
  // will.
  void retire(bool unsent_too);

 private:
  struct Sent {
    core::Attempt attempt;
    Millis at{0};
    std::uint64_t end = 0;  // offset behind its last byte
    bool put = false;       // its bytes stand in the outbox or went out
    std::uint64_t function = 0;
  };
  struct Waiting {
    std::string ref, fields, body;  // fields: without its patience, which counts from when it goes out
    Millis until{0};
  };
  struct Asked {
    enum class Kind { order, probe, sign };  // sign: whether anything comes over this link at all
    Kind kind = Kind::order;
    std::uint64_t function = 0;
    Millis at{0};
    std::uint64_t end = 0;
    bool put = false;
    net::Loop::TimerId timer{};
  };
  Fleet& fleet_;
  std::string host_;
  LineParser parser_;
  std::map<std::string, Sent> attempts_;  // by ref
  std::map<std::string, Asked> asked_;    // by tag
  std::deque<Waiting> waiting_;
  std::deque<std::pair<std::string, std::string>> said_;
  std::unordered_map<std::string, bool> past_;  // refs whose attempt here has ended: answered, or dropped
  std::deque<std::pair<Millis, std::string>> past_order_;
  Millis heard_{0}, sent_{0}, begun_{0}, sign_asked_{0};
  std::size_t held_ = 0;
  int signs_ = 0;  // asked for since the last answer of an attempt
  bool retired_ = false, suspect_ = false, checking_ = false;
  net::Loop::TimerId timer_{}, stuck_{}, check_{};

  void past(const std::string& ref, bool answered);
  void ask(const std::string& tag, Asked::Kind kind, std::uint64_t function, const std::string& line);
  void expect();
  void check();
  void put(const std::string& ref, const std::string& fields, const std::string& body, Millis patience,
           Sent& sent);
  void put_line(const std::string& tag, const std::string& line);
  void connect_late();
  void rest();
  void order_late(const std::string& tag);
  void end_asked(const Asked& asked, core::Outcome outcome, int copies, core::Report report);
  bool take(Reply&& reply);
  void connected() override;
  void received(std::string_view bytes) override;
  void ended() override;
};

}  // namespace lotusyard::hosts
