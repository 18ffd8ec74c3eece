#ifndef GALENALINK_CORE_ERROR_HPP
#define GALENALINK_CORE_ERROR_HPP

#include "galenalink/core/enum_names.hpp"
#include "galenalink/core/fwd.hpp"
#include <string>

namespace galenalink {

/** @brief Class of an error; decides what a caller may do next. */
enum class errc : std::uint8_t {
  BadInput,
  NotFound,
  Conflict,
  Unavailable,
  Timeout,
  UnknownOutcome,
  Corrupt,
  Full,
};

inline constexpr enum_names<errc, 8> ErrcNames{{
    {errc::BadInput, "bad-input"},
    {errc::NotFound, "not-found"},
    {errc::Conflict, "conflict"},
    {errc::Unavailable, "unavailable"},
    {errc::Timeout, "timeout"},
    {errc::UnknownOutcome, "unknown-outcome"},
    {errc::Corrupt, "corrupt"},
    {errc::Full, "full"},
}};

/** @brief An error as a value: its class and a sentence for a person. */
struct error {
  errc Code{};
  std::string Message;
};

} // namespace galenalink

#endif
