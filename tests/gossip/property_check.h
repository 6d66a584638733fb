// Properties that hold for random cases, checked with RapidCheck.
#pragma once

#include <rapidcheck.h>

#include <iostream>

#include "support/fault_injection.h"

namespace lotusyard::test {

// Whether a property holds for this many random cases. A case for which it does not is shrunk and printed,
// unless a fault is planted.
template <typename Property>
bool property_holds(const char* description, int cases, const Property& property) {
  rc::detail::TestParams params;
  params.maxSuccess = cases;
  params.seed = 7;
  const auto result = rc::detail::checkTestable(property, rc::detail::TestMetadata{"", description}, params);
  const bool holds = result.template is<rc::detail::SuccessResult>();
  if (!holds && injected_fault.empty())
    rc::detail::printResultMessage(result, std::cerr);
  return holds;
}

}  // namespace lotusyard::test
