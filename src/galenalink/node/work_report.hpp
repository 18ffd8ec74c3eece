#ifndef GALENALINK_NODE_WORK_REPORT_HPP
#define GALENALINK_NODE_WORK_REPORT_HPP

#include "galenalink/account/totals.hpp"
#include "galenalink/fleet/state.hpp"
#include "galenalink/node/log_follower.hpp"
#include "records.pb.h"
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace galenalink::node {

/** @brief Counts the work of the shards at home here and reports it. */
class work_report {
public:
  work_report(const fleet::state &State, log_follower &Log, node_id Self)
      : State{State}, Log{Log}, Self{Self} {}

  void add(const std::string &Customer, const std::string &Pool,
           const account::work_counts &Work);
  /** @brief Appends a summary if there is work to report and one is due. */
  void tick(time_point Now);
  /** @brief Appends a summary of what is left, before the node leaves. */
  void flush(time_point Now);

private:
  void append(time_point Now);

  const fleet::state &State;
  log_follower &Log;
  node_id Self;
  std::uint64_t Sequence{0};
  time_point NextAt{NoDeadline};
  /** By customer and pool, not in any summary yet. */
  std::map<std::pair<std::string, std::string>, account::work_counts> Counts;
  /** Summary whose append is not known to have happened. */
  std::optional<wire::record> Unconfirmed;
  bool Appending{false};
};

} // namespace galenalink::node

#endif
