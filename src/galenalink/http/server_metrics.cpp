#include "galenalink/http/server_metrics.hpp"

namespace galenalink::http {

void server_metrics::update(telemetry::metrics &Metrics, const server &Server) {
  const std::string &Name = Server.name();
  const server_counters &Now = Server.counters();
  server_counters &Last = Exported[Name];
  const auto Close = [&](const char *Reason, const std::uint64_t Total,
                         const std::uint64_t LastTotal) {
    Metrics
        .count("galenalink_connections_closed_total",
               "Connections that a limit of the listener closed.",
               {{"listener", Name}, {"reason", Reason}})
        .add(static_cast<double>(Total - LastTotal));
  };
  Close("room", Now.ClosedForRoom, Last.ClosedForRoom);
  Close("memory", Now.ClosedForMemory, Last.ClosedForMemory);
  Close("timeout", Now.TimedOut, Last.TimedOut);
  Metrics
      .count("galenalink_large_requests_delayed_total",
             "Times that a large request waited for memory.",
             {{"listener", Name}})
      .add(static_cast<double>(Now.LargeDelayed - Last.LargeDelayed));
  Metrics
      .count("galenalink_listener_refused_total",
             "Requests refused for lack of memory, before they were handled.",
             {{"listener", Name}})
      .add(static_cast<double>(Now.Refused - Last.Refused));
  Metrics
      .count("galenalink_listener_invalid_total",
             "Requests that were malformed, too large or broken off; they were "
             "not handled.",
             {{"listener", Name}})
      .add(static_cast<double>(Now.Invalid - Last.Invalid));
  Metrics
      .level("galenalink_connections", "Open connections of the listener.",
             {{"listener", Name}})
      .set(static_cast<double>(Server.connections()));
  Metrics
      .level("galenalink_listener_held_bytes",
             "Memory of requests and unread replies of the listener.",
             {{"listener", Name}})
      .set(static_cast<double>(Server.heldBytes()));
  Last = Now;
}

} // namespace galenalink::http
