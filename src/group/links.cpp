#include "group/links.h"

#include <algorithm>
#include <vector>

namespace lotusyard::group {
namespace {

using robinfold::Millis;

constexpr robinfold::Millis kAcceptPause{100};
constexpr std::size_t kBlocks = 1024;   // of 16 KB: what may wait on all links
constexpr Millis kAgain{100};           // between two connections to one address
constexpr Millis kHeardPace{200};       // how often a link's other end says that something has come
constexpr Millis kUnheardMost{1500};    // and after so long without that the link counts as cut
constexpr Millis kHelloMost{3000};      // whoever connects says who it is by then
constexpr std::size_t kNotedMost = 64;  // different reasons that are written down

}  // namespace

class Links::Out final : public net::Stream {
 public:
  Out(Links& links, std::string key, net::Socket socket)
      : Stream(links.loop_, links.pool_, std::move(socket), true), links_(links), key_(std::move(key)) {}

  // Danger: a link that is cut without a word takes all that is sent, and nothing of it arrives.
  bool unheard() {
    const Millis now = loop().now();
    if (waits_since_.count() == 0) waits_since_ = now;
    return now - waits_since_ > kUnheardMost;
  }

 private:
  Links& links_;
  std::string key_;
  FrameParser parser_;
  Millis waits_since_{0};  // for a sign that what was sent has come; 0: for none
  void received(std::string_view bytes) override {
    waits_since_ = Millis(0);
    std::vector<Frame> frames;
    const bool sound = parser_.take(bytes, frames);
    for (const auto& frame : frames) {
      if (frame.kind != Frame::Kind::refusal) continue;
      links_.counters_.add("group.turned_away");
      links_.note_once("turned away by " + key_ + ": " + frame.body.substr(0, 200));
      return end_later();
    }
    if (!sound) end_later();
  }
  void ended() override {
    links_.counters_.add("group.links_ended");
    links_.not_before_[key_] = loop().now() + kAgain;
    const auto found = links_.out_.find(key_);
    if (found == links_.out_.end() || found->second.get() != this) return;
    loop().bury(found->second);
    links_.out_.erase(found);
  }
};

class Links::In final : public net::Stream {
 public:
  In(Links& links, net::Socket socket)
      : Stream(links.loop_, links.pool_, std::move(socket), false), links_(links) {
    said_by_ = loop().at(loop().now() + kHelloMost, [this] {
      if (hello_) return;
      links_.counters_.add("group.no_hello");
      end_later();
    });
  }
  ~In() override {
    loop().cancel(said_by_);
    loop().cancel(says_at_);
  }
  std::list<std::shared_ptr<In>>::iterator place;

 private:
  Links& links_;
  FrameParser parser_;
  std::optional<Hello> hello_;
  net::Loop::TimerId said_by_{};
  Millis said_at_{0};
  bool says_ = false;
  net::Loop::TimerId says_at_{};

