// Shared parts of the review's cases: a record of events, child processes, and stand-ins for a host and for
// an AMQP 0-9-1 broker. Standard library and POSIX only. Everything listens on 127.0.0.1.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace rig {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

inline const Clock::time_point kStarted = Clock::now();

inline long elapsed_ms() { return std::chrono::duration_cast<milliseconds>(Clock::now() - kStarted).count(); }

inline void sleep_ms(long ms) { std::this_thread::sleep_for(milliseconds(ms)); }

// ---- the record ----

class Record {
 public:
  void open(const std::string& path) { file_.open(path, std::ios::trunc); }
  // `printed`: on standard output as well.
  void line(const std::string& text, bool printed) {
    const std::lock_guard<std::mutex> lock(mutex_);
    char time[32];
    std::snprintf(time, sizeof time, "%7ld ms  ", elapsed_ms());
    file_ << time << text << std::endl;
    if (printed)
      std::cout << time << text << std::endl;
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
};

inline Record& record() {
  static Record one;
  return one;
}
inline void note(const std::string& text) { record().line(text, true); }
inline void detail(const std::string& text) { record().line(text, false); }

// ---- processes ----

inline std::set<pid_t>& children() {
  static std::set<pid_t> pids;
  return pids;
}
inline std::mutex& children_mutex() {
  static std::mutex mutex;
  return mutex;
}

inline std::vector<std::string>& temporary_folders() {
  static std::vector<std::string> folders;
  return folders;
}

// Ends all processes that the test has started, removes its temporary folders, and ends the test.
[[noreturn]] inline void finish(int status) {
  {
    const std::lock_guard<std::mutex> lock(children_mutex());
    for (const pid_t pid : children()) {
      kill(pid, SIGCONT);
      kill(pid, SIGKILL);
      waitpid(pid, nullptr, 0);
    }
  }
  std::error_code ignored;
  for (const auto& folder : temporary_folders())
    std::filesystem::remove_all(folder, ignored);
  std::cout.flush();
  _exit(status);
}

[[noreturn]] inline void could_not_run(const std::string& why) {
  note("the case could not run: " + why);
  finish(kCouldNotRun);
}

inline void limit_duration(long seconds) {
  std::thread([seconds] {
    std::this_thread::sleep_for(std::chrono::seconds(seconds));
    could_not_run("out of time");
  }).detach();
}

class Process {
 public:
  Process(std::string name, std::string command, std::vector<std::string> environment, std::string log)
      : name_(std::move(name)),
        command_(std::move(command)),
        environment_(std::move(environment)),
        log_(std::move(log)) {}

  void start() {
    const std::lock_guard<std::mutex> lock(children_mutex());
    const pid_t parent = getpid();
    pid_ = fork();
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (getppid() != parent)
        _exit(127);
      const int out = ::open(log_.c_str(), O_RDWR | O_CREAT | O_APPEND, 0600);
      dup2(out, 1);
      dup2(out, 2);
      for (int fd = 3; fd < 1024; ++fd)
        ::close(fd);
      for (auto& variable : environment_)
        putenv(variable.data());
      execl("/bin/sh", "sh", "-c", command_.c_str(), static_cast<char*>(nullptr));
      _exit(127);
    }
    children().insert(pid_);
  }
  void signal(int number) const { ::kill(pid_, number); }
  void kill_now() {
    ::kill(pid_, SIGKILL);
    reap();
  }
  // Waits for the end; returns the wait status, or nothing if the process still runs after the time.
  std::optional<int> wait_end(long ms) {
    for (long waited = 0; waited <= ms; waited += 5) {
      int status = 0;
      if (waitpid(pid_, &status, WNOHANG) == pid_) {
        const std::lock_guard<std::mutex> lock(children_mutex());
        children().erase(pid_);
        return status;
      }
      sleep_ms(5);
    }
    return std::nullopt;
  }
  void reap() {
    waitpid(pid_, nullptr, 0);
    const std::lock_guard<std::mutex> lock(children_mutex());
    children().erase(pid_);
  }
  pid_t pid() const { return pid_; }
  const std::string& name() const { return name_; }

