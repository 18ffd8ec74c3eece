#ifndef GALENALINK_FLEET_ASSEMBLY_HPP
#define GALENALINK_FLEET_ASSEMBLY_HPP

#include "galenalink/fleet/snapshot.hpp"
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace galenalink::fleet {

/** @brief Puts snapshots together from chunks and finds one to start from. */
class assembly {
public:
  /** Snapshots held at a time; those of the oldest state are given up. */
  static constexpr std::size_t MaxHeld = 4;
  static constexpr std::uint32_t MaxChunks = 4096;

  struct counters {
    std::uint64_t Torn{0};
    std::uint64_t Stale{0};
    std::uint64_t Corrupt{0};
  };

  /** @brief Takes one chunk, in any order; repeats are harmless. */
  void add(const wire::snapshot_chunk &Chunk);

  /**
   * @brief The newest state that is complete, intact and continued by the
   * log; counts the newer snapshots that had to be skipped.
   * @param First Oldest offset that the log still holds.
   */
  [[nodiscard]] std::optional<restored> take(log_offset First,
                                             const parse_hook &Parse);

  [[nodiscard]] const counters &skipped() const noexcept { return Skipped; }

private:
  struct held {
    log_offset Through{0};
    std::uint64_t Checksum{0};
    std::vector<std::string> Parts;
    std::size_t Missing{0};
    /** Chunks of one id contradict each other. */
    bool Mixed{false};
  };

  [[nodiscard]] std::optional<restored> open(const held &Held,
                                             const parse_hook &Parse);

  std::map<std::uint64_t, held> Snapshots;
  counters Skipped;
};

} // namespace galenalink::fleet

#endif
