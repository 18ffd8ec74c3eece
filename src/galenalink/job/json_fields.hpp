#ifndef GALENALINK_JOB_JSON_FIELDS_HPP
#define GALENALINK_JOB_JSON_FIELDS_HPP

#include <concepts>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <string_view>

namespace galenalink::job {

/** @brief A field is missing, has another type or is out of range. */
struct field_error : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/** Largest integer that every JSON implementation represents exactly. */
inline constexpr std::int64_t MaxExactInteger = (std::int64_t{1} << 53U) - 1;

/** @brief Permitted values of a number, both ends included. */
template <typename Type> struct value_range {
  Type Min{0};
  Type Max{std::numeric_limits<Type>::max()};
};

namespace detail {
[[nodiscard]] std::int64_t integerIn(const nlohmann::json &Value,
                                     std::int64_t Min, std::int64_t Max);

template <typename Type>
[[nodiscard]] std::int64_t clampToExact(const Type Value) noexcept {
  return std::cmp_greater(Value, MaxExactInteger)
             ? MaxExactInteger
             : static_cast<std::int64_t>(Value);
}
} // namespace detail

/**
 * @brief Decodes an integer; a fraction is cut off.
 * @throws field_error if the value is no number or is outside the range or
 * beyond `MaxExactInteger`.
 */
template <std::integral Type>
[[nodiscard]] Type boundedInteger(const nlohmann::json &Value,
                                  const value_range<Type> Range = {}) {
  return static_cast<Type>(detail::integerIn(
      Value, detail::clampToExact(Range.Min), detail::clampToExact(Range.Max)));
}

/** @brief Like `boundedInteger`; a field that is missing or null has the
 * default. */
template <std::integral Type>
[[nodiscard]] Type boundedOr(const nlohmann::json &Json, const char *Key,
                             const Type Default,
                             const value_range<Type> Range = {}) {
  const auto Found = Json.find(Key);
  return Found == Json.end() || Found->is_null()
             ? Default
             : boundedInteger<Type>(*Found, Range);
}

/** @throws field_error if the value is not a text of at most `MaxBytes`. */
[[nodiscard]] const std::string &boundedText(const nlohmann::json &Value,
                                             std::size_t MaxBytes);

/** @brief Decodes a double.
 * @throws field_error if the value is no number or is outside the range. */
[[nodiscard]] double boundedNumber(const nlohmann::json &Value,
                                   value_range<double> Range);

/**
 * @brief Decodes CBOR as this program writes it. Recursion of the library is
 * bounded by a check of the nesting before.
 * @throws field_error if the bytes nest too deeply, use indefinite lengths or
 * tags, contain text that is not UTF-8, or are no CBOR.
 */
[[nodiscard]] nlohmann::json parseCbor(std::string_view Bytes);

/** @return Number of bytes of the UTF-8 character at the start of the text; 0
 * if there is none. */
[[nodiscard]] std::size_t characterLength(std::string_view Text) noexcept;
[[nodiscard]] bool isUtf8(std::string_view Text) noexcept;

} // namespace galenalink::job

#endif