 private:
  std::string name_, command_;
  std::vector<std::string> environment_;
  std::string log_;
  pid_t pid_ = 0;
};

// ---- sockets ----

inline int listen_on_loopback(int& port, int backlog = 256) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int yes = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || listen(fd, backlog) != 0)
    could_not_run("cannot listen");
  socklen_t size = sizeof address;
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  port = ntohs(address.sin_port);
  return fd;
}

inline int free_port() {
  int port = 0;
  ::close(listen_on_loopback(port));
  return port;
}

inline bool send_all(int fd, const std::string& bytes) {
  std::size_t done = 0;
  while (done < bytes.size()) {
    const ssize_t sent = ::send(fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
    if (sent <= 0)
      return false;
    done += static_cast<std::size_t>(sent);
  }
  return true;
}

inline std::string make_temporary_folder() {
  const char* base = std::getenv("TMPDIR");
  std::string path = std::string(base == nullptr ? "/tmp" : base) + "/lotusyard-review-XXXXXX";
  if (mkdtemp(path.data()) == nullptr)
    could_not_run("no temporary folder");
  temporary_folders().push_back(path);
  return path;
}

inline void write_file(const std::string& path, const std::string& text) {
  std::ofstream(path, std::ios::trunc) << text;
}

// ---- a host of the platform ----

struct Exec {
  std::string ref, fields, body;
  int host = 0;
};

// What a host does with a call that has come whole.
struct Plan {
  std::string refuse;        // "full": it answers this and runs nothing
  long work_ms = 120;        // how long the call runs
  long answer_delay_ms = 0;  // from the end of the run until its answer is on the wire
  std::string word = "data";
};

// Holds loaded copies, runs calls, and answers as PROTOCOL says. A call counts as run once its work is done.
// What is open on a connection is given up when that closes.
class Host {
 public:
  std::function<Plan(const Exec&)> plan = [](const Exec&) { return Plan(); };
  // Called when the work of a call is done: its effect has taken place.
  std::function<void(const Exec&)> on_run = [](const Exec&) {};
  long load_ms = 300;
  bool quiet = false;  // single calls are written to the record only
  // What the network makes of the line of an answer to a call.
  std::function<std::string(const std::string& ref, std::string line)> spoil =
      [](const std::string&, std::string line) { return line; };

  explicit Host(int number = 0, int port = 0) : number_(number), port_(port) {
    listener_ = listen_on_loopback(port_);
    std::thread([this] { accept_all(); }).detach();
  }
  int port() const { return port_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

 private:
  struct Connection {
    int fd = -1;
    std::mutex mutex;
    bool open = true;
    std::map<std::string, std::shared_ptr<std::atomic<bool>>> given_up;  // by ref
    void send(const std::string& bytes) {
      const std::lock_guard<std::mutex> lock(mutex);
      if (open)
        send_all(fd, bytes);
    }
  };

  void accept_all() {
    while (true) {
      const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0)
        return;
      const int yes = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
      auto connection = std::make_shared<Connection>();
      connection->fd = fd;
      std::thread([this, connection] { serve(connection); }).detach();
    }
  }

  void serve(const std::shared_ptr<Connection>& connection) {
    std::string buffer;
    char bytes[65536];
    while (true) {
      const ssize_t count = recv(connection->fd, bytes, sizeof bytes, 0);
      if (count <= 0)
        break;
      buffer.append(bytes, static_cast<std::size_t>(count));
      while (take_command(connection, buffer)) {
      }
    }
    const std::lock_guard<std::mutex> lock(connection->mutex);
    connection->open = false;
    for (auto& [ref, flag] : connection->given_up)
      *flag = true;
    ::close(connection->fd);
  }

  bool take_command(const std::shared_ptr<Connection>& connection, std::string& buffer) {
    const auto end = buffer.find("\r\n");
    if (end == std::string::npos)
      return false;
    std::istringstream words(buffer.substr(0, end));
    std::string verb, id, fields, length;
    words >> verb >> id >> fields >> length;
    if (verb == "exec") {
      const std::size_t size = std::stoul(length);
      if (buffer.size() < end + 2 + size + 2)
        return false;
      const std::string body = buffer.substr(end + 2, size);
      buffer.erase(0, end + 2 + size + 2);
      execute(connection, {id, fields, body, number_});
      return true;
    }
    buffer.erase(0, end + 2);
    if (verb == "drop")
      give_up(connection, id);
    else if (verb == "health" || verb == "load")
      connection->send(id + " well " + (verb == "load" ? "l=" + report() : std::string("-")) + " 0\r\n\r\n");
    else if (verb == "ensure")
      load(connection, id, fields);
    return true;
  }

  void say(const std::string& what) const {
    const std::string line = "host " + std::to_string(number_) + " " + what;
    quiet ? detail(line) : note(line);
  }

  static std::string report() { return "util:0.10;inflight:1;x0:0.10;x1:0"; }

  static std::string field(const std::string& fields, const std::string& name) {
    const auto at = ("," + fields).find("," + name + "=");
    if (at == std::string::npos)
      return {};
    const auto from = at + name.size() + 1;
    return fields.substr(from, fields.find(',', from) - from);
  }

  void give_up(const std::shared_ptr<Connection>& connection, const std::string& ref) {
    const std::lock_guard<std::mutex> lock(connection->mutex);
    const auto found = connection->given_up.find(ref);
    if (found != connection->given_up.end())
      *found->second = true;
  }

  void load(const std::shared_ptr<Connection>& connection, const std::string& tag,
            const std::string& fields) {
    const std::string function = field(fields, "asset");
    const int wanted = std::stoi("0" + field(fields, "count"));
    std::thread([this, connection, tag, function, wanted] {
      if (wanted > 0 && !is_loaded(function)) {
        sleep_ms(load_ms);
        const std::lock_guard<std::mutex> lock(mutex_);
        loaded_.insert(function);
      }
      connection->send(tag + " data count=" + (is_loaded(function) ? "1" : "0") + " 0\r\n\r\n");
    }).detach();
  }

  bool is_loaded(const std::string& function) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return loaded_.count(function) != 0;
  }

  void answer(const std::shared_ptr<Connection>& connection, const Exec& call, const std::string& word,
              const std::string& body) {
    say("answers " + call.ref + " " + word);
    const std::string line = call.ref + " " + word + " l=" + report() + " " + std::to_string(body.size());
    connection->send(spoil(call.ref, line) + "\r\n" + body + "\r\n");
  }

  void execute(const std::shared_ptr<Connection>& connection, const Exec& call) {
    const Plan chosen = plan(call);
    if (!chosen.refuse.empty())
      return answer(connection, call, chosen.refuse, "");
    if (!is_loaded(field(call.fields, "asset")))
      return answer(connection, call, "absent", "");
    auto given_up = std::make_shared<std::atomic<bool>>(false);
    {
      const std::lock_guard<std::mutex> lock(connection->mutex);
      connection->given_up[call.ref] = given_up;
    }
    say("begins " + call.ref + " body=" + call.body);
    std::thread([this, connection, call, chosen, given_up] {
      sleep_ms(chosen.work_ms);
      if (*given_up) {
        say("gave up " + call.ref + " before its end: not run");
        return;
      }
      say("has run " + call.ref + " body=" + call.body);
      on_run(call);
      sleep_ms(chosen.answer_delay_ms);
      answer(connection, call, chosen.word, chosen.word == "data" ? "done:" + call.body : "");
    }).detach();
  }

  const int number_;
  int port_;
  int listener_ = -1;
  std::mutex mutex_;
  std::set<std::string> loaded_;
};

