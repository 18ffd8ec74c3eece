#ifndef GALENALINK_FLEET_SNAPSHOT_HPP
#define GALENALINK_FLEET_SNAPSHOT_HPP

#include "galenalink/core/result.hpp"
#include "galenalink/fleet/state.hpp"
#include "records.pb.h"
#include <string>
#include <string_view>
#include <vector>

namespace galenalink::fleet {

/** Bytes of the state in one chunk; well below common record limits. */
inline constexpr std::size_t ChunkBytes = std::size_t{48} * 1024;

/**
 * @brief Writes the state as bytes, equal for equal states.
 * @param Account Ledger of the account at the same offset.
 */
[[nodiscard]] std::string serialize(const state &State,
                                    std::string_view Account = {});

/** @brief A state that was read back. */
struct restored {
  state State;
  std::string Account;
};

/**
 * @brief Reads a state back.
 * @return errc::Corrupt if the bytes are damaged or not consistent.
 */
[[nodiscard]] result<restored> restore(std::string_view Bytes,
                                       parse_hook Parse);

/**
 * @brief Cuts a serialized state into chunks for the log or a peer.
 * @param Id Identifies this snapshot; never reused.
 * @param Through Offset through which the state is folded.
 */
[[nodiscard]] std::vector<wire::snapshot_chunk>
makeChunks(std::string_view Bytes, std::uint64_t Id, log_offset Through);

/**
 * @brief Whether the tail of the log continues a state without a gap.
 * @param First Oldest offset that the log still holds.
 */
[[nodiscard]] constexpr bool mayResume(const log_offset Through,
                                       const log_offset First) noexcept {
  return First <= Through + 1;
}

/** @brief Whether a new snapshot is due. */
struct snapshot_schedule {
  log_offset Records{20000};
  wall_ms IntervalMs{600'000};

  [[nodiscard]] bool due(const state &State) const noexcept;
};

} // namespace galenalink::fleet

#endif
