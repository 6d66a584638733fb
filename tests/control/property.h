// Checks properties over random inputs, with a fixed seed.
#pragma once

#include <rapidcheck.h>

#include <cstdint>
#include <iostream>

#include "support/fault_injection.h"

namespace lotusyard::test {

constexpr std::uint64_t kPropertySeed = 7;

// Whether a property holds for `cases` random cases. A failing case is shrunk and printed, unless a fault is
// injected.
template <typename Property>
bool property_holds(const char* what, int cases, const Property& property,
                    std::uint64_t seed = kPropertySeed) {
  rc::detail::TestParams params;
  params.maxSuccess = cases;
  params.seed = seed;
  params.disableShrinking = !injected_fault.empty();
  const auto result = rc::detail::checkTestable(property, rc::detail::TestMetadata{"", what}, params);
  const bool held = result.template is<rc::detail::SuccessResult>();
  if (!held && injected_fault.empty())
    rc::detail::printResultMessage(result, std::cerr);
  return held;
}

}  // namespace lotusyard::test
