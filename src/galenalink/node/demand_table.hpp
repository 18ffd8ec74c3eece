#ifndef GALENALINK_NODE_DEMAND_TABLE_HPP
#define GALENALINK_NODE_DEMAND_TABLE_HPP

#include "galenalink/core/time.hpp"
#include "galenalink/plan/buffer.hpp"
#include <map>
#include <string>

namespace galenalink::node {

/** @brief Demand of one pool as one node saw it. */
struct demand_report {
  std::string Pool;
  std::uint32_t Slots{0};
  std::uint64_t QueuedSlotMs{0};
};

/** @brief Newest demand reports of all homes, this node included. */
class demand_table {
public:
  void report(const node_id From, const wall_ms Now, demand_report Report) {
    std::string Pool = Report.Pool;
    Reports[{From, std::move(Pool)}] = {Now, std::move(Report)};
  }

  /**
   * @brief Demand of a pool over all homes.
   * @param OldestMs Older reports are left out.
   */
  [[nodiscard]] plan::pool_demand of(const std::string &Pool,
                                     const wall_ms OldestMs) const {
    plan::pool_demand Sum;
    for (const auto &[Key, Entry] : Reports) {
      if (Key.second != Pool || Entry.AtMs < OldestMs)
        continue;
      Sum.AtMs = std::max(Sum.AtMs, Entry.AtMs);
      Sum.Slots += Entry.Report.Slots;
      Sum.QueuedSlotMs += Entry.Report.QueuedSlotMs;
    }
    return Sum;
  }

  /** @brief Forgets reports of nodes that are gone. */
  void expire(const wall_ms OldestMs) {
    std::erase_if(Reports, [&](const auto &Entry) {
      return Entry.second.AtMs < OldestMs;
    });
  }

private:
  struct entry {
    wall_ms AtMs{0};
    demand_report Report;
  };
  std::map<std::pair<node_id, std::string>, entry> Reports;
};

} // namespace galenalink::node

#endif
