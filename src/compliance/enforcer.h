// Holds one process to the book of regimes and certificates: which hosts the module may consider for a call,
// and the last check before anything goes out.
#pragma once

#include <functional>
#include <string>
#include <unordered_map>

#include "app/app.h"
#include "compliance/book.h"

namespace lotusyard::compliance {

class Enforcer {
 public:
  using Note = std::function<void(const std::string& text)>;
  using Knows = std::function<bool()>;  // whether this process's lease holds: the book is current
  // The book outlives it.
  Enforcer(const Wiring& wiring, const Book& book, Knows knows, Note note);

  // To be called whenever the lease may have come or gone.
  void update();
  Verdict may(const std::string& tenant, const std::string& host) const;
  // Whether the module may consider the host for a call of this tenant. Remembers who asked for the function.
  bool considers(const std::string& tenant, std::uint64_t function, const std::string& host);
  // The last check: a call, a load of the function, or what names neither. A refusal is counted.
  bool may_send(const std::string& host, const core::Call* call, std::uint64_t function) const;
  // A call never went out: counted and noted if these rules are the reason.
  void refused(const core::Call& call) const;

 private:
  static constexpr std::size_t functions_most = 8192;
  Wiring wiring_;
  const Book& book_;
  Knows knows_;
  Note note_;
  bool knew_ = false;
  std::unordered_map<std::uint64_t, std::string> tenant_of_;  // by function: who asked for it last

  bool last_check(const std::string& tenant, const std::string& host) const;
};

}  // namespace lotusyard::compliance
