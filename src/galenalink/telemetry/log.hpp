#ifndef GALENALINK_TELEMETRY_LOG_HPP
#define GALENALINK_TELEMETRY_LOG_HPP

#include "galenalink/core/enum_names.hpp"
#include <cstdint>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>

namespace galenalink::telemetry {

enum class severity : std::uint8_t { Debug, Info, Warning, Error };

inline constexpr enum_names<severity, 4> SeverityNames{{
    {severity::Debug, "debug"},
    {severity::Info, "info"},
    {severity::Warning, "warning"},
    {severity::Error, "error"},
}};

/** @brief A named value of a log line. */
struct attribute {
  /**
   * @param Key Name of the value, snake_case.
   * @param Content Text of the value.
   */
  attribute(const std::string_view Key, std::string Content)
      : Name{Key}, Value{std::move(Content)} {}

  attribute(const std::string_view Key, const std::uint64_t Number)
      : Name{Key}, Value{std::to_string(Number)} {}

  std::string_view Name;
  std::string Value;
};

/**
 * @brief Sets up the process-wide sink on standard error.
 * @param Least Lines below this severity are dropped.
 * @param Json One JSON object a line instead of text.
 */
void openLog(severity Least, bool Json);

/**
 * @brief Sets up the process-wide sink on a descriptor, which is written
 * without blocking: a line that a full pipe does not take is lost and counted,
 * and the count is written when there is room again.
 */
void openLogOn(int Descriptor, severity Least, bool Json);
/** @return Lines that were lost since the start. */
[[nodiscard]] std::uint64_t lostLogLines() noexcept;

/** @brief Writes log lines with the fixed prefix of one module. */
class logger {
public:
  /** @param Module Prefix of each line; must outlive the logger. */
  explicit constexpr logger(const std::string_view Module) noexcept
      : Prefix{Module} {}

  /** @brief Writes one line: `prefix: message name=value ...`. */
  void write(severity Level, std::string_view Message,
             std::span<const attribute> Attributes) const;
  void write(const severity Level, const std::string_view Message,
             const std::initializer_list<attribute> Attributes = {}) const {
    write(Level, Message,
          std::span<const attribute>{Attributes.begin(), Attributes.size()});
  }

  void debug(const std::string_view Message,
             const std::initializer_list<attribute> Attributes = {}) const {
    write(severity::Debug, Message, Attributes);
  }

  void info(const std::string_view Message,
            const std::initializer_list<attribute> Attributes = {}) const {
    write(severity::Info, Message, Attributes);
  }

  void warning(const std::string_view Message,
               const std::initializer_list<attribute> Attributes = {}) const {
    write(severity::Warning, Message, Attributes);
  }

  void error(const std::string_view Message,
             const std::initializer_list<attribute> Attributes = {}) const {
    write(severity::Error, Message, Attributes);
  }

private:
  std::string_view Prefix;
};

} // namespace galenalink::telemetry

#endif
