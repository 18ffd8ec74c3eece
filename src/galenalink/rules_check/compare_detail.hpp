#ifndef GALENALINK_RULES_CHECK_COMPARE_DETAIL_HPP
#define GALENALINK_RULES_CHECK_COMPARE_DETAIL_HPP

#include "galenalink/rules_check/report.hpp"
#include <algorithm>

namespace galenalink::rules_check::detail {

/** @brief The two configurations and the reports on them. */
struct comparison {
  const document &New;
  const document &Old;
  report &ToNew;
  /** For entries that only the old configuration has. */
  report &ToOld;
};

void compareQueues(const comparison &Both);
void comparePools(const comparison &Both);
void compareCustomers(const comparison &Both);

/** @brief What a change means, and how severe that is. */
struct consequence {
  severity Severity{severity::Note};
  std::string_view Text;
};

/** @brief Reports the changed fields of an entry that both configurations
 * have. */
class entry_changes {
public:
  entry_changes(const comparison &Both, const entry_kind Kind,
                const std::string_view Name, const std::size_t OldIndex,
                const std::size_t NewIndex)
      : Both{Both}, Kind{Kind}, Name{Name}, OldIndex{OldIndex}, NewIndex{
                                                                    NewIndex} {}

  void add(field Field, std::string_view From, std::string_view To,
           const consequence &Consequence);
  void compareText(field Field, const std::string &From, const std::string &To,
                   const consequence &Consequence);
  void compareFlag(field Field, bool From, bool To, const consequence &Set,
                   const consequence &Cleared);
  void compareNumber(field Field, double From, double To,
                     const consequence &Lowered, const consequence &Raised);
  /** @brief Compares the fields that the nodes do not use. */
  void compareUnused();

private:
  const comparison &Both;
  entry_kind Kind;
  std::string_view Name;
  std::size_t OldIndex;
  std::size_t NewIndex;
};

/** @return Index of the first entry with the name; nothing if there is none. */
template <typename Rows>
[[nodiscard]] std::optional<std::size_t> indexOf(const Rows &Entries,
                                                 const std::string &Name) {
  const auto Found = std::ranges::find(Entries, Name, &Rows::value_type::Name);
  if (Found == Entries.end())
    return std::nullopt;
  return static_cast<std::size_t>(Found - Entries.begin());
}

/**
 * @brief Calls a function for each entry that was removed (with its old index),
 * was added (with its new index) or is in both (with both).
 */
template <typename Rows, typename Removed, typename Added, typename Kept>
void matchEntries(const Rows &Old, const Rows &New, const Removed &OnRemoved,
                  const Added &OnAdded, const Kept &OnKept) {
  for (std::size_t I = 0; I < Old.size(); ++I) {
    if (!indexOf(New, Old[I].Name))
      OnRemoved(I);
  }
  for (std::size_t I = 0; I < New.size(); ++I) {
    if (const auto Before = indexOf(Old, New[I].Name))
      OnKept(*Before, I);
    else
      OnAdded(I);
  }
}

} // namespace galenalink::rules_check::detail

#endif
