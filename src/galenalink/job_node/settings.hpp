#ifndef GALENALINK_JOB_NODE_SETTINGS_HPP
#define GALENALINK_JOB_NODE_SETTINGS_HPP

#include "galenalink/config/diagnostic.hpp"
#include "galenalink/config/settings.hpp"
#include "galenalink/job/leader.hpp"
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
  /** Key `advice`; empty if no queue uses placement tickets. */
  std::string TicketService;
  /** Longest lease that a backend server grants, ms. */
  std::uint32_t MaxLeaseMs{6000};
  /** Longest time that a backend server takes to end a run, ms. */
  std::uint32_t StopMs{400};
  /** Time from SIGTERM to SIGKILL, s. */
  double StopDeadlineS{6};
  /** Share of CPU time that the node may use, 0 to 1, and its speed during that
   * time as a multiple of one core. */
  double ProcessorShare{1};
  double ProcessorSpeed{1};
  /** Descriptors that the process may open. */
  std::uint32_t MaxDescriptors{4096};
  /** Memory of the machine, MB. */
  std::uint32_t MemoryMb{256};
  /** Bandwidth of the node's link, Mbit/s. */
  double LinkMbit{1000};
  /** Duration of a VM's move to another pool and of its maintenance, s. */
  double MoveS{1.5};
  double MaintenanceS{2};
  /** Key `holder_pause_ms`; minimum gap between the orders of two leaders for
   * one VM, ms. */
  std::uint32_t MinVmOrderGapMs{3000};
  /** Span over which the rates of customers are counted, s. */
  double RateWindowS{5};
  /** Customers share a full pool by their weights. */
  bool FairShares{true};
  job::load_shedding LoadShedding{job::load_shedding::Customers};
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

/** @return The address of the node for other nodes, as `HOST:PORT`. */
[[nodiscard]] inline std::string peerAddress(const settings &Settings) {
  return Settings.Peers.Host + ":" + std::to_string(Settings.Peers.Port);
}

} // namespace galenalink::job_node

#endif
