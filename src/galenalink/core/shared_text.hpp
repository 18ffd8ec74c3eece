#ifndef GALENALINK_CORE_SHARED_TEXT_HPP
#define GALENALINK_CORE_SHARED_TEXT_HPP

#include <memory>
#include <ostream>
#include <string>
#include <utility>

namespace galenalink {

/** @brief Immutable text that copies share, for bodies of several megabytes
 * that more than one part of a process holds. */
class shared_text {
public:
  shared_text() = default;
  shared_text(std::string Text)
      : Text{Text.empty()
                 ? nullptr
                 : std::make_shared<const std::string>(std::move(Text))} {}
  shared_text(const char *Text) : shared_text{std::string{Text}} {}

  [[nodiscard]] const std::string &str() const noexcept {
    static const std::string Empty;
    return Text ? *Text : Empty;
  }
  [[nodiscard]] operator const std::string &() const noexcept { return str(); }
  [[nodiscard]] std::size_t size() const noexcept { return str().size(); }
  [[nodiscard]] bool empty() const noexcept { return Text == nullptr; }

  [[nodiscard]] friend bool operator==(const shared_text &Left,
                                       const shared_text &Right) noexcept {
    return Left.Text == Right.Text || Left.str() == Right.str();
  }
  friend std::ostream &operator<<(std::ostream &Out, const shared_text &Text) {
    return Out << Text.str();
  }

private:
  /** Null if the text is empty. */
  std::shared_ptr<const std::string> Text;
};

} // namespace galenalink

#endif
