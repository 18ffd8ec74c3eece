#include "galenalink/request/uuid.hpp"

namespace galenalink::request {

namespace {

constexpr std::size_t TextLength = 36;

[[nodiscard]] constexpr int digitValue(const char Digit) noexcept {
  if (Digit >= '0' && Digit <= '9')
    return Digit - '0';
  if (Digit >= 'a' && Digit <= 'f')
    return Digit - 'a' + 10;
  if (Digit >= 'A' && Digit <= 'F')
    return Digit - 'A' + 10;
  return -1;
}

[[nodiscard]] constexpr bool isDashPosition(const std::size_t Index) noexcept {
  return Index == 8 || Index == 13 || Index == 18 || Index == 23;
}

} // namespace

std::optional<wall_ms> uuid7IssueTime(const std::string_view Text) noexcept {
  if (Text.size() != TextLength)
    return std::nullopt;
  constexpr std::size_t VersionPosition = 14;
  constexpr std::size_t VariantPosition = 19;
  wall_ms Issued = 0;
  for (std::size_t Index = 0; Index < TextLength; ++Index) {
    if (isDashPosition(Index)) {
      if (Text[Index] != '-')
        return std::nullopt;
      continue;
    }
    const int Value = digitValue(Text[Index]);
    if (Value < 0)
      return std::nullopt;
    // The first 48 bits are the time, big endian.
    if (Index < VersionPosition - 1)
      Issued = Issued * 16 + Value;
    if (Index == VersionPosition && Value != 7)
      return std::nullopt;
    // The variant of RFC 9562 has the two top bits 10.
    if (Index == VariantPosition && (Value & 0b1100) != 0b1000)
      return std::nullopt;
  }
  return Issued;
}

} // namespace galenalink::request
