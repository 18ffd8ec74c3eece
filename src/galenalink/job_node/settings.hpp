#ifndef GALENALINK_JOB_NODE_SETTINGS_HPP
#define GALENALINK_JOB_NODE_SETTINGS_HPP

#include "galenalink/config/diagnostic.hpp"
#include "galenalink/config/settings.hpp"
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace galenalink::job_node {

/** @brief Settings of a node on the users' platform. */
struct settings {
  std::string Name;
  std::string DataCentre;
  /** Where callers connect, `host:port`. */
  std::string Callers;
  /** Where the load balancer asks for readiness and metrics are served. */
  std::string Readiness;
  /** Where other nodes connect. */
  config::listener Peers;
  /** Addresses of the platform's services. */
  std::string Store;
  std::string VmList;
  std::string Advice;
  /** Longest lease that a backend server grants, ms. */
  std::uint32_t MaxLeaseMs{6000};
  /** Time from SIGTERM to SIGKILL, s. */
  double StopDeadlineS{6};
  /** Share of a core that the node may use, and how many times as fast as one
   * core it is meanwhile. */
  double ProcessorShare{1};
  double ProcessorSpeed{1};
  /** How long a VM takes to change its pool, and for maintenance, s. */
  double MoveS{1.5};
  double MaintenanceS{2};
  /** Two nodes' orders for one VM are at least this far apart, ms. */
  std::uint32_t HolderPauseMs{3000};
  config::log_level Level{config::log_level::Info};
  config::log_format Format{config::log_format::Json};
};

/**
 * @brief Parses and checks the settings.
 * @param Name Name of the file, used in diagnostics.
 * @param Text JSON with comments.
 * @param Out Receives the settings; complete only if nothing was found.
 * @return Every error found, empty if the settings are valid.
 */
[[nodiscard]] std::vector<config::diagnostic>
parseSettings(std::string_view Name, std::string_view Text, settings &Out);

} // namespace galenalink::job_node

#endif
