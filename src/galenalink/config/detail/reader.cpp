#include "galenalink/config/detail/reader.hpp"
#include "galenalink/config/detail/locate.hpp"
#include <algorithm>
#include <numeric>

namespace galenalink::config::detail {

namespace {

/** @brief Levenshtein distance of two short strings. */
std::size_t editDistance(const std::string_view Left,
                         const std::string_view Right) {
  std::vector<std::size_t> Row(Right.size() + 1);
  std::iota(Row.begin(), Row.end(), 0);
  for (std::size_t I = 1; I <= Left.size(); ++I) {
    std::size_t Diagonal = Row[0];
    Row[0] = I;
    for (std::size_t J = 1; J <= Right.size(); ++J) {
      const std::size_t Replace =
          Diagonal + (Left[I - 1] == Right[J - 1] ? 0 : 1);
      Diagonal = Row[J];
      Row[J] = std::min({Row[J] + 1, Row[J - 1] + 1, Replace});
    }
  }
  return Row.back();
}

/** @brief The library gives the number, but not where it stands. */
diagnostic numberOverflow(const report &Report, const std::string &Error) {
  const auto Open = Error.find('\'');
  const auto Number = Error.substr(Open + 1, Error.rfind('\'') - Open - 1);
  const auto Position = positionOf(Report.Text, Report.Text.find(Number));
  return {Report.File, Position.Line, Position.Column, "",
          "not valid JSON: a number is too large for a double"};
}

} // namespace

void report::add(const std::string &Path, std::string Message) {
  const auto Position = locate(Text, Path);
  Diagnostics.push_back(
      {File, Position.Line, Position.Column, Path, std::move(Message)});
}

std::optional<nlohmann::json> parseJson(report &Report,
                                        const comments Comments) {
  try {
    return nlohmann::json::parse(Report.Text, nullptr, true,
                                 Comments == comments::Skip);
  } catch (const nlohmann::json::parse_error &Error) {
    const std::size_t Byte = Error.byte == 0 ? 0 : Error.byte - 1;
    const auto Position = positionOf(Report.Text, Byte);
    // The library prefixes its own code and position; only the cause helps.
    std::string Cause = Error.what();
    if (const auto Colon = Cause.find(": "); Colon != std::string::npos)
      Cause.erase(0, Colon + 2);
    Report.Diagnostics.push_back({Report.File, Position.Line, Position.Column,
                                  "", "not valid JSON: " + Cause});
    return std::nullopt;
  } catch (const nlohmann::json::out_of_range &Error) {
    Report.Diagnostics.push_back(numberOverflow(Report, Error.what()));
    return std::nullopt;
  }
}

std::string describeUnknown(const std::string_view Name,
                            const std::vector<std::string> &Known) {
  const auto Nearest =
      std::ranges::min_element(Known, {}, [&](const std::string &Each) {
        return editDistance(Name, Each);
      });
  return Nearest == Known.end()
             ? "is not known here"
             : "is not known here; did you mean \"" + *Nearest + "\"?";
}

reader::reader(const nlohmann::json &Value, std::string ObjectPath,
               report &Target)
    : Object{Value}, Path{std::move(ObjectPath)}, Report{Target} {
  if (!Object.is_object())
    Report.add(Path, "must be an object");
}

const nlohmann::json *reader::find(const std::string_view Key) {
  Known.emplace_back(Key);
  if (!Object.is_object())
    return nullptr;
  const auto Found = Object.find(Key);
  return Found == Object.end() ? nullptr : &*Found;
}

void reader::fail(const std::string_view Key, std::string Message) {
  Report.add(Path + '/' + std::string{Key}, std::move(Message));
}

reader &reader::text(const std::string_view Key, std::string &Out,
                     const bool Required) {
  const auto *Value = find(Key);
  if (Value == nullptr) {
    if (Required)
      Report.add(Path, "lacks \"" + std::string{Key} + "\", a string");
  } else if (!Value->is_string()) {
    fail(Key, "must be a string");
  } else if (Required && Value->get_ref<const std::string &>().empty()) {
    fail(Key, "must not be empty");
  } else {
    Out = Value->get<std::string>();
  }
  return *this;
}

reader &reader::flag(const std::string_view Key, bool &Out) {
  if (const auto *Value = find(Key)) {
    if (Value->is_boolean())
      Out = Value->get<bool>();
    else
      fail(Key, "must be true or false");
  }
  return *this;
}

std::optional<std::uint64_t> reader::integer(const std::string_view Key,
                                             const range Range) {
  const auto *Value = find(Key);
  if (Value == nullptr)
    return std::nullopt;
  if (Value->is_number_unsigned()) {
    const auto Number = Value->get<std::uint64_t>();
    if (Number >= Range.Low && Number <= Range.High)
      return Number;
  }
  std::string Message = "must be a whole number from " +
                        std::to_string(Range.Low) + " to " +
                        std::to_string(Range.High);
  if (!Range.Unit.empty())
    Message += ' ' + std::string{Range.Unit};
  fail(Key, std::move(Message));
  return std::nullopt;
}

reader &reader::decimal(const std::string_view Key, double &Out,
                        const range Range) {
  const auto *Value = find(Key);
  if (Value == nullptr)
    return *this;
  if (Value->is_number()) {
    const auto Number = Value->get<double>();
    if (Number >= static_cast<double>(Range.Low) &&
        Number <= static_cast<double>(Range.High)) {
      Out = Number;
      return *this;
    }
  }
  std::string Message = "must be a number from " + std::to_string(Range.Low) +
                        " to " + std::to_string(Range.High);
  if (!Range.Unit.empty())
    Message += ' ' + std::string{Range.Unit};
  fail(Key, std::move(Message));
  return *this;
}

reader &reader::object(const std::string_view Key,
                       const std::function<void(reader &)> &Read) {
  if (const auto *Value = find(Key)) {
    reader Nested{*Value, Path + '/' + std::string{Key}, Report};
    Read(Nested);
    Nested.finish();
  }
  return *this;
}

reader &reader::array(const std::string_view Key,
                      const std::function<void(reader &)> &Read) {
  const auto *Value = find(Key);
  if (Value == nullptr)
    return *this;
  if (!Value->is_array()) {
    fail(Key, "must be an array");
    return *this;
  }
  for (std::size_t Index = 0; Index < Value->size(); ++Index) {
    reader Nested{(*Value)[Index],
                  Path + '/' + std::string{Key} + '/' + std::to_string(Index),
                  Report};
    Read(Nested);
    Nested.finish();
  }
  return *this;
}

reader &reader::texts(const std::string_view Key,
                      std::vector<std::string> &Out) {
  const auto *Value = find(Key);
  if (Value == nullptr)
    return *this;
  const bool Strings =
      Value->is_array() &&
      std::all_of(Value->begin(), Value->end(),
                  [](const auto &Item) { return Item.is_string(); });
  if (Strings)
    Out = Value->get<std::vector<std::string>>();
  else
    fail(Key, "must be an array of strings");
  return *this;
}

void reader::finish() {
  if (!Object.is_object())
    return;
  for (const auto &[Key, Unused] : Object.items()) {
    if (std::find(Known.begin(), Known.end(), Key) != Known.end())
      continue;
    fail(Key, describeUnknown(Key, Known));
  }
}

} // namespace galenalink::config::detail
