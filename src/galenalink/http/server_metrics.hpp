#ifndef GALENALINK_HTTP_SERVER_METRICS_HPP
#define GALENALINK_HTTP_SERVER_METRICS_HPP

#include "galenalink/http/server.hpp"
#include "galenalink/telemetry/metrics.hpp"
#include <map>

namespace galenalink::http {

/** @brief Exports the state and the counters of servers as metrics. */
class server_metrics {
public:
  /** @brief Sets the metrics of one server, labelled by its name. */
  void update(telemetry::metrics &Metrics, const server &Server);

private:
  /** Counters that were exported last, by the server's name. */
  std::map<std::string, server_counters> Exported;
};

} // namespace galenalink::http

#endif
