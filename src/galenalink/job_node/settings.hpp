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
  /** Listening address for callers, `host:port`. */
  std::string Callers;
  /** Listening address for readiness checks of the load balancer and for
   * metrics, `host:port`. */
  std::string Readiness;
  /** Listening address for other nodes. */
  config::listener Peers;
  /** Addresses of the platform's services, `host:port`. */
  std::string Store;
  std::string VmList;
  std::string TicketService;
  /** Longest lease that a backend server grants, ms. */
  std::uint32_t MaxLeaseMs{6000};
  /** Time from SIGTERM to SIGKILL, s. */
  double StopDeadlineS{6};
  /** Share of a core that the node may use, and its speed meanwhile as a
   * multiple of one core. */
  double ProcessorShare{1};
  double ProcessorSpeed{1};
  /** How long moving a VM to another pool and its maintenance take, s. */
  double MoveS{1.5};
  double MaintenanceS{2};
  /** Minimum gap between the orders of two leaders for one VM, ms. */
  std::uint32_t MinVmOrderGapMs{3000};
  config::log_level Level{config::log_level::Info};
  config::log_format Format{config::log_format::Json};
};

/**
 * @brief Parses and checks the settings.
 * @param Name Name of the file, used in diagnostics.
 * @param Text JSON with comments.
 * @param Out Receives the settings; complete only if there are no errors.
 * @return Every error found, empty if the settings are valid.
 */
[[nodiscard]] std::vector<config::diagnostic>
parseSettings(std::string_view Name, std::string_view Text, settings &Out);

} // namespace galenalink::job_node

#endif
