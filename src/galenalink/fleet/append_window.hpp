#ifndef GALENALINK_FLEET_APPEND_WINDOW_HPP
#define GALENALINK_FLEET_APPEND_WINDOW_HPP

#include "galenalink/core/fwd.hpp"
#include "galenalink/fleet/applied.hpp"
#include <deque>
#include <optional>
#include <unordered_map>

namespace galenalink::fleet {

/** @brief What became of one append. */
struct append_result {
  std::uint64_t Id{0};
  log_offset Offset{0};
  rejection Reason{rejection::None};

  [[nodiscard]] bool operator==(const append_result &) const = default;
};

/** @brief Results of the newest appends by their id. */
class append_window {
public:
  /**
   * Two copies of one append are at most a few seconds apart; at several
   * hundred appends a second this covers more than a minute.
   */
  static constexpr std::size_t Capacity = 32768;

  [[nodiscard]] std::optional<append_result>
  find(const std::uint64_t Id) const {
    const auto Found = ById.find(Id);
    if (Found == ById.end())
      return std::nullopt;
    return Found->second;
  }

  void add(const append_result &Result) {
    if (Order.size() == Capacity) {
      ById.erase(Order.front());
      Order.pop_front();
    }
    if (ById.emplace(Result.Id, Result).second)
      Order.push_back(Result.Id);
  }

  /** @brief Visits the results, oldest first. */
  template <typename Visitor> void forEach(const Visitor &Visit) const {
    for (const auto Id : Order)
      Visit(ById.at(Id));
  }

private:
  std::unordered_map<std::uint64_t, append_result> ById;
  std::deque<std::uint64_t> Order;
};

} // namespace galenalink::fleet

#endif
