// What the operators' calls do.
#include <iostream>

#include "app/invoker.h"

namespace lotusyard {

void Invoker::open_admin_endpoint() {
  if (config_->console.empty()) return;
  admin_endpoint_.emplace(loop_, counters_, static_cast<console::Operations&>(*this), shares().callers);
  if (!admin_endpoint_->listen(config_->console)) {
    throw config::ConfigError("configuration: console: cannot listen on " + config_->console);
  }
  std::cout << "lotusyard " << config_->name << " is operated at " << config_->console << std::endl;
  if (folder_.empty())
    std::cerr << "lotusyard: TMPDIR is not set: no host can be taken out by hand" << std::endl;
}

bool Invoker::ready() const {
  return front_.listening() && !ending() && (!companion_ || companion_->ready());
}

std::optional<console::Said> Invoker::other(const console::Request& request) {
  return companion_ ? companion_->asked(request) : std::nullopt;
}

console::Done Invoker::disable(const std::string& host) {
  if (!membership_.known(host)) return console::Done::unknown_host;
  if (!out_files_.add(host)) return console::Done::not_kept;
  membership_.disable(host);
  std::cout << "lotusyard " << config_->name << ": host " << host << " is out by hand" << std::endl;
  return console::Done::yes;
}

console::Done Invoker::enable(const std::string& host) {
  if (!membership_.known(host)) return console::Done::unknown_host;
  if (!out_files_.remove(host)) return console::Done::not_kept;
  membership_.enable(host, loop_.now());
  std::cout << "lotusyard " << config_->name << ": host " << host << " may be used again" << std::endl;
  return console::Done::yes;
}

}  // namespace lotusyard