// ---- an AMQP 0-9-1 broker ----

struct Message {
  std::string id, reply_to, correlation, expiration, body;
  std::optional<std::uint64_t> timestamp;
  std::map<std::string, std::string> headers;
  bool redelivered = false;
};

// A message that the invoker has published.
struct Answer {
  std::string queue, id, correlation, word, body;
  long at_ms = 0;
};

class Broker {
 public:
  std::function<void(const Answer&)> on_answer = [](const Answer&) {};
  // How long the broker takes to confirm a published message; 0: at once, before anybody reads the message.
  std::function<long(const Answer&)> confirm_after_ms = [](const Answer&) { return 0L; };
  // Called after a message was delivered; true: the broker drops that connection now.
  std::function<bool(const std::string& consumer, const Message&)> drops_after_delivery =
      [](const std::string&, const Message&) { return false; };

  explicit Broker(int port = 0) : port_(port) {
    listener_ = listen_on_loopback(port_);
    std::thread([this] { accept_all(); }).detach();
    std::thread([this] {
      while (true) {
        sleep_ms(3000);
        const std::lock_guard<std::mutex> lock(mutex_);
        for (auto& peer : peers_)
          send_all(peer->fd, frame(8, 0, ""));
      }
    }).detach();
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

  // What a client publishes to the queue of calls.
  void publish(const Message& message) {
    const std::lock_guard<std::mutex> lock(mutex_);
    queue_.push_back(message);
    deliver();
  }
  std::size_t consumers() {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::size_t count = 0;
    for (const auto& peer : peers_)
      count += peer->consuming ? 1 : 0;
    return count;
  }
  // Messages that are queued, or delivered and not acknowledged.
  std::size_t unacknowledged() {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::size_t count = queue_.size();
    for (const auto& peer : peers_)
      count += peer->unacked.size();
    return count;
  }
  // The user name with which the consumer that was sent the message last has logged in.
  std::string last_consumer() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return last_consumer_;
  }
  // The broker drops the connections of a user.
  void drop(const std::string& user) {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (auto& peer : peers_) {
      if (peer->user == user)
        shutdown(peer->fd, SHUT_RDWR);
    }
  }

