#include "resp/front.h"

#include <algorithm>
#include <cmath>

#include "net/fields.h"

namespace lotusyard::resp {
namespace {

using net::field;

constexpr std::uint64_t kLongestAllow = 3600 * 1000;
constexpr std::size_t kAcceptsATurn = 64;

}  // namespace

class Front::Client final : public net::Stream {
 public:
  Client(Front& front, net::Socket socket)
      : Stream(front.loop_, front.pool_, std::move(socket), false), front_(front) {}
  std::unordered_map<std::string, core::CallId> open_calls;
  std::list<std::shared_ptr<Client>>::iterator place;

 private:
  Front& front_;
  Parser parser_;

  void received(std::string_view bytes) override {
    std::vector<Words> commands;
    const bool sound = parser_.take(bytes, commands);
    front_.clients_.splice(front_.clients_.end(), front_.clients_, place);
    for (auto& words : commands) {
      if (ending()) return;  // what came behind a fault is not begun
      front_.take(*this, std::move(words));
    }
    if (sound) return;
    front_.counters_.add("resp.malformed");
    end_later();
  }
  void ended() override { front_.gone(*this); }
};

Front::Front(net::Loop& loop, net::BufferPool& pool, core::Dispatcher& dispatcher, core::Counters& counters,
             std::set<std::string> classes, Limits limits)
    : loop_(loop),
      pool_(pool),
      dispatcher_(dispatcher),
      counters_(counters),
      classes_(std::move(classes)),
      limits_(limits) {}

Front::~Front() { stop_listening(); }

bool Front::listen(const std::string& address) {
  listener_ = net::listen_on(address);
  if (listener_) loop_.watch(listener_.fd(), *this, POLLIN);
  return static_cast<bool>(listener_);
}

void Front::stop_listening() {
  if (!listener_) return;
  loop_.forget(listener_.fd(), *this);
  listener_.close();
}

bool Front::written() const {
  return std::all_of(clients_.begin(), clients_.end(), [](const auto& c) { return c->outbox().empty(); });
}

// Keeps to the bound: the client longest unheard with no call open makes the place.
bool Front::make_room() {
  if (clients_.size() <= limits_.clients) return true;
  const auto idle = std::find_if(clients_.begin(), std::prev(clients_.end()),
                                 [](const auto& c) { return c->open_calls.empty() && c->outbox().empty(); });
  if (idle == std::prev(clients_.end())) return false;
  counters_.add("resp.idle_closed");
  const std::shared_ptr<Client> kept = *idle;
  kept->end_later();
  kept->flush();
  return true;
}

void Front::ready(short) {
  for (std::size_t i = 0; i < kAcceptsATurn; ++i) {
    bool exhausted = false;
    net::Socket socket = net::accept_from(listener_, &exhausted);
    if (exhausted) {
      counters_.add("resp.no_descriptor");
      return pause_listening();
    }
    if (!socket) return;
    counters_.add("resp.connections");
    clients_.push_back(std::make_shared<Client>(*this, std::move(socket)));
    clients_.back()->place = std::prev(clients_.end());
    if (make_room()) continue;
    return pause_listening();
  }
}

// Danger: a listener that stays readable would spin the loop. It is looked at again once a client has gone.
void Front::pause_listening() {
  full_ = true;
  loop_.forget(listener_.fd(), *this);
}

void Front::take(Client& client, Words&& words) {
  const auto tag = words.size() < 2 ? std::nullopt : net::parse_whole(words[1], UINT64_MAX);
  if (!tag || *tag == 0) {
    counters_.add("resp.no_tag");  // there is nothing to answer under
    return client.end_later();
  }
  if (words[0] == "CALL") return call(client, std::move(words));
  if (words[0] == "CANCEL") {
    counters_.add("resp.cancels");
    const auto found = client.open_calls.find(words[1]);
    if (found == client.open_calls.end()) return;  // its answer has crossed
    const core::CallId id = found->second;
    unfile(id);
    return dispatcher_.leave(id);
  }
  std::string out;
  if (words[0] == "CHECK") {
    write_array(out, {words[1], draining_ ? "DOWN" : "UP"});
  } else {
    counters_.add("resp.unknown_verb");
    write_array(out, {words[1], "FAILED"});
  }
  client.write(out);
}

void Front::call(Client& client, Words&& words) {
  const std::string tag = words[1];
  if (client.open_calls.count(tag) != 0) {
    counters_.add("resp.tag_repeated");  // two answers under one tag could not be told apart
    return client.end_later();
  }
  const auto reject = [&](const char* why, core::Verdict verdict = core::Verdict::failed) {
    counters_.add(why);
    say(client, tag, verdict, core::Millis(0), {});
  };
  if (client.open_calls.size() >= limits_.calls_a_client) {
    return reject("resp.too_many_open", core::Verdict::refused);
  }
  if (words.size() < 4 || words.size() > 5) return reject("resp.bad_call");
  const auto fields = net::parse_fields(words[3]);
  if (!fields) return reject("resp.bad_fields");
  const auto ref = net::parse_hex16(field(*fields, "ref")),
             function = net::parse_hex16(field(*fields, "lookup"));
  const auto allow = net::parse_whole(field(*fields, "allow"), kLongestAllow);
  const auto spec = net::parse_fields(field(*fields, "spec"), ';', ':');
  if (!ref || !function || !allow || *allow == 0 || !spec) return reject("resp.bad_fields");
  if (classes_.count(words[2]) == 0) return reject("resp.unknown_class");
  const std::size_t size = words.size() > 4 ? words[4].size() : 0;
  // Bounds memory: a client of any number of connections may hold only so much of it.
  if (bodies_ + size > limits_.body_bytes) return reject("resp.no_memory", core::Verdict::refused);

  core::Call call;
  call.ref = field(*fields, "ref");
  call.class_name = words[2];
  call.tenant = field(*fields, "project");
  call.function_name = field(*fields, "lookup");
  call.function = *function;
  call.effort = net::parse_number(field(*fields, "effort"));
  call.retry = field(*fields, "dup") == "1";
  call.memory_mb = net::parse_number(field(*spec, "memory_mb")).value_or(0);
  call.lanes = static_cast<int>(net::parse_whole(field(*spec, "lanes"), 1024).value_or(1));
  call.arrived = loop_.turn_began();  // time spent on what was read before it comes off
  call.allow = core::Millis(static_cast<double>(*allow));
  if (size > 0) call.body = std::move(words[4]);

  const core::CallId id = dispatcher_.next_id();
  by_call_[id] = {&client, tag, size};
  client.open_calls[tag] = id;
  bodies_ += size;
  if (!dispatcher_.take(id, std::move(call), *this)) {
    unfile(id);
    reject("resp.ref_open");
  }
}

void Front::say(Client& client, const std::string& tag, core::Verdict verdict, core::Millis cooldown,
                std::string_view body) {
  std::string out;
  if (verdict == core::Verdict::served) {
    write_array(out, {tag, "OK", "", body});
  } else {
    const char* const name = verdict == core::Verdict::refused ? "BUSY" : "FAILED";
    const auto wait = static_cast<std::int64_t>(std::ceil(std::max(cooldown.count(), 0.0)));
    if (wait > 0) {
      write_array(out, {tag, name, "cooldown=" + std::to_string(wait)});
    } else {
      write_array(out, {tag, name});
    }
  }
  client.write(out);
}

void Front::answer(core::CallId call, core::Answer&& answer) {
  const auto found = by_call_.find(call);
  if (found == by_call_.end()) return;  // cancelled, or its client has gone
  const Filed filed = found->second;
  unfile(call);
  say(*filed.client, filed.tag, answer.verdict, answer.cooldown, answer.body);
}

void Front::unfile(core::CallId call) {
  const auto found = by_call_.find(call);
  if (found == by_call_.end()) return;
  bodies_ -= found->second.body_bytes;
  found->second.client->open_calls.erase(found->second.tag);
  by_call_.erase(found);
}

void Front::gone(Client& client) {
  const std::shared_ptr<Client> kept = *client.place;
  clients_.erase(client.place);
  std::vector<core::CallId> left;
  for (const auto& [tag, id] : client.open_calls) left.push_back(id);
  std::sort(left.begin(), left.end());
  for (const auto id : left) unfile(id);
  for (const auto id : left) dispatcher_.leave(id);
  loop_.bury(kept);
  if (full_ && listener_) {
    full_ = false;
    loop_.watch(listener_.fd(), *this, POLLIN);
  }
}

}  // namespace lotusyard::resp
