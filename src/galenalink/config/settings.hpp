#ifndef GALENALINK_CONFIG_SETTINGS_HPP
#define GALENALINK_CONFIG_SETTINGS_HPP

#include "galenalink/config/diagnostic.hpp"
#include "galenalink/core/enum_names.hpp"
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace galenalink::config {

/** @brief An address to listen on; port 0 lets the system choose. */
struct listener {
  std::string Host{"127.0.0.1"};
  std::uint16_t Port{0};
  /** File with the bearer token; empty on the callers' listener. */
  std::string TokenFile;
};

enum class platform_kind : std::uint8_t { Embedded, Http };

inline constexpr enum_names<platform_kind, 2> PlatformKindNames{{
    {platform_kind::Embedded, "embedded"},
    {platform_kind::Http, "http"},
}};

enum class log_format : std::uint8_t { Text, Json };

inline constexpr enum_names<log_format, 2> LogFormatNames{{
    {log_format::Text, "text"},
    {log_format::Json, "json"},
}};

enum class log_level : std::uint8_t { Debug, Info, Warning, Error };

inline constexpr enum_names<log_level, 4> LogLevelNames{{
    {log_level::Debug, "debug"},
    {log_level::Info, "info"},
    {log_level::Warning, "warning"},
    {log_level::Error, "error"},
}};

/** @brief A VM that the embedded platform lists. */
struct listed_vm {
  std::string Vm;
  std::string Customer;
  std::string DataCentre;
  std::string Rack;
  std::string Address;
  std::string Pool;
};

struct platform {
  platform_kind Kind{platform_kind::Embedded};
  /** Address of the platform's HTTP interface, `host:port`. */
  std::string Address;
  std::vector<listed_vm> Vms;
};

/** @brief Settings of one entry node, read once at start. */
struct settings {
  std::string Name;
  std::string DataCentre;
  std::string Customer;
  listener Callers;
  listener Operators;
  listener Peers;
  /** Peer addresses used before the roster is known. */
  std::vector<std::string> Seeds;
  platform Platform;
  std::uint32_t AuthorityMs{1500};
  std::uint32_t HeartbeatMs{500};
  std::uint32_t SuspectMs{1500};
  std::uint32_t OutageAllowanceS{900};
  std::uint32_t DurabilityReplicas{2};
  std::uint32_t KeyRetentionS{3600};
  std::uint32_t StopDeadlineMs{30000};
  log_level Level{log_level::Info};
  log_format Format{log_format::Text};
};

/**
 * @brief Parses and checks the settings of a node.
 * @param Name Name of the file, used in diagnostics.
 * @param Text JSON with comments.
 * @param Out Receives the settings; complete only if nothing was found.
 * @return Every error found, empty if the settings are valid.
 */
[[nodiscard]] std::vector<diagnostic>
parseSettings(std::string_view Name, std::string_view Text, settings &Out);

} // namespace galenalink::config

#endif