 private:
  struct Peer {
    int fd = -1;
    std::string user;
    bool consuming = false, confirms = false;
    std::string consumer_tag;
    std::size_t prefetch = 0;
    std::uint64_t last_tag = 0, published = 0;
    std::map<std::uint64_t, Message> unacked;
    // The message that is being published.
    std::string publish_queue;
    Answer incoming;
    std::uint64_t missing = 0;
  };

  static std::string u(std::uint64_t value, int bytes) {
    std::string out;
    for (int i = bytes - 1; i >= 0; --i)
      out += static_cast<char>(value >> (8 * i) & 0xFF);
    return out;
  }
  static std::string short_text(const std::string& text) { return u(text.size(), 1) + text; }
  static std::string long_text(const std::string& text) { return u(text.size(), 4) + text; }
  static std::string frame(int type, int channel, const std::string& payload) {
    return u(type, 1) + u(channel, 2) + u(payload.size(), 4) + payload + '\xCE';
  }
  static std::string method(int channel, int class_id, int id, const std::string& arguments) {
    return frame(1, channel, u(class_id, 2) + u(id, 2) + arguments);
  }

  struct Input {
    const std::string& bytes;
    std::size_t at = 0;
    std::uint64_t number(int size) {
      std::uint64_t value = 0;
      for (int i = 0; i < size && at < bytes.size(); ++i)
        value = value << 8 | static_cast<unsigned char>(bytes[at++]);
      return value;
    }
    std::string take(std::size_t size) {
      std::string out = bytes.substr(std::min(at, bytes.size()), size);
      at += size;
      return out;
    }
    std::string short_text() { return take(number(1)); }
    std::string long_text() { return take(number(4)); }
  };

  static std::map<std::string, std::string> read_table(const std::string& bytes) {
    std::map<std::string, std::string> out;
    Input in{bytes};
    while (in.at < bytes.size()) {
      const std::string name = in.short_text();
      const char type = in.take(1)[0];
      switch (type) {
        case 'S':
          out[name] = in.long_text();
          break;
        case 'l':
        case 'L':
        case 'T':
        case 'd':
          out[name] = std::to_string(in.number(8));
          break;
        case 'I':
        case 'i':
        case 'f':
          out[name] = std::to_string(in.number(4));
          break;
        case 't':
        case 'b':
        case 'B':
          out[name] = std::to_string(in.number(1));
          break;
        default:
          return out;
      }
    }
    return out;
  }