  void received(std::string_view bytes) override {
    std::vector<Frame> frames;
    const bool sound = parser_.take(bytes, frames);
    for (auto& frame : frames) {
      if (ending()) return;
      if (!hello_) {
        if (!greet(frame)) return;
        continue;
      }
      const bool known = frame.kind == Frame::Kind::consensus || frame.kind == Frame::Kind::word ||
                         frame.kind == Frame::Kind::view;
      if (!known) return spoilt();
      links_.receive_(*hello_, std::move(frame));
    }
    if (!sound) return spoilt();
    if (!hello_ || ending() || std::exchange(says_, true)) return;
    says_at_ = loop().at(std::max(loop().now(), said_at_ + kHeardPace), [this] { say_heard(); });
  }
  void say_heard() {
    says_ = false;
    said_at_ = loop().now();
    write(framed(Frame::Kind::heard, {}));
  }
  void spoilt() {
    links_.counters_.add("group.malformed");
    end_later();
  }
  bool greet(const Frame& frame) {
    const auto hello = frame.kind == Frame::Kind::hello ? read_hello(frame.body) : std::nullopt;
    if (!hello) {
      spoilt();
      return false;
    }
    if (const char* fault = links_.fault_of(*hello)) {
      links_.counters_.add("group.refused");
      links_.note_once("member " + hello->member + " is turned away: " + fault);
      write(framed(Frame::Kind::refusal, fault));
      finish_later();
      return false;
    }
    hello_ = hello;
    return true;
  }
  void ended() override {
    loop().bury(*place);
    links_.in_.erase(place);
  }
};

Links::Links(net::Loop& loop, core::Counters& counters, Hello mine, Receive receive, Note note)
    : loop_(loop),
      counters_(counters),
      mine_(std::move(mine)),
      receive_(std::move(receive)),
      note_(std::move(note)),
      pool_(kBlocks) {}

Links::~Links() { close(); }

void Links::close() {
  loop_.cancel(accept_timer_);
  if (listener_) loop_.forget(listener_.fd(), *this);
  listener_.close();
  out_.clear();
  in_.clear();
}

bool Links::listen(const std::string& address) {
  listener_ = net::listen_on(address);
  if (listener_) watch_listener();
  return static_cast<bool>(listener_);
}

void Links::watch_listener() { loop_.watch(listener_.fd(), *this, POLLIN, net::Loop::Rank::urgent); }

// The listener stays readable while its connections cannot be taken: watched on, the loop would never rest.
void Links::pause_accepting() {
  counters_.add("group.no_descriptor");
  loop_.forget(listener_.fd(), *this);
  accept_timer_ = loop_.at(loop_.now() + kAcceptPause, [this] { watch_listener(); });
}

void Links::ready(short) {
  for (;;) {
    net::AcceptResult accepted = net::accept_from(listener_);
    net::count_accept_errors(loop_, accepted);
    if (accepted.status == net::AcceptStatus::out_of_resources) return pause_accepting();
    if (!accepted.socket) return;
    if (in_.size() >= incoming_most) {
      counters_.add("group.too_many_links");
      continue;
    }
    in_.push_back(std::make_shared<In>(*this, std::move(accepted.socket)));
    in_.back()->place = std::prev(in_.end());
  }
}

const char* Links::fault_of(const Hello& h) const {
  if (h.version != mine_.version) return "another version of the protocol";
  if (h.cluster != mine_.cluster) return "another group";
  if (h.to != 0 && mine_.from != 0 && h.to != mine_.from) return "this is another member than the one meant";
  if (h.from != 0 && h.from == mine_.from) return "this member's own id";
  if (h.lease != mine_.lease || h.drift != mine_.drift || h.last_call != mine_.last_call)
    return "another lease, drift or longest limit of a call";
  return nullptr;
}

void Links::is_now(std::uint64_t id) {
  mine_.from = id;
  for (auto& [key, link] : out_) link->end_later();  // what they said at first holds no more
}

void Links::note_once(const std::string& line) {
  if (noted_.size() < kNotedMost && noted_.insert(line).second) note_(line);
}

bool Links::send(std::uint64_t to, const std::string& address, Frame::Kind kind, const std::string& body) {
  if (body.size() > longest_frame) {
    counters_.add("group.too_long");
    return false;
  }
  // One link for each id that an address has had: what is meant for one is not for the next.
  const std::string key = address + '/' + std::to_string(to);
  auto found = out_.find(key);
  if (found != out_.end() && found->second->ending()) return false;
  if (found == out_.end()) {
    const auto waits = not_before_.find(key);
    if (waits != not_before_.end() && loop_.now() < waits->second) return false;
    net::ConnectResult connection = net::connect_to(address);
    net::count_connect_error(loop_, connection);
    if (!connection) return false;
    counters_.add("group.links_opened");
    not_before_.erase(key);
    found = out_.emplace(key, std::make_shared<Out>(*this, key, std::move(connection.socket))).first;
    Hello hello = mine_;
    hello.to = to;
    found->second->write(framed(Frame::Kind::hello, worded(hello)));
  }
  Out& link = *found->second;
  if (link.unheard()) {
    counters_.add("group.unheard_links");
    link.end_later();
    return false;
  }
  if (link.outbox().appended() - link.outbox().written() > unsent_most) {
    counters_.add("group.left_out");  // it reads nothing; what it misses comes again
    return false;
  }
  link.write(framed(kind, body));
  counters_.add("group.sent");
  return !link.ending();
}

}  // namespace lotusyard::group
