#ifndef GALENALINK_FLEET_APPLY_HPP
#define GALENALINK_FLEET_APPLY_HPP

#include "galenalink/fleet/applied.hpp"
#include "galenalink/fleet/state.hpp"
#include "galenalink/wire/fwd.hpp"

namespace galenalink::fleet {

/** @brief Largest step of the log time in one record, milliseconds. */
inline constexpr wall_ms MaxTimeStep = 3'600'000;

/**
 * @brief Folds the next record of the log into the state.
 * @param Offset Must be the one after State.Offset; any other offset is
 * refused with rejection::Gap and leaves the state as it is.
 * @return Whether the record took effect. A rejected record counts as folded.
 */
applied apply(state &State, log_offset Offset, const wire::record &Record);

/**
 * @brief Folds a record that the log holds but that cannot be decoded, so
 * that all nodes pass it in the same way.
 */
applied applyUndecodable(state &State, log_offset Offset);

/**
 * @brief Whether the fold would accept a maintenance permit for this VM now.
 * @return rejection::None if so.
 */
[[nodiscard]] rejection checkPermit(const state &State, vm_index Vm);

/**
 * @brief Whether the fold would accept the release of this VM to a pool now.
 * @return rejection::None if so.
 */
[[nodiscard]] rejection checkRelease(const state &State, vm_index Vm,
                                     pool_index To);

} // namespace galenalink::fleet

#endif
