#include "admin/admin_endpoint.h"

#include <algorithm>

#include "metrics/client_counters.h"

namespace lotusyard::admin {
namespace {

using net::Millis;

constexpr Millis kWholeMost{3000};  // from connecting to a call's last byte
constexpr std::size_t kAcceptsATurn = 16;
constexpr Millis kNoDescriptor{50};
constexpr std::string_view kHosts = "/-/hosts/";

const char* reason(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 202:
      return "Accepted";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 408:
      return "Request Timeout";
    case 413:
      return "Content Too Large";
    case 414:
      return "URI Too Long";
    case 431:
      return "Request Header Fields Too Large";
    case 501:
      return "Not Implemented";
    case 503:
      return "Service Unavailable";
    case 505:
      return "HTTP Version Not Supported";
    default:
      return "Bad Request";
  }
}

}  // namespace

class AdminEndpoint::AdminConnection final : public net::BufferedConnection {
 public:
  AdminConnection(AdminEndpoint& admin_endpoint, net::Socket socket)
      : BufferedConnection(admin_endpoint.loop_, admin_endpoint.pool_, std::move(socket), false,
                           net::EventLoop::Priority::urgent),
        admin_endpoint_(admin_endpoint) {
    // Half a call would hold its place for good.
    whole_by_ = loop().schedule_at(loop().now() + kWholeMost,
                                   [this] { turn_away(408, "the call did not come whole"); });
  }
  ~AdminConnection() override { loop().cancel(whole_by_); }
  std::list<std::shared_ptr<AdminConnection>>::iterator place;
  bool answered() const { return answered_; }

  void turn_away(int status, const std::string& why) {
    if (answered_)
      return close_later();
    admin_endpoint_.counters_.add(metrics::kConsoleFaulty, std::to_string(status));
    answer(status, why);
  }
  void answer(int status, const std::string& text, const std::string& more_headers = {}) {
    answered_ = true;
    loop().cancel(whole_by_);
    const std::string body = text + "\n";
    write("HTTP/1.1 " + std::to_string(status) + ' ' + reason(status) + "\r\n" + more_headers +
          "Content-Type: text/plain\r\nContent-Length: " + std::to_string(body.size()) +
          "\r\nCache-Control: no-store\r\nConnection: close\r\n\r\n" + body);
    shutdown_after_flush();
    flush_now();  // before whatever else this turn holds
  }

 private:
  AdminEndpoint& admin_endpoint_;
  Parser parser_;
  net::EventLoop::TimerId whole_by_{};
  bool answered_ = false;

  void on_received(std::string_view bytes) override {
    if (answered_)
      return;  // one call to a connection: what comes behind it is read and left
    const auto state = parser_.parse(bytes);
    if (state == Parser::State::whole)
      return admin_endpoint_.serve(*this, parser_.request());
    if (state == Parser::State::faulty)
      return turn_away(parser_.fault(), "the call cannot be read");
    if (!parser_.wants_continue())
      return;
    parser_.continued();
    write("HTTP/1.1 100 Continue\r\n\r\n");
  }
  void on_closed() override {
    loop().cancel(whole_by_);
    admin_endpoint_.connection_closed(*this);
  }
};

AdminEndpoint::AdminEndpoint(net::EventLoop& loop, metrics::Counters& counters, AdminOperations& operations,
                             std::size_t callers)
    : loop_(loop), counters_(counters), operations_(operations), most_(callers), pool_(callers + 1) {}

AdminEndpoint::~AdminEndpoint() {
  loop_.cancel(again_);
  if (listener_)
    loop_.unregister(listener_.fd(), *this);
}

bool AdminEndpoint::listen(const std::string& address) {
  listener_ = net::listen_on(address);
  if (listener_)
    watch();
  return static_cast<bool>(listener_);
}

void AdminEndpoint::watch() {
  loop_.register_handler(listener_.fd(), *this, POLLIN, net::EventLoop::Priority::urgent);
}

void AdminEndpoint::ready(short) {
  for (std::size_t i = 0; i < kAcceptsATurn; ++i) {
    net::AcceptResult accepted = net::accept_from(listener_);
    net::count_accept_errors(loop_, accepted);
    if (accepted.status == net::AcceptStatus::out_of_resources) {
      // A listener that stays readable would spin the loop.
      counters_.add(metrics::kConsoleNoDescriptor);
      loop_.unregister(listener_.fd(), *this);
      again_ = loop_.schedule_at(loop_.now() + kNoDescriptor, [this] { watch(); });
    }
    if (!accepted.socket)
      return;
    counters_.add(metrics::kConsoleConnections);
    callers_.push_back(std::make_shared<AdminConnection>(*this, std::move(accepted.socket)));
    const std::shared_ptr<AdminConnection> fresh = callers_.back();
    fresh->place = std::prev(callers_.end());
    fresh->ready(POLLIN);  // a whole call is mostly there already, and then needs no place to wait in
    // Callers with half a call keep whole ones out. The one that came first goes, answered ones
    // ahead.
    if (callers_.size() <= most_)
      continue;
    const auto done =
        std::find_if(callers_.begin(), callers_.end(), [](const auto& c) { return c->answered(); });
    const std::shared_ptr<AdminConnection> leaves = done != callers_.end() ? *done : callers_.front();
    leaves->turn_away(408, "others wait");
    leaves->close_later();
    leaves->flush();
  }
}

void AdminEndpoint::serve(AdminConnection& caller, const Request& request) {
  counters_.add(metrics::kConsoleCalls);
  const std::string& path = request.path;
  const auto other_method = [&](const char* allowed) {
    if (request.method == allowed)
      return false;
    counters_.add(metrics::kConsoleFaulty, "405");
    caller.answer(405, "the method here is " + std::string(allowed),
                  "Allow: " + std::string(allowed) + "\r\n");
    return true;
  };
  if (path == "/-/ready") {
    if (other_method("GET"))
      return;
    const bool yes = operations_.ready();
    return caller.answer(yes ? 200 : 503, yes ? "ready" : "not ready: no clients are taken");
  }
  const auto last = path.rfind('/');
  const std::string verb = path.substr(last + 1);
  const bool of_host = path.compare(0, kHosts.size(), kHosts) == 0 && last > kHosts.size();
  if (!of_host) {
    if (const auto said = operations_.handle_request(request))
      return caller.answer(said->status, said->text);
  }
  if (!of_host || (verb != "disable" && verb != "enable")) {
    counters_.add(metrics::kConsoleFaulty, "404");
    return caller.answer(404, "no such call");
  }
  if (other_method("POST"))
    return;
  const std::string host = path.substr(kHosts.size(), last - kHosts.size());
  const OperationResult done = verb == "disable" ? operations_.disable(host) : operations_.enable(host);
  const std::string_view result = done == OperationResult::done ? "yes" : "no";
  counters_.add(verb == "disable" ? metrics::kConsoleDisable : metrics::kConsoleEnable, result);
  if (done == OperationResult::done)
    return caller.answer(200, verb + "d");
  if (done == OperationResult::unknown_host)
    return caller.answer(404, "no such host");
  caller.answer(503, "this could not be kept, so nothing has changed");
}

void AdminEndpoint::connection_closed(AdminConnection& caller) {
  loop_.delete_later(*caller.place);
  callers_.erase(caller.place);
}

}  // namespace lotusyard::admin
