#ifndef GALENALINK_CORE_ATTEMPT_HPP
#define GALENALINK_CORE_ATTEMPT_HPP

#include "galenalink/core/fwd.hpp"
#include <compare>
#include <cstdio>
#include <optional>
#include <string>
#include <string_view>

namespace galenalink {

/** @brief Identifies one dispatch of one request to one backend server. */
struct attempt_id {
  node_id Node{};
  std::uint64_t Sequence{};

  [[nodiscard]] auto operator<=>(const attempt_id &) const noexcept = default;
};

/** @brief Formats an attempt as `<node>-<sequence>`, 16 hex digits each. */
[[nodiscard]] inline std::string toString(const attempt_id Attempt) {
  char Text[34];
  std::snprintf(Text, sizeof(Text), "%016llx-%016llx",
                static_cast<unsigned long long>(Attempt.Node),
                static_cast<unsigned long long>(Attempt.Sequence));
  return Text;
}

/** @brief Parses what `toString` wrote; nothing for any other text. */
[[nodiscard]] inline std::optional<attempt_id>
parseAttempt(const std::string_view Text) noexcept {
  constexpr std::size_t Digits = 16;
  if (Text.size() != 2 * Digits + 1 || Text[Digits] != '-')
    return std::nullopt;
  const auto Parse =
      [](const std::string_view Hex) -> std::optional<std::uint64_t> {
    std::uint64_t Value = 0;
    for (const char Digit : Hex) {
      const bool Decimal = Digit >= '0' && Digit <= '9';
      const bool Letter = Digit >= 'a' && Digit <= 'f';
      if (!Decimal && !Letter)
        return std::nullopt;
      Value = Value * 16 + static_cast<std::uint64_t>(
                               Decimal ? Digit - '0' : Digit - 'a' + 10);
    }
    return Value;
  };
  const auto Node = Parse(Text.substr(0, Digits));
  const auto Sequence = Parse(Text.substr(Digits + 1));
  if (!Node || !Sequence)
    return std::nullopt;
  return attempt_id{node_id{*Node}, *Sequence};
}

} // namespace galenalink

#endif
