#ifndef GALENALINK_CORE_ENUM_NAMES_HPP
#define GALENALINK_CORE_ENUM_NAMES_HPP

#include <array>
#include <optional>
#include <string_view>
#include <utility>

namespace galenalink {

/** @brief Table of the enumerators of an enumeration with their names. */
template <typename Enum, std::size_t N>
using enum_names = std::array<std::pair<Enum, std::string_view>, N>;

/** @brief Name of an enumerator, or `"?"` if the table lacks it. */
template <typename Enum, std::size_t N>
[[nodiscard]] constexpr std::string_view
nameOf(const enum_names<Enum, N> &Table, const Enum Value) noexcept {
  for (const auto &[Key, Name] : Table) {
    if (Key == Value)
      return Name;
  }
  return "?";
}

/** @brief Enumerator with the given name, or nothing. */
template <typename Enum, std::size_t N>
[[nodiscard]] constexpr std::optional<Enum>
parseName(const enum_names<Enum, N> &Table,
          const std::string_view Name) noexcept {
  for (const auto &[Key, Known] : Table) {
    if (Known == Name)
      return Key;
  }
  return std::nullopt;
}

} // namespace galenalink

#endif
