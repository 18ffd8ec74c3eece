#ifndef GALENALINK_JOB_NODE_FLEET_VIEW_HPP
#define GALENALINK_JOB_NODE_FLEET_VIEW_HPP

#include "galenalink/job/access.hpp"
#include "galenalink/job/ports.hpp"
#include <map>

namespace galenalink::job_node {

/** @brief The operator's rules and maintenance waves and the backend servers'
 * registrations, as read by this node so far. Reads of the store may return
 * stale records, so older versions are ignored. */
class fleet_view {
public:
  explicit fleet_view(const job::ports &Ports) : Ports{Ports} {}

  /** @return Whether the rules or the maintenance waves changed. */
  bool applyOperatorRecords(const std::vector<job::keyed_record> &Records);
  /** @param IsSnapshot The records are complete: registrations of other keys
   * are removed. */
  void applyRegistrations(const std::vector<job::keyed_record> &Records,
                          bool IsSnapshot);

  [[nodiscard]] const job::fleet_rules &rules() const noexcept { return Rules; }
  /** @brief Index of the customers of `rules()`. */
  [[nodiscard]] const job::key_index &keys() const noexcept { return Keys; }
  [[nodiscard]] const std::map<std::uint64_t, job::wave> &
  waves() const noexcept {
    return Waves;
  }
  [[nodiscard]] std::vector<job::registration> registrations() const;

private:
  void applyRegistration(const std::string &Key,
                         job::registration Registration);

  const job::ports &Ports;
  job::fleet_rules Rules;
  job::key_index Keys;
  std::map<std::uint64_t, job::wave> Waves;
  std::map<std::string, job::registration> Registrations;
  /** Number of consecutive older records of each key. */
  std::map<std::string, std::uint32_t> StaleRecords;
};

} // namespace galenalink::job_node

#endif