  void accept_all() {
    while (true) {
      const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0)
        return;
      const int yes = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
      auto peer = std::make_shared<Peer>();
      peer->fd = fd;
      std::thread([this, peer] { serve(peer); }).detach();
    }
  }

  void serve(const std::shared_ptr<Peer>& peer) {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      peers_.push_back(peer);
    }
    std::string buffer;
    bool greeted = false;
    char bytes[65536];
    while (true) {
      const ssize_t count = recv(peer->fd, bytes, sizeof bytes, 0);
      if (count <= 0)
        break;
      buffer.append(bytes, static_cast<std::size_t>(count));
      if (!greeted && buffer.size() >= 8) {
        greeted = true;
        buffer.erase(0, 8);
        const std::lock_guard<std::mutex> lock(mutex_);
        send_all(
            peer->fd,
            method(0, 10, 10, u(0, 1) + u(9, 1) + long_text("") + long_text("PLAIN") + long_text("en_US")));
      }
      while (greeted && take_frame(peer, buffer)) {
      }
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    for (auto one = peers_.begin(); one != peers_.end(); ++one) {
      if (*one == peer) {
        peers_.erase(one);
        break;
      }
    }
    // What was not acknowledged goes back to the head of the queue.
    for (auto message = peer->unacked.rbegin(); message != peer->unacked.rend(); ++message) {
      message->second.redelivered = true;
      note("broker: the connection of " + peer->user + " has ended; " + message->second.id +
           " goes back to the queue");
      queue_.push_front(message->second);
    }
    peer->unacked.clear();
    ::close(peer->fd);
    deliver();
  }

  bool take_frame(const std::shared_ptr<Peer>& peer, std::string& buffer) {
    if (buffer.size() < 8)
      return false;
    Input head{buffer};
    const auto type = head.number(1);
    head.number(2);
    const auto size = head.number(4);
    if (buffer.size() < 7 + size + 1)
      return false;
    const std::string payload = buffer.substr(7, size);
    buffer.erase(0, 7 + size + 1);
    const std::lock_guard<std::mutex> lock(mutex_);
    if (type == 1)
      handle_method(peer, payload);
    else if (type == 2)
      handle_header(peer, payload);
    else if (type == 3)
      handle_body(peer, payload);
    return true;
  }

  void handle_method(const std::shared_ptr<Peer>& peer, const std::string& payload) {
    Input in{payload};
    const auto class_id = static_cast<int>(in.number(2));
    const auto id = static_cast<int>(in.number(2));
    const auto reply = [&](int channel, int to_class, int to_id, const std::string& arguments) {
      send_all(peer->fd, method(channel, to_class, to_id, arguments));
    };
    switch (class_id * 1000 + id) {
      case 10011: {  // start-ok: properties, mechanism, response
        in.long_text();
        in.short_text();
        const std::string response = in.long_text();
        peer->user = response.substr(1, response.find('\0', 1) - 1);
        return reply(0, 10, 30, u(16, 2) + u(131072, 4) + u(10, 2));
      }
      case 10040:
        return reply(0, 10, 41, short_text(""));
      case 10050:
        reply(0, 10, 51, "");
        shutdown(peer->fd, SHUT_RDWR);
        return;
      case 20010:
        return reply(1, 20, 11, long_text(""));
      case 85010:
        peer->confirms = true;
        return reply(1, 85, 11, "");
      case 60010:
        in.number(4);
        peer->prefetch = in.number(2);
        return reply(1, 60, 11, "");
      case 60020: {  // consume
        in.number(2);
        in.short_text();
        peer->consumer_tag = in.short_text();
        reply(1, 60, 21, short_text(peer->consumer_tag));
        peer->consuming = true;
        note("broker: " + peer->user + " consumes");
        return deliver();
      }
      case 60030:
        peer->consuming = false;
        return reply(1, 60, 31, short_text(in.short_text()));
      case 60040:
        in.number(2);
        in.short_text();
        peer->publish_queue = in.short_text();
        return;
      case 60080: {  // ack
        const auto tag = in.number(8);
        const auto found = peer->unacked.find(tag);
        if (found != peer->unacked.end()) {
          note("broker: " + peer->user + " acknowledges " + found->second.id);
          peer->unacked.erase(found);
        }
        return deliver();
      }
      case 60090:
        peer->unacked.erase(in.number(8));
        return deliver();
      default:
        return;
    }
  }

  void handle_header(const std::shared_ptr<Peer>& peer, const std::string& payload) {
    Input in{payload};
    in.number(4);
    peer->missing = in.number(8);
    const auto flags = in.number(2);
    peer->incoming = Answer();
    peer->incoming.queue = peer->publish_queue;
    if ((flags & 1 << 15) != 0)
      in.short_text();
    if ((flags & 1 << 14) != 0)
      in.short_text();
    if ((flags & 1 << 13) != 0) {
      const auto headers = read_table(in.long_text());
      const auto word = headers.find("word");
      peer->incoming.word = word == headers.end() ? "" : word->second;
    }
    if ((flags & 1 << 12) != 0)
      in.number(1);
    if ((flags & 1 << 11) != 0)
      in.number(1);
    if ((flags & 1 << 10) != 0)
      peer->incoming.correlation = in.short_text();
    if ((flags & 1 << 9) != 0)
      in.short_text();
    if ((flags & 1 << 8) != 0)
      in.short_text();
    if ((flags & 1 << 7) != 0)
      peer->incoming.id = in.short_text();
    if (peer->missing == 0)
      finish_publish(peer);
  }

  void handle_body(const std::shared_ptr<Peer>& peer, const std::string& payload) {
    peer->incoming.body += payload;
    peer->missing -= std::min<std::uint64_t>(peer->missing, payload.size());
    if (peer->missing == 0)
      finish_publish(peer);
  }

  void finish_publish(const std::shared_ptr<Peer>& peer) {
    Answer answer = peer->incoming;
    answer.at_ms = elapsed_ms();
    const std::uint64_t number = ++peer->published;
    const long delay = confirm_after_ms(answer);
    note("broker: " + peer->user + " publishes the answer " + answer.word + " to " + answer.correlation);
    if (delay <= 0) {
      confirm(*peer, number);
    } else {
      std::thread([this, peer, number, delay, answer] {
        sleep_ms(delay);
        const std::lock_guard<std::mutex> lock(mutex_);
        note("broker: confirms the answer " + answer.word + " to " + answer.correlation);
        confirm(*peer, number);
      }).detach();
    }
    // The client reads it on another thread.
    std::thread([this, answer] { on_answer(answer); }).detach();
  }

  void confirm(const Peer& peer, std::uint64_t number) {
    for (const auto& one : peers_) {
      if (one.get() == &peer)
        send_all(peer.fd, method(1, 60, 80, u(number, 8) + u(0, 1)));
    }
  }

  // Consumers are served in turn.
  void deliver() {
    while (!queue_.empty()) {
      std::shared_ptr<Peer> chosen;
      for (std::size_t i = 0; i < peers_.size() && !chosen; ++i) {
        const auto& peer = peers_[(next_ + i) % peers_.size()];
        if (peer->consuming && (peer->prefetch == 0 || peer->unacked.size() < peer->prefetch)) {
          chosen = peer;
          next_ = (next_ + i + 1) % peers_.size();
        }
      }
      if (!chosen)
        return;
      const Message message = queue_.front();
      queue_.pop_front();
      const std::uint64_t tag = ++chosen->last_tag;
      chosen->unacked[tag] = message;
      last_consumer_ = chosen->user;
      note("broker: delivers " + message.id + " to " + chosen->user +
           (message.redelivered ? ", redelivered" : ""));
      send_all(chosen->fd,
               method(1, 60, 60,
                      short_text(chosen->consumer_tag) + u(tag, 8) + u(message.redelivered ? 1 : 0, 1) +
                          short_text("") + short_text("bin-calls")) +
                   content(message));
      if (drops_after_delivery(chosen->user, message)) {
        note("broker: drops the connection of " + chosen->user);
        shutdown(chosen->fd, SHUT_RDWR);
        return;
      }
    }
  }

  static std::string content(const Message& message) {
    std::uint64_t flags = 1 << 13 | 1 << 12 | 1 << 10 | 1 << 9 | 1 << 7;
    std::string table;
    for (const auto& [name, value] : message.headers)
      table += short_text(name) + 'S' + long_text(value);
    std::string values =
        long_text(table) + u(2, 1) + short_text(message.correlation) + short_text(message.reply_to);
    if (!message.expiration.empty()) {
      flags |= 1 << 8;
      values += short_text(message.expiration);
    }
    values += short_text(message.id);
    if (message.timestamp) {
      flags |= 1 << 6;
      values += u(*message.timestamp, 8);
    }
    std::string out = frame(2, 1, u(60, 2) + u(0, 2) + u(message.body.size(), 8) + u(flags, 2) + values);
    if (!message.body.empty())
      out += frame(3, 1, message.body);
    return out;
  }

  int port_;
  int listener_ = -1;
  std::mutex mutex_;
  std::vector<std::shared_ptr<Peer>> peers_;
  std::size_t next_ = 0;
  std::deque<Message> queue_;
  std::string last_consumer_;
};

