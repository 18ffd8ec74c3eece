#include "galenalink/config/detail/locate.hpp"
#include <charconv>
#include <set>
#include <string>

namespace galenalink::config::detail {

namespace {

/** @brief Cursor over well-formed JSON text with comments. */
class scanner {
public:
  explicit scanner(const std::string_view Source) noexcept : Text{Source} {}

  [[nodiscard]] std::size_t offset() const noexcept { return At; }

  [[nodiscard]] char peek() noexcept {
    skipBlanks();
    return At < Text.size() ? Text[At] : '\0';
  }

  bool accept(const char Expected) noexcept {
    if (peek() != Expected)
      return false;
    ++At;
    return true;
  }

  std::string_view string() noexcept {
    accept('"');
    const std::size_t Start = At;
    while (At < Text.size() && Text[At] != '"')
      At += Text[At] == '\\' ? 2 : 1;
    const auto Value = Text.substr(Start, At - Start);
    ++At;
    return Value;
  }

  void skipValue() noexcept {
    std::size_t Depth = 0;
    do {
      const char Next = peek();
      if (Next == '\0')
        return;
      if (Next == '"') {
        string();
      } else if (Next == '{' || Next == '[') {
        ++Depth;
        ++At;
      } else if (Next == '}' || Next == ']') {
        --Depth;
        ++At;
      } else if (Next == ',' || Next == ':') {
        ++At;
      } else {
        skipScalar();
      }
    } while (Depth > 0);
  }

private:
  void skipScalar() noexcept {
    while (At < Text.size() && std::string_view{",:{}[]\" \t\r\n/"}.find(
                                   Text[At]) == std::string_view::npos)
      ++At;
  }

  void skipBlanks() noexcept {
    while (At < Text.size()) {
      if (std::string_view{" \t\r\n"}.find(Text[At]) !=
          std::string_view::npos) {
        ++At;
      } else if (Text.substr(At, 2) == "//") {
        At = std::min(Text.find('\n', At), Text.size());
      } else if (Text.substr(At, 2) == "/*") {
        const auto End = Text.find("*/", At + 2);
        At = End == std::string_view::npos ? Text.size() : End + 2;
      } else {
        return;
      }
    }
  }

  std::string_view Text;
  std::size_t At{0};
};

/** @brief Moves to the member `Key` of an object; false if it has none. */
bool enterMember(scanner &Scanner, const std::string_view Key,
                 std::size_t &Found) {
  if (!Scanner.accept('{'))
    return false;
  while (Scanner.peek() == '"') {
    const std::size_t KeyAt = Scanner.offset();
    const auto Name = Scanner.string();
    Scanner.accept(':');
    if (Name == Key) {
      Found = KeyAt;
      return true;
    }
    Scanner.skipValue();
    Scanner.accept(',');
  }
  return false;
}

/** @brief Moves to the element `Index` of an array; false if it has none. */
bool enterElement(scanner &Scanner, const std::string_view Index,
                  std::size_t &Found) {
  std::size_t Skip = 0;
  const auto Parsed =
      std::from_chars(Index.data(), Index.data() + Index.size(), Skip);
  if (Parsed.ec != std::errc{} || !Scanner.accept('['))
    return false;
  for (; Skip > 0; --Skip) {
    if (Scanner.peek() == ']' || Scanner.peek() == '\0')
      return false;
    Scanner.skipValue();
    Scanner.accept(',');
  }
  if (Scanner.peek() == ']')
    return false;
  Found = Scanner.offset();
  return true;
}

} // namespace

position positionOf(const std::string_view Text,
                    const std::size_t Byte) noexcept {
  position Position;
  for (const char Character : Text.substr(0, Byte)) {
    if (Character == '\n') {
      ++Position.Line;
      Position.Column = 1;
    } else {
      ++Position.Column;
    }
  }
  return Position;
}

position locate(const std::string_view Text, std::string_view Path) {
  scanner Scanner{Text};
  static_cast<void>(Scanner.peek());
  std::size_t Found = Scanner.offset();
  while (!Path.empty()) {
    Path.remove_prefix(1);
    const auto Step = Path.substr(0, Path.find('/'));
    Path.remove_prefix(Step.size());
    const bool Entered = Scanner.peek() == '['
                             ? enterElement(Scanner, Step, Found)
                             : enterMember(Scanner, Step, Found);
    if (!Entered)
      break;
  }
  return positionOf(Text, Found);
}

std::vector<std::size_t> findRepeatedKeys(const std::string_view Text) {
  std::vector<std::size_t> Found;
  std::vector<std::set<std::string_view>> Open;
  scanner Scanner{Text};
  for (char Next = Scanner.peek(); Next != '\0'; Next = Scanner.peek()) {
    if (Scanner.accept('{') || Scanner.accept('[')) {
      Open.emplace_back();
    } else if (Scanner.accept('}') || Scanner.accept(']')) {
      if (!Open.empty())
        Open.pop_back();
    } else if (Next == '"') {
      const std::size_t At = Scanner.offset();
      const auto Name = Scanner.string();
      const bool IsKey = Scanner.accept(':') && !Open.empty();
      if (IsKey && !Open.back().insert(Name).second)
        Found.push_back(At);
    } else {
      Scanner.skipValue();
    }
  }
  return Found;
}

} // namespace galenalink::config::detail
