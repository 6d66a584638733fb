#include "resp/front.h"

#include <algorithm>
#include <cmath>
#include <unordered_set>

#include "net/fields.h"

namespace lotusyard::resp {
namespace {

using net::field;

constexpr std::uint64_t kLongestAllow = 3600 * 1000;
constexpr std::size_t kAcceptsATurn = 64;
// From connecting, or a request's first byte, to its last. Some clients write one over 2 s and more; whoever
// sends none is owed an end within 3 s.
constexpr core::Millis kWholeMost{2800};
constexpr core::Millis kPause{50};       // with no descriptor to be had
constexpr std::size_t kFaultsMost = 64;  // calls of one connection that were turned away unread

}  // namespace

class Front::Client final : public net::Stream {
 public:
  Client(Front& front, net::Socket socket)
      : Stream(front.loop_, front.pool_, std::move(socket), false), front_(front) {
    expect_whole();
  }
  ~Client() override { loop().cancel(whole_by_); }
  std::unordered_map<std::string, core::CallId> open_calls;
  Clients::iterator place;
  bool asked = false;                  // stands among the clients, else among the newcomers
  bool spoilt = false;                 // nothing more is read from it
  std::size_t faults = 0, pieces = 0;  // pieces: that came before its first request was whole

  std::uint64_t unread() const { return ending() ? 0 : outbox().appended() - outbox().written(); }
  bool idle() const { return open_calls.empty() && outbox().empty(); }
  bool at_rest() const { return asked && idle() && !parser_.begun() && !ending(); }

 private:
  Front& front_;
  Parser parser_;
  net::Loop::TimerId whole_by_{};
  bool begun_ = true;  // a newcomer owes its first request from the start

