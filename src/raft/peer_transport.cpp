#include "raft/peer_transport.h"

#include <algorithm>
#include <vector>

namespace lotusyard::raft {
namespace {

using policy::Millis;

constexpr policy::Millis kAcceptPause{100};
constexpr std::size_t kBlocks = 1024;   // of 16 KB: what may wait on all links
constexpr Millis kAgain{100};           // between two connections to one address
constexpr Millis kHeardPace{200};       // how often a link's other end says that something has come
constexpr Millis kUnheardMost{1500};    // and after so long without that the link counts as cut
constexpr Millis kHelloMost{3000};      // whoever connects says who it is by then
constexpr std::size_t kNotedMost = 64;  // different reasons that are written down

}  // namespace

class PeerTransport::OutgoingConnection final : public net::BufferedConnection {
 public:
  OutgoingConnection(PeerTransport& links, std::string key, net::Socket socket)
      : BufferedConnection(links.loop_, links.pool_, std::move(socket), true),
        links_(links),
        key_(std::move(key)) {}

  // Danger: a link that is cut without a word takes all that is sent, and nothing of it arrives.
  bool unheard() {
    const Millis now = loop().now();
    if (waits_since_.count() == 0) waits_since_ = now;
    return now - waits_since_ > kUnheardMost;
  }

 private:
  PeerTransport& links_;
  std::string key_;
  FrameParser parser_;
  Millis waits_since_{0};  // for a sign that what was sent has come; 0: for none
  void on_received(std::string_view bytes) override {
    waits_since_ = Millis(0);
    std::vector<Frame> frames;
    const bool sound = parser_.take(bytes, frames);
    for (const auto& frame : frames) {
      if (frame.kind != Frame::Kind::refusal) continue;
      links_.counters_.add("group.turned_away");
      links_.log_once("turned away by " + key_ + ": " + frame.body.substr(0, 200));
      return close_later();
    }
    if (!sound) close_later();
  }
  void on_closed() override {
    links_.counters_.add("group.links_ended");
    links_.reconnect_not_before_[key_] = loop().now() + kAgain;
    const auto found = links_.outgoing_.find(key_);
    if (found == links_.outgoing_.end() || found->second.get() != this) return;
    loop().delete_later(found->second);
    links_.outgoing_.erase(found);
  }
};

class PeerTransport::IncomingConnection final : public net::BufferedConnection {
 public:
  IncomingConnection(PeerTransport& links, net::Socket socket)
      : BufferedConnection(links.loop_, links.pool_, std::move(socket), false), links_(links) {
    said_by_ = loop().schedule_at(loop().now() + kHelloMost, [this] {
      if (hello_) return;
      links_.counters_.add("group.no_hello");
      close_later();
    });
  }
  ~IncomingConnection() override {
    loop().cancel(said_by_);
    loop().cancel(says_at_);
  }
  std::list<std::shared_ptr<IncomingConnection>>::iterator place;

 private:
  PeerTransport& links_;
  FrameParser parser_;
  std::optional<Hello> hello_;
  net::EventLoop::TimerId said_by_{};
  Millis said_at_{0};
  bool says_ = false;
  net::EventLoop::TimerId says_at_{};

