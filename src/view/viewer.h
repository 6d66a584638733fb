// The fleet's view at one member: its links, its timer, its lines and what operators are shown.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>

#include "app/app.h"
#include "group/member.h"
#include "view/swim.h"

namespace lotusyard::view {

class Viewer {
 public:
  using Note = std::function<void(const std::string& text)>;
  // What this member itself sees of its hosts; asked now and then.
  using Looks = std::function<bool(const std::string& host)>;  // whether it is seen to fail
  Viewer(const Wiring& wiring, const group::Config& config, group::Member& member, Looks fails, Note note);
  ~Viewer();

  void serve();              // this member takes calls
  void leave();              // it ends on purpose
  std::size_t seen() const;  // members that are here, as far as this one knows
  void when_changed(std::function<void()> changed) { changed_ = std::move(changed); }
  nlohmann::json shown() const;

 private:
  Wiring wiring_;
  const group::Config config_;
  group::Member& member_;
  Looks fails_;
  Note note_;
  std::optional<Swim> swim_;  // none: this member has no place in the group yet
  std::function<void()> changed_;
  net::Loop::TimerId turns_{}, looks_{};
  bool serves_ = false;
  std::uint64_t life_ = 0;

  void begin();
  void turn();
  void look();
  void heard(const std::string& member, const std::string& body);
  void carry_out();
};

}  // namespace lotusyard::view
