#ifndef GALENALINK_FLEET_APPLY_DETAIL_HPP
#define GALENALINK_FLEET_APPLY_DETAIL_HPP

#include "galenalink/fleet/applied.hpp"
#include "galenalink/fleet/state.hpp"
#include "records.pb.h"

namespace galenalink::fleet::detail {

/** @brief Folds a change of the configuration; State.Offset is its offset. */
void applyConfig(state &State, const wire::record &Record, applied &Result);

/** @brief Folds a join, leave, eviction or renewal. */
[[nodiscard]] rejection applyRoster(state &State, const wire::record &Record);

/** @brief Folds the records of VMs, moves and maintenance. */
[[nodiscard]] rejection applyVm(state &State, const wire::record &Record,
                                applied &Result);

/** @brief Follows the chunks of the snapshots in the log. */
[[nodiscard]] rejection applySnapshot(state &State,
                                      const wire::snapshot_chunk &Chunk);

} // namespace galenalink::fleet::detail

#endif
