#ifndef GALENALINK_CONFIG_DETAIL_READER_HPP
#define GALENALINK_CONFIG_DETAIL_READER_HPP

#include "galenalink/config/diagnostic.hpp"
#include "galenalink/core/enum_names.hpp"
#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace galenalink::config::detail {

/** @brief Errors of one document, in the order in which they were found. */
struct report {
  std::string File;
  std::string Text;
  std::vector<diagnostic> Diagnostics;

  void add(const std::string &Path, std::string Message);
};

/** @brief Range of an integer setting, with its unit for messages. */
struct range {
  std::uint64_t Low{0};
  std::uint64_t High{UINT32_MAX};
  std::string_view Unit;
};

/** @brief Whether comments in JSON are skipped or are an error. */
enum class comments : std::uint8_t { Skip, Reject };

/**
 * @brief Parses JSON.
 * @return The value, or nothing after the error was added to the report.
 */
[[nodiscard]] std::optional<nlohmann::json>
parseJson(report &Report, comments Comments = comments::Skip);

/** @brief Message on an unknown member, with the most similar known name. */
[[nodiscard]] std::string
describeUnknown(std::string_view Name, const std::vector<std::string> &Known);

/**
 * @brief Reads the members of one JSON object into an aggregate, checks their
 * types and ranges, and reports members that no one asked for.
 */
class reader {
public:
  reader(const nlohmann::json &Value, std::string ObjectPath, report &Target);

  reader &text(std::string_view Key, std::string &Out, bool Required = false);
  reader &flag(std::string_view Key, bool &Out);

  template <typename Integer>
  reader &number(const std::string_view Key, Integer &Out, const range Range) {
    if (const auto Value = integer(Key, Range))
      Out = static_cast<Integer>(*Value);
    return *this;
  }

  /** @brief Reads a number that may have a fraction. */
  reader &decimal(std::string_view Key, double &Out, range Range);

  template <typename Enum, std::size_t N>
  reader &choice(const std::string_view Key, Enum &Out,
                 const enum_names<Enum, N> &Names) {
    std::string Text;
    if (find(Key) == nullptr)
      return *this;
    text(Key, Text);
    if (const auto Value = parseName(Names, Text)) {
      Out = *Value;
      return *this;
    }
    std::string Known;
    for (const auto &[Unused, Name] : Names)
      Known += (Known.empty() ? "\"" : ", \"") + std::string{Name} + '"';
    fail(Key, "must be one of " + Known);
    return *this;
  }

  /** @brief Calls `Read` with a reader for the object at `Key`, if any. */
  reader &object(std::string_view Key,
                 const std::function<void(reader &)> &Read);

  /** @brief Calls `Read` with a reader for each object of the array. */
  reader &array(std::string_view Key,
                const std::function<void(reader &)> &Read);

  /** @brief Reads an array of strings. */
  reader &texts(std::string_view Key, std::vector<std::string> &Out);

  /** @brief Reports members that were not read, with the nearest known one. */
  void finish();

  void fail(std::string_view Key, std::string Message);

private:
  [[nodiscard]] const nlohmann::json *find(std::string_view Key);
  [[nodiscard]] std::optional<std::uint64_t> integer(std::string_view Key,
                                                     range Range);

  const nlohmann::json &Object;
  std::string Path;
  report &Report;
  std::vector<std::string> Known;
};

} // namespace galenalink::config::detail

#endif