inline void wait_for_consumers(Broker& broker, std::size_t count) {
  for (int i = 0; i < 1000 && broker.consumers() != count; ++i)
    sleep_ms(10);
  if (broker.consumers() != count)
    could_not_run("the invokers do not consume");
}

// A try of a bin-record. All tries have the same message id, each has a correlation id of its own.
inline Message bin_record(const std::string& id, int number, long allow_ms) {
  Message message;
  message.id = message.body = id;
  message.correlation = id + "#" + std::to_string(number);
  message.reply_to = "tablet-1";
  message.headers = {{"class", "bin-record"},
                     {"lookup", "00000000000000a1"},
                     {"project", "redgum-estate"},
                     {"memory_mb", "400"},
                     {"lanes", "4"},
                     {"allow", std::to_string(allow_ms)}};
  return message;
}

// ---- configuration ----

// An operator's file with AMQP triggers, with the settings of deploy/triggers.json.
struct TriggerFile {
  std::string name = "triggers-1", broker, hosts_file, store;
  int invokers = 1;
  bool sole_consumer = false;
  std::string classes =
      R"([{"Name": "bin-check", "Semantics": "repeatable", "Aim": 500.0, "HardLimit": 2000.0, "Gain": 1.0, "LateValue": 0.3},
      {"Name": "bin-record", "Semantics": "once", "Aim": 1000.0, "HardLimit": 3000.0, "Gain": 5.0, "LateValue": 0.2}])";

  std::string text() const {
    std::string amqp = R"({"broker": ")" + broker + R"(", "user": ")" + name +
                       R"(", "password": "guest", "vhost": "/", "queues": ["bin-calls"], "prefetch": 32,
      "heartbeat_s": 10, "body_kb": 16, "open_calls": 256, "remembered": 10000, "remembered_mb": 16)";
    if (!store.empty())
      amqp += R"(, "store": ")" + store + R"(", "sole_consumer": )" + (sole_consumer ? "true" : "false");
    amqp += "}";
    return R"({"name": ")" + name + R"(", "limits": {"memory_mb": 192, "sockets": 1024},
  "amqp": )" +
           amqp + R"(,
  "xds": {"file": ")" +
           hosts_file + R"(", "cluster": "bincheck-fleet", "reread_ms": 500},
  "settings": {
    "Az": "osborne-park", "Balancers": )" +
           std::to_string(invokers) + R"(, "Rank": 0, "Tick": 4.0, "KindOfService": "warm",
    "Bounds": {"Cancel": true, "ConnIdle": 15000.0, "ConnectTimeout": 250.0, "MaxRetryAfter": 500.0,
               "Probes": true, "RetryAfter": true, "SecondCopies": false, "SendCap": 4, "StreamsPerConn": 32},
    "Classes": )" +
           classes + R"(,
    "FamilyInfo": {"LingerIdle": 9400.0, "LoadFloor": 6.0, "LoadRatio": 0.2, "LoadWindow": 10000.0,
                   "NotesPeersInHand": true, "OnMiss": "miss", "OrderTimeout": 10000.0, "Orders": true,
                   "PriceOfIdle": 0.1, "MemoryMbByKind": [3456.0, 3456.0]},
    "Kinds": ["std-2c", "slow-2c"],
    "LoadInfo": {"Fields": ["util", "inflight", "x0", "x1"], "How": "piggyback"},
    "OverShareWorth": 0.2, "RegistryMode": "push",
    "Rules": {"Cold": 17000.0, "ColdFrom": 0.25, "DrainGrace": 2000.0, "FallMultiple": 2.0, "GraceToAnswer": 16.0,
              "TipAfter": 3000.0},
    "Tenants": [{"Name": "redgum-estate", "QuotaPerS": 72.0, "Share": 0.67},
                {"Name": "karri-hill", "QuotaPerS": 35.0, "Share": 0.33}],
    "WorthBy": "request"
  }
}
)";
  }
};

