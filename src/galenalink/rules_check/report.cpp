#include "galenalink/rules_check/report.hpp"
#include "galenalink/job/json_fields.hpp"
#include <algorithm>
#include <charconv>
#include <limits>

namespace galenalink::rules_check {

namespace {

constexpr std::size_t MaxQuotedCharacters = 80;
constexpr std::size_t MaxKeyCharacters = 4;

std::size_t countCharacters(std::string_view Text) noexcept {
  std::size_t Count = 0;
  for (; !Text.empty(); ++Count)
    Text.remove_prefix(std::max<std::size_t>(job::characterLength(Text), 1));
  return Count;
}

/** @brief Quoted start of a text, with an ellipsis if it is shortened. */
std::string quoteStart(const std::string_view Text,
                       const std::size_t Characters) {
  std::size_t Size = 0;
  for (std::size_t I = 0; I < Characters && Size < Text.size(); ++I)
    Size += std::max<std::size_t>(job::characterLength(Text.substr(Size)), 1);
  std::string Quoted = '"' + std::string{Text.substr(0, Size)};
  if (Size < Text.size())
    Quoted += "...";
  return Quoted + '"';
}

} // namespace

void report::add(const severity Severity, const location &At,
                 std::string Message) {
  finding Finding{Severity, Document.Locate(At)};
  Finding.Diagnostic.Message = std::move(Message);
  Findings.push_back(std::move(Finding));
}

std::string report::nameOf(const field Field) const {
  return quote(Document.Words.FieldName(Field));
}

std::string report::describe(const entry_kind Kind,
                             const std::string_view Name) const {
  return std::string{Document.Words.EntryName(Kind)} + ' ' + quote(Name);
}

std::string quote(const std::string_view Text) {
  return quoteStart(Text, MaxQuotedCharacters);
}

std::string maskKey(const std::string_view Key) {
  return quoteStart(Key, std::min(MaxKeyCharacters, countCharacters(Key) / 2));
}

std::string toText(const double Number) {
  // The shortest text of a double has at most 24 characters.
  std::array<char, 32> Buffer{};
  const auto End =
      std::to_chars(Buffer.data(), Buffer.data() + Buffer.size(), Number);
  return {Buffer.data(), End.ptr};
}

} // namespace galenalink::rules_check
