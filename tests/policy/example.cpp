// Shows how an invoker embeds the decision module: it passes events and carries out the actions.
#include <iostream>

#include "lotusyard/policy/policy.h"

int main() {
  using namespace lotusyard::policy;
  Policy policy;
  std::vector<Action> actions;

  Settings settings;
  settings.classes.push_back({"lookup", Semantics::idempotent});
  policy.handle(Millis(0), event::Start{settings}, actions);

  HostEntry host;
  host.host = "host-1";
  policy.handle(Millis(1), event::EndpointListUpdate{ListKind::full, {host}}, actions);

  event::Request request;
  request.id = "call-1";
  request.class_name = "lookup";
  request.function = 42;
  request.expires_in = Millis(500);
  policy.handle(Millis(2), request, actions);

  for (const auto& action : actions) {
    if (const auto* send = std::get_if<action::Send>(&action)) {
      std::cout << send->id << " goes to " << send->host << '\n';
      return 0;
    }
  }
  return 1;
}
