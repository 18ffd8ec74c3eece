#ifndef GALENALINK_JOB_NODE_FLEET_VIEW_HPP
#define GALENALINK_JOB_NODE_FLEET_VIEW_HPP

#include "galenalink/job/ports.hpp"
#include <map>

namespace galenalink::job_node {

/** @brief What the operator and the backend servers have written, as far as
 * this node has read it. Records may be read out of date, so that nothing goes
 * back to an older version. */
class fleet_view {
public:
  explicit fleet_view(const job::ports &Ports) : Ports{Ports} {}

  /** @return Whether the rules or the waves changed. */
  bool applyOperatorRecords(const std::vector<job::keyed_record> &Records);
  void applyRegistrations(const std::vector<job::keyed_record> &Records,
                          bool IsSnapshot);

  [[nodiscard]] const job::fleet_rules &rules() const noexcept { return Rules; }
  [[nodiscard]] const std::map<std::uint64_t, job::wave> &
  waves() const noexcept {
    return Waves;
  }
  [[nodiscard]] std::vector<job::registration> registrations() const;

private:
  const job::ports &Ports;
  job::fleet_rules Rules;
  std::map<std::uint64_t, job::wave> Waves;
  std::map<std::string, job::registration> Registrations;
};

/** @brief The queue of a caller's path: the longest prefix of the host. */
[[nodiscard]] const job::queue_rule *matchQueue(const job::fleet_rules &Rules,
                                                std::string_view Host,
                                                std::string_view Path) noexcept;

} // namespace galenalink::job_node

#endif
