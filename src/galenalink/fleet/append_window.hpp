#ifndef GALENALINK_FLEET_APPEND_WINDOW_HPP
#define GALENALINK_FLEET_APPEND_WINDOW_HPP

#include "galenalink/core/fwd.hpp"
#include "galenalink/fleet/applied.hpp"
#include "galenalink/fleet/flat_index.hpp"
#include <optional>
#include <vector>

namespace galenalink::fleet {

/** @brief What became of one append. */
struct append_result {
  std::uint64_t Id{0};
  log_offset Offset{0};
  rejection Reason{rejection::None};

  [[nodiscard]] bool operator==(const append_result &) const = default;
};

/**
 * @brief Results of the newest appends by their id. Every record of the log
 * passes here; a full window works without allocation.
 */
class append_window {
public:
  /**
   * Two copies of one append are at most a few seconds apart; at several
   * hundred appends a second this covers more than a minute.
   */
  static constexpr std::size_t Capacity = 32768;

  [[nodiscard]] std::optional<append_result>
  find(const std::uint64_t Id) const {
    const auto Position = Index.find(
        Id, [&](const std::uint32_t Each) { return Ring[Each].Id == Id; });
    if (!Position)
      return std::nullopt;
    return Ring[*Position];
  }

  /** @brief Adds a result; the id must not be in the window. */
  void add(const append_result &Result) {
    auto Position = static_cast<std::uint32_t>(Ring.size());
    if (Ring.size() < Capacity) {
      Ring.push_back(Result);
    } else {
      Position = Oldest;
      Index.erase(Ring[Position].Id, Position);
      Ring[Position] = Result;
      Oldest = (Oldest + 1) % Capacity;
    }
    Index.insert(Result.Id, Position);
  }

  /** @brief Visits the results, oldest first. */
  template <typename Visitor> void forEach(const Visitor &Visit) const {
    for (std::size_t Step = 0; Step < Ring.size(); ++Step)
      Visit(Ring[(Oldest + Step) % Ring.size()]);
  }

private:
  std::vector<append_result> Ring;
  std::uint32_t Oldest{0};
  detail::flat_index Index;
};

} // namespace galenalink::fleet

#endif