  // Danger: half a request, or none, would hold a descriptor for good.
  void expect_whole() {
    whole_by_ = loop().at(loop().now() + kWholeMost,
                          [this] { front_.spoil(*this, asked ? "resp.half_request" : "resp.no_request"); });
  }
  void received(std::string_view bytes) override {
    if (spoilt) return;
    std::vector<Words> commands;
    const bool sound = parser_.take(bytes, commands);
    if (!commands.empty() && !front_.promote(*this)) return front_.turn_away(*this, commands);
    if (!asked) front_.heard(*this);
    // A timer a begun request: the next one's time starts with its own first byte.
    if (begun_ && (!commands.empty() || !parser_.begun())) loop().cancel(whole_by_);
    if (parser_.begun() && (!begun_ || !commands.empty())) expect_whole();
    begun_ = parser_.begun() || !asked;
    leave_out_taken_back(commands);
    for (auto& words : commands) {
      if (ending() || spoilt) return;  // what came behind a fault is not begun
      front_.take(*this, std::move(words));
    }
    if (!sound) front_.spoil(*this, "resp.malformed");
  }
  // Danger: hundreds of calls that are taken back in the bytes they came in would each cost a host something.
  void leave_out_taken_back(std::vector<Words>& commands) {
    std::unordered_set<std::string> cancelled;
    const auto taken_back = [&](const Words& words) {
      if (words.size() < 2) return false;
      if (words[0] == "CANCEL") cancelled.insert(words[1]);
      return words[0] == "CALL" && open_calls.count(words[1]) == 0 && cancelled.count(words[1]) != 0;
    };
    const auto kept = std::remove_if(commands.rbegin(), commands.rend(), taken_back);
    if (kept == commands.rend()) return;
    front_.counters_.add("resp.taken_back", static_cast<std::uint64_t>(commands.rend() - kept));
    commands.erase(commands.begin(), kept.base());
  }
  void ended() override {
    loop().cancel(whole_by_);
    front_.gone(*this);
  }
};

Front::Front(net::Loop& loop, net::BufferPool& pool, core::Dispatcher& dispatcher, core::Counters& counters,
             Limits limits)
    : loop_(loop), pool_(pool), dispatcher_(dispatcher), counters_(counters), limits_(limits) {}

Front::~Front() {
  loop_.cancel(resume_);
  close_listener();
}

bool Front::listen(const std::string& address) {
  listen(net::listen_on(address));
  inherited_ = false;
  return listening();
}

void Front::listen(net::Socket listener) {
  listener_ = std::move(listener);
  inherited_ = true;
  if (listener_) loop_.watch(listener_.fd(), *this, POLLIN);
}

void Front::take_no_more() {
  // Danger: calls that are held for long keep their connection from its end; what comes meanwhile is refused.
  if (std::exchange(takes_, false)) give_up(core::Dispatcher::Which::held);
}

void Front::answer_all() {
  takes_ = false;
  give_up(core::Dispatcher::Which::all);
}

void Front::give_up(core::Dispatcher::Which which) {
  dispatcher_.give_up(which, [this](core::CallId id) { return by_call_.count(id) != 0; });
}

bool Front::read_what_came() {
  bool came = false;
  for (const auto* list : {&clients_, &silent_, &begun_}) {
    for (const auto& client : std::vector<std::shared_ptr<Client>>(list->begin(), list->end())) {
      if (client->ending() || client->peer() == net::Peer::quiet) continue;
      came = true;
      client->ready(POLLIN);
    }
  }
  return came;
}

bool Front::hand_over() {
  stop_listening();
  for (const auto& client : std::vector<std::shared_ptr<Client>>(clients_.begin(), clients_.end())) {
    if (!client->at_rest()) continue;
    client->ready(POLLIN);  // a request that has come by now is served
    if (client->at_rest()) client->finish_later();
  }
  return clients_.empty() && silent_.empty() && begun_.empty();
}

void Front::stop_listening() {
  if (!listener_) return;
  // Danger: whoever has connected and not been accepted, and what they have sent, would be reset by the
  // close.
  while (!inherited_ && accept_some()) {}
  close_listener();
}

void Front::close_listener() {
  if (!listener_) return;
  loop_.forget(listener_.fd(), *this);
  listener_.close();
}

bool Front::written() const {
  return std::all_of(clients_.begin(), clients_.end(), [](const auto& c) { return c->outbox().empty(); });
}

void Front::shed(const std::shared_ptr<Client>& client, const char* why) {
  const std::shared_ptr<Client> kept = client;
  counters_.add(why);
  kept->end_later();
  kept->flush();
}

// A whole request has come: the connection takes a place among the clients, of the one longest unheard with
// no call open if need be. False if there is none: then it ends, with nothing sent on for it.
bool Front::promote(Client& client) {
  clients_.splice(clients_.end(), list_of(client), client.place);
  client.asked = true;
  if (clients_.size() <= limits_.clients) return true;
  const auto self = std::prev(clients_.end());
  // Danger: a request that has come and was not read yet would be lost with its connection.
  const auto at_rest = [](const auto& c) { return c->idle() && c->peer() != net::Peer::spoke; };
  const auto idle = std::find_if(clients_.begin(), self, at_rest);
  if (idle != self) {
    shed(*idle, "resp.idle_closed");
    return true;
  }
  counters_.add("resp.no_place");
  return false;
}

// What it has asked is refused, and the connection ends: none of it was sent on.
void Front::turn_away(Client& client, const std::vector<Words>& commands) {
  for (const auto& words : commands) {
    if (words.size() > 1 && words[0] == "CALL")
      say(client, words[1], core::Verdict::refused, core::Millis(0), {});
  }
  client.flush_now();
  // Danger: closed at the turn's end, as many as are accepted in a turn would stand beside those that have a
  // place.
  client.end_later();
  client.flush();
}

// What comes over it is worth nothing from here on. Danger: calls that came before are owed their answers: it
// ends when they have them.
void Front::spoil(Client& client, const char* why) {
  counters_.add(why);
  client.spoilt = true;
  client.faults = kFaultsMost + 1;
  if (client.idle()) return client.end_later();
  close_if_spent(client);
}

Front::Clients& Front::list_of(const Client& client) {
  return client.asked ? clients_ : client.pieces > 0 ? begun_ : silent_;
}

void Front::heard(Client& client) {
  begun_.splice(begun_.end(), list_of(client), client.place);
  ++client.pieces;
}

// Danger: connections by thousands that say nothing, or stop half-way through a request. Of the larger crowd
// the one longest unheard goes, unless its request has come by now; those that send a request piece by piece
// go last.
void Front::bound_newcomers() {
  if (silent_.size() + begun_.size() <= limits_.newcomers) return;
  Clients& crowd = silent_.size() >= begun_.size() ? silent_ : begun_;
  const auto stopped = std::find_if(crowd.begin(), crowd.end(), [](const auto& c) { return c->pieces < 2; });
  const std::shared_ptr<Client> oldest = stopped != crowd.end() ? *stopped : crowd.front();
  oldest->ready(POLLIN);
  if (!oldest->asked && !oldest->ending()) shed(oldest, "resp.silent_closed");
}

void Front::ready(short) { accept_some(); }

// False if nobody waits any more.
bool Front::accept_some() {
  for (std::size_t i = 0; i < kAcceptsATurn; ++i) {
    bool exhausted = false;
    net::Socket socket = net::accept_from(listener_, &exhausted);
    if (exhausted) {
      counters_.add("resp.no_descriptor");
      pause_listening();
      return false;
    }
    if (!socket) return false;
    counters_.add("resp.connections");
    silent_.push_back(std::make_shared<Client>(*this, std::move(socket)));
    silent_.back()->place = std::prev(silent_.end());
    bound_newcomers();
  }
  return true;
}

// Danger: a listener that stays readable would spin the loop. It is looked at again once a client has gone,
// and before long in any case: it may be others that held the descriptors.
void Front::pause_listening() {
  paused_ = true;
  loop_.forget(listener_.fd(), *this);
  loop_.cancel(resume_);
  resume_ = loop_.at(loop_.now() + kPause, [this] { resume_listening(); });
}

void Front::resume_listening() {
  loop_.cancel(resume_);
  if (std::exchange(paused_, false) && listener_) loop_.watch(listener_.fd(), *this, POLLIN);
}

void Front::take(Client& client, Words&& words) {
  const auto tag = words.size() < 2 ? std::nullopt : net::parse_whole(words[1], UINT64_MAX);
  if (!tag || *tag == 0) {
    return spoil(client, "resp.no_tag");  // there is nothing to answer under
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
    return spoil(client, "resp.tag_repeated");  // two answers under one tag could not be told apart
  }
  if (!takes_) {
    counters_.add("resp.handed_over");
    return say(client, tag, core::Verdict::refused, core::Millis(0), {});
  }
  if (client.open_calls.size() >= limits_.calls_a_client) {
    return reject(client, tag, "resp.too_many_open", core::Verdict::refused);
  }
  if (words.size() < 4 || words.size() > 5) return reject(client, tag, "resp.bad_call");
  const auto fields = net::parse_fields(words[3]);
  if (!fields) return reject(client, tag, "resp.bad_fields");
  const auto ref = net::parse_hex16(field(*fields, "ref")),
             function = net::parse_hex16(field(*fields, "lookup"));
  const auto allow = net::parse_whole(field(*fields, "allow"), kLongestAllow);
  const auto spec = net::parse_fields(field(*fields, "spec"), ';', ':');
  if (!ref || !function || !allow || !spec) return reject(client, tag, "resp.bad_fields");
  // A figure that is there can be read; the core knows which ones can be used.
  const auto effort = net::parse_number(field(*fields, "effort")),
             memory = net::parse_number(field(*spec, "memory_mb"));
  const auto lanes = net::parse_whole(field(*spec, "lanes"), INT32_MAX);
  if ((!effort && fields->count("effort") != 0) || (!memory && spec->count("memory_mb") != 0) ||
      (!lanes && spec->count("lanes") != 0)) {
    return reject(client, tag, "resp.bad_fields");
  }
  // A retry is marked by 1 and by nothing else.
  const bool retry = fields->count("dup") != 0;
  if (retry && field(*fields, "dup") != "1") return reject(client, tag, "resp.bad_fields");
  const std::size_t size = words.size() > 4 ? words[4].size() : 0;
  // Bounds memory: a client of any number of connections may hold only so much of it.
  if (bodies_ + size > limits_.body_bytes) {
    return reject(client, tag, "resp.no_memory", core::Verdict::refused);
  }

  core::Call call;
  call.ref = field(*fields, "ref");
  call.class_name = words[2];
  call.tenant = field(*fields, "project");
  call.function_name = field(*fields, "lookup");
  call.function = *function;
  call.effort = effort;
  call.retry = retry;
  call.key = field(*fields, "replay");
  call.memory_mb = memory.value_or(0);
  call.lanes = static_cast<int>(lanes.value_or(1));
  call.arrived = loop_.turn_began();  // time spent on what was read before it comes off
  call.allow = core::Millis(static_cast<double>(*allow));
  if (size > 0) call.body = std::move(words[4]);

  const core::CallId id = dispatcher_.next_id();
  by_call_[id] = {&client, tag, size};
  client.open_calls[tag] = id;
  bodies_ += size;
  if (!dispatcher_.take(id, std::move(call), *this)) {
    unfile(id);
    reject(client, tag, "resp.not_taken");
  }
}

// Danger: a client that sends the same again as soon as it is turned away would do so for ever.
void Front::reject(Client& client, const std::string& tag, const char* why, core::Verdict verdict) {
  counters_.add(why);
  say(client, tag, verdict, core::Millis(0), {});
  ++client.faults;
  close_if_spent(client);
}

// Not before its sound calls have their answers: they are owed them whatever else came.
void Front::close_if_spent(Client& client) {
  if (client.faults <= kFaultsMost || !client.open_calls.empty() || client.ending()) return;
  counters_.add("resp.faults_closed");
  client.finish_later();
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
  make_room(out.size());
  client.write(out);
  // Guards the pool against a client that does not read.
  if (client.unread() <= limits_.unread_bytes) return;
  counters_.add("resp.unread_closed");
  client.end_later();
}

// Danger: with no buffer left whoever is written to next would be cut off, and not whoever does not read.
void Front::make_room(std::size_t bytes) {
  while (pool_.left() < bytes + net::BufferPool::block_size) {
    const auto less = [](const auto& a, const auto& b) { return a->unread() < b->unread(); };
    const auto most = std::max_element(clients_.begin(), clients_.end(), less);
    if (most == clients_.end() || (*most)->unread() < net::BufferPool::block_size) return;
    shed(*most, "resp.unread_closed");
  }
}

void Front::answer(core::CallId call, core::Answer&& answer) {
  const auto found = by_call_.find(call);
  if (found == by_call_.end()) return;  // cancelled, or its client has gone
  const Filed filed = found->second;
  unfile(call);
  say(*filed.client, filed.tag, answer.verdict, answer.cooldown, answer.body);
  close_if_spent(*filed.client);
}

core::Front::Caller Front::caller(core::CallId call) {
  const auto found = by_call_.find(call);
  if (found == by_call_.end()) return Caller::gone;
  Client& client = *found->second.client;
  switch (client.peer()) {
    case net::Peer::quiet: return Caller::waits;
    case net::Peer::spoke: return Caller::spoke;
    case net::Peer::gone: break;
  }
  client.end_later();
  return Caller::gone;
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
  list_of(client).erase(client.place);
  std::vector<core::CallId> left;
  for (const auto& [tag, id] : client.open_calls) left.push_back(id);
  std::sort(left.begin(), left.end());
  for (const auto id : left) unfile(id);
  for (const auto id : left) dispatcher_.leave(id);
  loop_.bury(kept);
  if (paused_) resume_listening();
}

}  // namespace lotusyard::resp
