// The admin endpoint: HTTP/1.1, one call to a connection. It reads calls and words answers, and decides
// nothing: what a call means is up to its Operations.
#pragma once

#include <list>
#include <memory>
#include <optional>
#include <string>

#include "console/parser.h"
#include "core/counters.h"
#include "net/loop.h"
#include "net/stream.h"

namespace lotusyard::console {

enum class Done { yes, unknown_host, not_kept };

struct Said {
  int status = 200;
  std::string text;
};

class Operations {
 public:
  virtual ~Operations() = default;
  virtual bool ready() const = 0;
  virtual Done disable(const std::string& host) = 0;
  virtual Done enable(const std::string& host) = 0;
  virtual std::optional<Said> other(const Request&) { return std::nullopt; }  // nothing: no such call
};

class AdminEndpoint final : private net::Handler {
 public:
  AdminEndpoint(net::Loop& loop, core::Counters& counters, Operations& operations, std::size_t callers);
  ~AdminEndpoint() override;
  bool listen(const std::string& address);
  std::string address() const { return net::bound_address(listener_); }
  bool quiet() const { return callers_.empty(); }  // nobody waits for an answer

 private:
  class Caller;
  net::Loop& loop_;
  core::Counters& counters_;
  Operations& operations_;
  std::size_t most_;
  net::BufferPool pool_;  // its own: what clients leave unread takes nothing from here
  net::Socket listener_;
  net::Loop::TimerId again_{};
  std::list<std::shared_ptr<Caller>> callers_;  // in the order in which they came

  void ready(short events) override;
  void watch();
  void serve(Caller& caller, const Request& request);
  void gone(Caller& caller);
};

}  // namespace lotusyard::console
