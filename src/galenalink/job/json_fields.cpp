#include "galenalink/job/json_fields.hpp"
#include <cmath>
#include <optional>
#include <vector>

namespace galenalink::job {

namespace {

using nlohmann::json;

/** Records nest at most 6 levels. */
constexpr std::size_t MaxCborDepth = 16;

/** Types of CBOR items: the upper three bits of an item's first byte. */
enum class cbor_type : std::uint8_t {
  Unsigned,
  Negative,
  Bytes,
  Text,
  Array,
  Map,
  Tag,
  Simple,
};

/** @brief Checks CBOR without recursion. */
class cbor_checker {
public:
  explicit cbor_checker(const std::string_view Bytes) : Rest{Bytes} {}

  [[nodiscard]] bool check() {
    Open.push_back(1);
    while (!Open.empty()) {
      if (Open.back() == 0) {
        Open.pop_back();
        continue;
      }
      --Open.back();
      if (!checkItem())
        return false;
    }
    return Rest.empty();
  }

private:
  [[nodiscard]] std::optional<std::uint64_t> takeNumber(std::size_t Size) {
    if (Rest.size() < Size)
      return std::nullopt;
    std::uint64_t Value = 0;
    for (; Size > 0; --Size) {
      Value = Value << 8U | static_cast<std::uint8_t>(Rest.front());
      Rest.remove_prefix(1);
    }
    return Value;
  }

  [[nodiscard]] bool open(const std::uint64_t Items) {
    // Each item has at least one byte.
    if (Items > Rest.size() || Open.size() > MaxCborDepth)
      return false;
    Open.push_back(Items);
    return true;
  }

  [[nodiscard]] bool skipString(const std::uint64_t Size, const bool IsText) {
    if (Size > Rest.size() || (IsText && !isUtf8(Rest.substr(0, Size))))
      return false;
    Rest.remove_prefix(Size);
    return true;
  }

  [[nodiscard]] bool checkItem() {
    const auto First = takeNumber(1);
    if (!First)
      return false;
    const auto Type = static_cast<cbor_type>(*First >> 5U);
    const std::uint64_t Info = *First & 31U;
    // 28 to 30 are reserved, 31 is an indefinite length.
    if (Info >= 28)
      return false;
    std::optional<std::uint64_t> Value = Info;
    if (Info >= 24)
      Value = takeNumber(std::size_t{1} << (Info - 24U));
    if (!Value)
      return false;
    switch (Type) {
    case cbor_type::Bytes:
    case cbor_type::Text:
      return skipString(*Value, Type == cbor_type::Text);
    case cbor_type::Array:
      return open(*Value);
    case cbor_type::Map:
      return *Value <= Rest.size() && open(2 * *Value);
    case cbor_type::Tag:
      return false;
    default:
      return true;
    }
  }

  std::string_view Rest;
  /** Items that are missing at each open level. */
  std::vector<std::uint64_t> Open;
};

} // namespace

std::int64_t detail::integerIn(const json &Value, const std::int64_t Min,
                               const std::int64_t Max) {
  const auto Check = [&](const auto Number) {
    if (std::cmp_less(Number, Min) || std::cmp_greater(Number, Max))
      throw field_error{"number out of range: " + std::to_string(Number)};
    return static_cast<std::int64_t>(Number);
  };
  if (Value.is_number_unsigned())
    return Check(Value.get<std::uint64_t>());
  if (Value.is_number_integer())
    return Check(Value.get<std::int64_t>());
  return static_cast<std::int64_t>(std::trunc(boundedNumber(
      Value, {static_cast<double>(Min), static_cast<double>(Max)})));
}

const std::string &boundedText(const json &Value, const std::size_t MaxBytes) {
  const auto *Text = Value.get_ptr<const std::string *>();
  if (Text == nullptr)
    throw field_error{std::string{"expected a text, not "} + Value.type_name()};
  if (Text->size() > MaxBytes)
    throw field_error{"text of " + std::to_string(Text->size()) + " bytes"};
  return *Text;
}

double boundedNumber(const json &Value, const value_range<double> Range) {
  if (!Value.is_number())
    throw field_error{std::string{"expected a number, not "} +
                      Value.type_name()};
  const auto Number = Value.get<double>();
  // Also false for a NaN.
  if (!(Number >= Range.Min && Number <= Range.Max))
    throw field_error{"number out of range: " + std::to_string(Number)};
  return Number;
}

json parseCbor(const std::string_view Bytes) {
  if (!cbor_checker{Bytes}.check())
    throw field_error{"not a valid record"};
  try {
    return json::from_cbor(Bytes);
  } catch (const json::exception &Error) {
    throw field_error{Error.what()};
  }
}

std::size_t characterLength(const std::string_view Text) noexcept {
  if (Text.empty())
    return 0;
  const auto First = static_cast<std::uint8_t>(Text.front());
  if (First < 0x80)
    return 1;
  const std::size_t Size = First >= 0xF0 ? 4 : First >= 0xE0 ? 3 : 2;
  if (First < 0xC2 || First > 0xF4 || Text.size() < Size)
    return 0;
  for (std::size_t I = 1; I < Size; ++I) {
    if ((static_cast<std::uint8_t>(Text[I]) & 0xC0U) != 0x80)
      return 0;
  }
  const auto Second = static_cast<std::uint8_t>(Text[1]);
  // Overlong encodings, surrogates and values above the last code point.
  const bool Invalid =
      (First == 0xE0 && Second < 0xA0) || (First == 0xED && Second > 0x9F) ||
      (First == 0xF0 && Second < 0x90) || (First == 0xF4 && Second > 0x8F);
  return Invalid ? 0 : Size;
}

bool isUtf8(std::string_view Text) noexcept {
  while (!Text.empty()) {
    const std::size_t Size = characterLength(Text);
    if (Size == 0)
      return false;
    Text.remove_prefix(Size);
  }
  return true;
}

} // namespace galenalink::job