// The xDS file with the hosts.
inline std::string hosts_file_text(const std::vector<int>& ports) {
  std::string endpoints;
  for (const int port : ports) {
    endpoints += endpoints.empty() ? "" : ",\n";
    endpoints += R"({"endpoint": {"address": {"socket_address": {"address": "127.0.0.1", "port_value": )" +
                 std::to_string(port) + R"(}}}, "health_status": "HEALTHY", "load_balancing_weight": 2,
       "metadata": {"filter_metadata": {"lotusyard": {"kind": "std-2c"}}}})";
  }
  return R"({"version_info": "1", "resources": [
  {"@type": "type.googleapis.com/envoy.config.cluster.v3.Cluster", "name": "bincheck-fleet", "type": "EDS",
   "eds_cluster_config": {"service_name": "bincheck-hosts"}},
  {"@type": "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment", "cluster_name": "bincheck-hosts",
   "endpoints": [{"locality": {"zone": "osborne-park"}, "lb_endpoints": [)" +
         endpoints + R"(]}]}]}
)";
}

// ---- answers that clients wait for ----

class Inbox {
 public:
  void add(const Answer& answer) {
    const std::lock_guard<std::mutex> lock(mutex_);
    answers_.push_back(answer);
    changed_.notify_all();
  }
  // Waits for the answer number `count` (from 1) under the correlation id.
  std::optional<Answer> wait(const std::string& correlation, std::size_t count, long ms) {
    std::unique_lock<std::mutex> lock(mutex_);
    std::optional<Answer> found;
    changed_.wait_for(lock, milliseconds(ms), [&] {
      std::size_t seen = 0;
      for (const auto& answer : answers_) {
        if (answer.correlation == correlation && ++seen == count) {
          found = answer;
          return true;
        }
      }
      return false;
    });
    return found;
  }
  std::vector<Answer> all(const std::string& correlation) {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<Answer> out;
    for (const auto& answer : answers_) {
      if (answer.correlation == correlation)
        out.push_back(answer);
    }
    return out;
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<Answer> answers_;
};

inline std::uint64_t unix_seconds() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::seconds>(std::chrono::system_clock::now().time_since_epoch())
          .count());
}

inline bool has_trouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

// The case's folder, from the command line; the working folder has to be the root of the repository.
inline void open_record(int argument_count, char** arguments) {
  if (argument_count != 2)
    std::exit(kCouldNotRun);
  signal(SIGPIPE, SIG_IGN);
  record().open(std::string(arguments[1]) + "/record.txt");
}

}  // namespace rig
