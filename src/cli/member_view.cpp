#include "cli/member_view.h"

#include <iostream>

namespace lotusyard::cli {

std::optional<nlohmann::json> show_member_view(const MemberOptions& options, const std::string& path,
                                               bool as_json) {
  const std::string confirmation = confirm_by_majority(options);
  nlohmann::json view = AdminClient(options.address).fetch_status(path);
  if (as_json) {
    std::cout << view.dump() << std::endl;
    return std::nullopt;
  }
  std::cout << "index " << view.at("index") << " of member " << view.at("member").get<std::string>() << ", "
            << confirmation << '\n';
  return view;
}

}  // namespace lotusyard::cli
