#include "control/node_server.h"

#include <algorithm>

#include "metrics/control_counters.h"
#include "net/buffered_connection.h"

namespace lotusyard::control {
namespace {

constexpr Millis kTickPeriod{1000};
constexpr Millis kCheckPeriod{250};  // of looking for links that are silent or stalled
constexpr Millis kAcceptPause{100};  // when the process has no descriptor left
constexpr std::size_t kLargestFrame = longest_to_invoker + 16;
constexpr std::size_t kAnswers = 256U << 10;  // answers that may wait on one link, beside chunks and deltas

}  // namespace

class NodeServer::Link final : public net::BufferedConnection {
 public:
  Link(NodeServer& server, LinkId id, net::Socket socket)
      : BufferedConnection(server.loop_, server.pool_, std::move(socket), false),
        server_(server),
        id_(id),
        accepted_(loop().now()),
        heard_(accepted_),
        progressed_(accepted_) {}

  // Answers to renewals go out without a question for room: a peer that asks on and reads nothing ends.
  void send(const std::string& frame) {
    if (unsent() + frame.size() > server_.limits_.unsent + kLargestFrame + kAnswers) {
      if (!is_closing())
        give_up(metrics::kControlOverflowedLinks);
      return;
    }
    write(frame);
  }
  // If there is none, the node is asked for more when this link has sent all that it had. A link that had
  // nothing, while others took up the whole pool, sends its next grant then.
  bool has_room() {
    refill_wanted_ = !room();
    return !refill_wanted_;
  }
  void refill() {
    if (std::exchange(refill_wanted_, false) && !is_closing())
      server_.node_.writable(id_);
  }
  void finish() {
    told_node_ = true;
    shutdown_after_flush();
  }
  void check(Millis now) {
    if (stalled(now))
      return give_up(metrics::kControlStalledLinks);
    if (is_closing())
      return;
    if (!open_ && now - accepted_ > server_.limits_.open_within)
      return give_up(metrics::kControlNoOpen);
    if (open_ && now - heard_ > server_.silent_after_)
      return give_up(metrics::kControlSilentLinks);
  }

 private:
  NodeServer& server_;
  const LinkId id_;
  MessageReader reader_{longest_to_node};
  Millis accepted_, heard_, progressed_;
  std::uint64_t written_ = 0;  // when it last progressed
  bool open_ = false;          // an Open has come
  bool refill_wanted_ = false;
  bool told_node_ = false;  // the node ended it itself

  std::uint64_t unsent() const { return send_queue().appended() - send_queue().written(); }
  bool room() const {
    return !is_closing() && unsent() < server_.limits_.unsent &&
           server_.pool_.bytes_available() >= kLargestFrame;
  }
  bool stalled(Millis now) {
    if (send_queue().empty() || send_queue().written() != written_) {
      written_ = send_queue().written();
      progressed_ = now;
    }
    return now - progressed_ > server_.limits_.stalled_after;
  }
  void give_up(const metrics::Counter& counter) {
    server_.counters_.add(counter);
    close_later();
  }
  void on_received(std::string_view bytes) override {
    if (is_closing())
      return;
    std::vector<Message> messages;
    const bool sound = reader_.parse(bytes, messages);
    for (auto& message : messages) {
      heard_ = loop().now();
      if (std::holds_alternative<Open>(message))
        open_ = true;
      server_.node_.received(id_, std::move(message), heard_);
      if (is_closing())
        return;
    }
    if (!sound)
      server_.node_.malformed(id_);
  }
  void before_write() override {
    if (refill_wanted_)
      server_.refill_later(id_);
  }
  void on_closed() override {
    if (!told_node_)
      server_.node_.ended(id_);
    const auto found = server_.links_.find(id_);
    loop().delete_later(found->second);
    server_.links_.erase(found);
  }
};

NodeServer::NodeServer(net::EventLoop& loop, metrics::Counters& counters, ControlNode::Config config,
                       Limits limits)
    : loop_(loop),
      counters_(counters),
      limits_(limits),
      most_links_(config.sessions.sessions + limits.spare_links),
      silent_after_(config.terms.lease * limits.silent_leases),
      pool_(limits.pooled / net::BufferPool::block_size),
      node_(std::move(config), *this, counters, loop.now()) {
  check_links();
  tick();
}

NodeServer::~NodeServer() {
  for (const auto& timer : {accept_timer_, check_timer_, refill_timer_, tick_timer_})
    loop_.cancel(timer);
  if (listener_)
    loop_.unregister(listener_.fd(), *this);
}

bool NodeServer::listen(const std::string& address) {
  listener_ = net::listen_on(address);
  if (listener_)
    watch_listener();
  return static_cast<bool>(listener_);
}

void NodeServer::watch_listener() { loop_.register_handler(listener_.fd(), *this, POLLIN); }

void NodeServer::ready(short) {
  net::AcceptStatus status = net::AcceptStatus::accepted;
  while (status == net::AcceptStatus::accepted) {
    net::AcceptResult accepted = net::accept_from(listener_);
    net::count_accept_errors(loop_, accepted);
    status = accepted.status;
    if (accepted.socket)
      accept(std::move(accepted.socket));
  }
  if (status == net::AcceptStatus::out_of_resources)
    pause_accepting();
}

void NodeServer::accept(net::Socket socket) {
  if (links_.size() >= most_links_) {
    counters_.add(metrics::kControlTooManyLinks);
    return;
  }
  const LinkId id = ++last_id_;
  links_.emplace(id, std::make_shared<Link>(*this, id, std::move(socket)));
  node_.opened(id);
}

// The listener stays readable while its connections cannot be taken: watched on, the loop would never rest.
void NodeServer::pause_accepting() {
  counters_.add(metrics::kControlNoDescriptor);
  loop_.unregister(listener_.fd(), *this);
  accept_timer_ = loop_.schedule_at(loop_.now() + kAcceptPause, [this] { watch_listener(); });
}

void NodeServer::check_links() {
  const Millis now = loop_.now();
  for (const auto& [id, link] : links_)
    link->check(now);
  check_timer_ = loop_.schedule_at(now + kCheckPeriod, [this] { check_links(); });
}

void NodeServer::tick() {
  const Millis now = loop_.now();
  node_.tick(now);
  tick_timer_ = loop_.schedule_at(now + kTickPeriod, [this] { tick(); });
}

// In the next turn: a peer that reads as fast as this node writes must not keep the others waiting.
void NodeServer::refill_later(LinkId link) {
  if (refills_.empty())
    refill_timer_ = loop_.schedule_at(loop_.now(), [this] { refill(); });
  refills_.push_back(link);
}

void NodeServer::refill() {
  const std::vector<LinkId> links = std::exchange(refills_, {});
  for (const LinkId id : links) {
    if (Link* link = find(id))
      link->refill();
  }
}

NodeServer::Link* NodeServer::find(LinkId link) const {
  const auto found = links_.find(link);
  return found == links_.end() ? nullptr : found->second.get();
}

void NodeServer::send(LinkId link, const std::string& frame) {
  if (Link* to = find(link))
    to->send(frame);
}

bool NodeServer::has_room(LinkId link) const {
  Link* to = find(link);
  return to != nullptr && to->has_room();
}

void NodeServer::end(LinkId link) {
  if (Link* to = find(link))
    to->finish();
}

}  // namespace lotusyard::control
