#ifndef GALENALINK_TEST_SOAK_LONG_RUNNING_JOBS_HPP
#define GALENALINK_TEST_SOAK_LONG_RUNNING_JOBS_HPP

#include "soak/fleet_standin.hpp"
#include "soak/node_group.hpp"

namespace galenalink::soak {

/** @brief One job a queue whose tasks run until the end of the test. Shorter
 * tasks have ended by the time at which a node takes a lease for expired that
 * another node still renews, so that they never run twice. */
class long_running_jobs {
public:
  long_running_jobs(http::loop &Loop, node_group &Nodes,
                    const fleet_standin &Fleet,
                    std::vector<std::string> Queues);

  /** @brief Submits the jobs and handles events until they are accepted.
   * @return Whether they were accepted within the limit. */
  [[nodiscard]] bool submit(duration Limit);
  /** @return Whether as many runs are at work as there are tasks. */
  [[nodiscard]] bool allRun() const;
  /** @brief Describes the runs of each task. */
  [[nodiscard]] std::string describe() const;

private:
  [[nodiscard]] bool submitOnce(std::size_t Queue);

  http::loop &Loop;
  node_group &Nodes;
  const fleet_standin &Fleet;
  std::vector<std::string> Queues;
};

} // namespace galenalink::soak

#endif
