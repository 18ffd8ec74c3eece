#ifndef GALENALINK_TEST_RULES_CHECK_RULES_HPP
#define GALENALINK_TEST_RULES_CHECK_RULES_HPP

#include "galenalink/rules_check/document.hpp"
#include "galenalink/rules_check/finding.hpp"
#include <algorithm>

/** Documents without a text: a path names kind, index, field and item by their
 * numbers, and the line is the index plus 1. */
namespace galenalink::rules_check {

inline std::string pathOf(const location &At) {
  std::string Path = std::to_string(static_cast<int>(At.Kind)) + '/' +
                     std::to_string(At.Index);
  if (At.Field)
    Path += "/f" + std::to_string(static_cast<int>(*At.Field));
  if (At.Item)
    Path += "/i" + std::to_string(*At.Item);
  return Path;
}

inline document documentOf(job::fleet_rules Rules,
                           const std::string &File = "new") {
  document Document;
  Document.Rules = std::move(Rules);
  Document.Words = {[](entry_kind) -> std::string_view { return "entry"; },
                    [](field) -> std::string_view { return "field"; }};
  Document.Locate = [File](const location &At) {
    return config::diagnostic{
        File, static_cast<std::uint32_t>(At.Index + 1), 1, pathOf(At), {}};
  };
  return Document;
}

/** @brief A queue without findings, if `pool` is listed. */
inline job::queue_rule queueAt(const std::string &Name, const std::string &Host,
                               const std::string &Prefix) {
  job::queue_rule Queue;
  Queue.Name = Name;
  Queue.Host = Host;
  Queue.PathPrefix = Prefix;
  Queue.Pool = "pool";
  Queue.SlackMs = 100;
  return Queue;
}

/** @brief Rules without findings: one queue, one pool, two customers. */
inline job::fleet_rules soundRules() {
  job::fleet_rules Rules;
  Rules.Version = 1;
  Rules.Queues = {queueAt("q", "h", "/q/")};
  Rules.Pools = {{"pool", false, false}};
  Rules.Customers = {
      {{"a", {"key-of-a"}, 2, {1000, 100, 0}}, {"b", {"key-of-b"}, 1, {}}}};
  return Rules;
}

/** @brief Number of findings with the severity at the location. */
inline std::size_t count(const std::vector<finding> &Findings,
                         const severity Severity, const location &At,
                         const std::string &File = "new") {
  return static_cast<std::size_t>(
      std::ranges::count_if(Findings, [&](const finding &Each) {
        return Each.Severity == Severity && Each.Diagnostic.File == File &&
               Each.Diagnostic.Path == pathOf(At);
      }));
}

/** @brief Whether a finding's message contains the text. */
inline bool mentions(const std::vector<finding> &Findings,
                     const std::string &Text) {
  return std::ranges::any_of(Findings, [&](const finding &Each) {
    return Each.Diagnostic.Message.find(Text) != std::string::npos;
  });
}

} // namespace galenalink::rules_check

#endif
