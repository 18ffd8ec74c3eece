#ifndef GALENALINK_JOB_NODE_LISTENER_LIMITS_HPP
#define GALENALINK_JOB_NODE_LISTENER_LIMITS_HPP

#include "galenalink/http/server.hpp"
#include "galenalink/job_node/settings.hpp"
#include <algorithm>

namespace galenalink::job_node {

/** Descriptors that the platform reserves for files. */
inline constexpr std::size_t FileDescriptors = 200;

/** @return Descriptors of the process for connections. */
[[nodiscard]] constexpr std::size_t
connectionDescriptors(const settings &Settings) noexcept {
  return Settings.MaxDescriptors -
         std::min<std::size_t>(Settings.MaxDescriptors / 2, FileDescriptors);
}

/** @return A fraction of the machine's memory, bytes. */
[[nodiscard]] constexpr std::size_t
memoryFraction(const settings &Settings, const std::size_t Divisor) noexcept {
  return (std::size_t{Settings.MemoryMb} << 20U) / Divisor;
}

// The listeners may hold up to 0.3 of the memory together. Their connections
// and the idle ones to backend servers (a quarter of the descriptors, see
// serve.cpp) leave a tenth of the descriptors for calls in progress.

[[nodiscard]] inline http::server_options
callersLimits(const settings &Settings) {
  constexpr std::size_t MaxConnections = 1024;
  http::server_options Options;
  Options.Name = "callers";
  Options.MaxHeaderBytes = 16384;
  Options.MaxBodyBytes = 262144;
  Options.MaxConnections =
      std::min(connectionDescriptors(Settings) / 4, MaxConnections);
  Options.MaxBufferedBytes = memoryFraction(Settings, 16);
  Options.MaxLargeRequestBytes = memoryFraction(Settings, 16);
  return Options;
}

[[nodiscard]] inline http::server_options
peersLimits(const settings &Settings) {
  /** Nodes of the largest deployment times the connections that each may open
   * to the leader, with room for probes. */
  constexpr std::size_t MaxConnections = 4096;
  http::server_options Options;
  Options.Name = "peers";
  Options.MaxConnections =
      std::min(connectionDescriptors(Settings) * 3 / 8, MaxConnections);
  Options.MaxBufferedBytes = memoryFraction(Settings, 16);
  Options.MaxLargeRequestBytes = memoryFraction(Settings, 16);
  return Options;
}

/** @brief Limits of the listener for readiness checks and metrics, whose
 * requests have no body. */
[[nodiscard]] inline http::server_options
readinessLimits(const settings &Settings) {
  constexpr std::size_t MaxConnections = 128;
  constexpr std::size_t MaxBodyBytes = 4096;
  http::server_options Options;
  Options.Name = "readiness";
  Options.MaxBodyBytes = MaxBodyBytes;
  Options.MaxConnections =
      std::min(connectionDescriptors(Settings) / 32, MaxConnections);
  Options.MaxBufferedBytes = memoryFraction(Settings, 32);
  Options.MaxLargeRequestBytes = memoryFraction(Settings, 64);
  return Options;
}

} // namespace galenalink::job_node

#endif