  void on_received(std::string_view bytes) override {
    std::vector<Frame> frames;
    const bool sound = parser_.take(bytes, frames);
    for (auto& frame : frames) {
      if (is_closing()) return;
      if (!hello_) {
        if (!greet(frame)) return;
        continue;
      }
      const bool known = frame.kind == Frame::Kind::consensus || frame.kind == Frame::Kind::message ||
                         frame.kind == Frame::Kind::gossip;
      if (!known) return spoilt();
      links_.receive_(*hello_, std::move(frame));
    }
    if (!sound) return spoilt();
    if (!hello_ || is_closing() || std::exchange(says_, true)) return;
    says_at_ = loop().schedule_at(std::max(loop().now(), said_at_ + kHeardPace), [this] { say_heard(); });
  }
  void say_heard() {
    says_ = false;
    said_at_ = loop().now();
    write(encode_frame(Frame::Kind::received, {}));
  }
  void spoilt() {
    links_.counters_.add("group.malformed");
    close_later();
  }
  bool greet(const Frame& frame) {
    const auto hello = frame.kind == Frame::Kind::hello ? decode_hello(frame.body) : std::nullopt;
    if (!hello) {
      spoilt();
      return false;
    }
    if (const char* fault = links_.rejection_reason(*hello)) {
      links_.counters_.add("group.refused");
      links_.log_once("member " + hello->member + " is turned away: " + fault);
      write(encode_frame(Frame::Kind::refusal, fault));
      shutdown_after_flush();
      return false;
    }
    hello_ = hello;
    return true;
  }
  void on_closed() override {
    loop().delete_later(*place);
    links_.incoming_.erase(place);
  }
};

PeerTransport::PeerTransport(net::EventLoop& loop, core::Counters& counters, Hello mine, Receive receive,
                             LogSink note)
    : loop_(loop),
      counters_(counters),
      own_hello_(std::move(mine)),
      receive_(std::move(receive)),
      log_(std::move(note)),
      pool_(kBlocks) {}

PeerTransport::~PeerTransport() { close(); }

void PeerTransport::close() {
  loop_.cancel(accept_timer_);
  if (listener_) loop_.unregister(listener_.fd(), *this);
  listener_.close();
  outgoing_.clear();
  incoming_.clear();
}

bool PeerTransport::listen(const std::string& address) {
  listener_ = net::listen_on(address);
  if (listener_) watch_listener();
  return static_cast<bool>(listener_);
}

void PeerTransport::watch_listener() {
  loop_.register_handler(listener_.fd(), *this, POLLIN, net::EventLoop::Priority::urgent);
}

// The listener stays readable while its connections cannot be taken: watched on, the loop would never rest.
void PeerTransport::pause_accepting() {
  counters_.add("group.no_descriptor");
  loop_.unregister(listener_.fd(), *this);
  accept_timer_ = loop_.schedule_at(loop_.now() + kAcceptPause, [this] { watch_listener(); });
}

void PeerTransport::ready(short) {
  for (;;) {
    net::AcceptResult accepted = net::accept_from(listener_);
    net::count_accept_errors(loop_, accepted);
    if (accepted.status == net::AcceptStatus::out_of_resources) return pause_accepting();
    if (!accepted.socket) return;
    if (incoming_.size() >= max_incoming) {
      counters_.add("group.too_many_links");
      continue;
    }
    incoming_.push_back(std::make_shared<IncomingConnection>(*this, std::move(accepted.socket)));
    incoming_.back()->place = std::prev(incoming_.end());
  }
}

const char* PeerTransport::rejection_reason(const Hello& h) const {
  if (h.version != own_hello_.version) return "another version of the protocol";
  if (h.cluster != own_hello_.cluster) return "another group";
  if (h.to != 0 && own_hello_.from != 0 && h.to != own_hello_.from)
    return "this is another member than the one meant";
  if (h.from != 0 && h.from == own_hello_.from) return "this member's own id";
  if (h.lease != own_hello_.lease || h.drift != own_hello_.drift || h.last_call != own_hello_.last_call)
    return "another lease, drift or longest limit of a call";
  return nullptr;
}

void PeerTransport::set_own_id(std::uint64_t id) {
  own_hello_.from = id;
  for (auto& [key, link] : outgoing_) link->close_later();  // what they said at first holds no more
}

void PeerTransport::log_once(const std::string& line) {
  if (logged_.size() < kNotedMost && logged_.insert(line).second) log_(line);
}

bool PeerTransport::send(std::uint64_t to, const std::string& address, Frame::Kind kind,
                         const std::string& body) {
  if (body.size() > max_frame_bytes) {
    counters_.add("group.too_long");
    return false;
  }
  // One link for each id that an address has had: what is meant for one is not for the next.
  const std::string key = address + '/' + std::to_string(to);
  auto found = outgoing_.find(key);
  if (found != outgoing_.end() && found->second->is_closing()) return false;
  if (found == outgoing_.end()) {
    const auto waits = reconnect_not_before_.find(key);
    if (waits != reconnect_not_before_.end() && loop_.now() < waits->second) return false;
    net::ConnectResult connection = net::connect_to(address);
    net::count_connect_error(loop_, connection);
    if (!connection) return false;
    counters_.add("group.links_opened");
    reconnect_not_before_.erase(key);
    found =
        outgoing_.emplace(key, std::make_shared<OutgoingConnection>(*this, key, std::move(connection.socket)))
            .first;
    Hello hello = own_hello_;
    hello.to = to;
    found->second->write(encode_frame(Frame::Kind::hello, encode_hello(hello)));
  }
  OutgoingConnection& link = *found->second;
  if (link.unheard()) {
    counters_.add("group.unheard_links");
    link.close_later();
    return false;
  }
  if (link.send_queue().appended() - link.send_queue().written() > max_unsent_bytes) {
    counters_.add("group.left_out");  // it reads nothing; what it misses comes again
    return false;
  }
  link.write(encode_frame(kind, body));
  counters_.add("group.sent");
  return !link.is_closing();
}

}  // namespace lotusyard::raft
