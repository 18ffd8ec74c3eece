#ifndef GALENALINK_RULES_CHECK_FINDING_HPP
#define GALENALINK_RULES_CHECK_FINDING_HPP

#include "galenalink/config/diagnostic.hpp"
#include "galenalink/core/enum_names.hpp"
#include <cstdint>

namespace galenalink::rules_check {

enum class severity : std::uint8_t {
  /** Nothing is wrong; callers lose nothing. */
  Note,
  /** Probably not intended, or callers lose something. */
  Warning,
  /** The nodes do not apply the configuration as it is written. */
  Error,
};

inline constexpr enum_names<severity, 3> SeverityNames{{
    {severity::Note, "note"},
    {severity::Warning, "warning"},
    {severity::Error, "error"},
}};

/** @brief One result of the check of a configuration. */
struct finding {
  severity Severity{severity::Note};
  config::diagnostic Diagnostic;
};

} // namespace galenalink::rules_check

#endif
