#ifndef GALENALINK_JOB_START_REVOCATIONS_HPP
#define GALENALINK_JOB_START_REVOCATIONS_HPP

#include "galenalink/core/time.hpp"
#include "galenalink/job/types.hpp"
#include <map>
#include <string>

namespace galenalink::job {

struct heartbeat_result;
struct leader;
struct server;

/**
 * @brief Start orders without a response whose runs were released with their
 * backend server. An order may still be under way: a backend server without a
 * lease rejects it as late, but would carry it out once its lease is extended.
 * The leader therefore grants it no lease and starts nothing there until it has
 * stopped each of these runs, after which the backend server rejects their
 * start. Bounded by the start window for each loss of a backend server and by
 * the retention.
 */
class start_revocations {
public:
  struct entry {
    /** From then on no network delivers the order any more. */
    time_point ForgetAt;
    /** A stop order is in flight. */
    bool StopSent{false};
  };
  /** By run. */
  using entries = std::map<run_id, entry>;

  void add(const std::string &Server, const run_id &Run, time_point Now);
  /** @brief Removes a run that can't start there any more. */
  void settle(const std::string &Server, const run_id &Run);
  void forgetServer(const std::string &Server) { ByServer.erase(Server); }
  void expire(time_point Now);

  [[nodiscard]] bool contains(const std::string &Server) const noexcept {
    return ByServer.contains(Server);
  }
  /** @return Null if there are none. */
  [[nodiscard]] entries *find(const std::string &Server) {
    const auto Found = ByServer.find(Server);
    return Found == ByServer.end() ? nullptr : &Found->second;
  }

private:
  /** By id of the backend server, which may be unknown at present. */
  std::map<std::string, entries> ByServer;
};

/** @brief Settles the runs that the backend server lists as running or ended:
 * it accepts no further start of them. */
void settleListedRuns(leader &Leader, const server &Server,
                      const heartbeat_result &Result);
/** @brief Sends the stop orders that are due to the backend server.
 * @return Whether all its start orders are settled. */
[[nodiscard]] bool revokeStarts(leader &Leader, const server &Server);

} // namespace galenalink::job

#endif
