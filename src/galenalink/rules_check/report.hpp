#ifndef GALENALINK_RULES_CHECK_REPORT_HPP
#define GALENALINK_RULES_CHECK_REPORT_HPP

#include "galenalink/rules_check/document.hpp"
#include "galenalink/rules_check/finding.hpp"

namespace galenalink::rules_check {

/** @brief Collects the findings on one document. */
class report {
public:
  /** @param Target Receives the findings; document and target must outlive the
   * report. */
  report(const document &Document, std::vector<finding> &Target) noexcept
      : Document{Document}, Findings{Target} {}

  void add(severity Severity, const location &At, std::string Message);

  [[nodiscard]] std::uint32_t lineOf(const location &At) const {
    return Document.Locate(At).Line;
  }
  /** @brief Quoted name of a field. */
  [[nodiscard]] std::string nameOf(field Field) const;
  /** @brief Kind and quoted name of an entry, such as `queue "a"`. */
  [[nodiscard]] std::string describe(entry_kind Kind,
                                     std::string_view Name) const;

private:
  const document &Document;
  std::vector<finding> &Findings;
};

/** @brief Text in quotation marks; shortened if it is long. */
[[nodiscard]] std::string quote(std::string_view Text);
/** @brief Quoted start of a key. Keys are secrets, so at most four characters
 * and at most half of a key are shown. */
[[nodiscard]] std::string maskKey(std::string_view Key);
/** @brief A number without trailing zeros. */
[[nodiscard]] std::string toText(double Number);

} // namespace galenalink::rules_check

#endif
