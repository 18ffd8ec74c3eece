#ifndef GALENALINK_ACCOUNT_TOTALS_HPP
#define GALENALINK_ACCOUNT_TOTALS_HPP

#include "galenalink/core/enum_names.hpp"
#include "galenalink/core/fwd.hpp"
#include <array>
#include <string>

namespace galenalink::account {

/** @brief What the customer that holds a VM does with it. */
enum class use : std::uint8_t {
  /** In a serving pool and able to take work. */
  InUse,
  /** Idle in a spare pool. */
  Buffer,
  /** Permitted, rebooting or stuck. */
  Maintenance,
  /** Down, unknown, leaving or between two pools. */
  Unavailable,
};

inline constexpr std::size_t UseCount = 4;

inline constexpr enum_names<use, UseCount> UseNames{{
    {use::InUse, "in-use"},
    {use::Buffer, "buffer"},
    {use::Maintenance, "maintenance"},
    {use::Unavailable, "unavailable"},
}};

/** @brief Use of one VM: who owns it, whose pool holds it, and for what. */
struct vm_use {
  std::string Owner;
  std::string Holder;
  use Use{use::InUse};

  [[nodiscard]] bool operator==(const vm_use &) const = default;
};

struct work_counts {
  std::uint64_t Placed{0};
  std::uint64_t Refused{0};
  std::uint64_t Late{0};

  [[nodiscard]] bool operator==(const work_counts &) const = default;
};

/**
 * @brief Totals of one customer in one period. Times are VM-milliseconds.
 *
 * Time by use is charged to the holder, so that
 * `sum(UseMs) == OwnedMs - LentMs + BorrowedMs`.
 */
struct totals {
  std::uint64_t OwnedMs{0};
  std::uint64_t LentMs{0};
  std::uint64_t BorrowedMs{0};
  /** Indexed by `use`. */
  std::array<std::uint64_t, UseCount> UseMs{};
  /** Moves that ended in a pool of this customer. */
  std::uint64_t Moves{0};
  work_counts Work;
  /** Time since the customer was first seen in this period. */
  std::uint64_t ElapsedMs{0};
  /**
   * Most VMs needed at one time: the larger of those held outside the spare
   * pool and those that the budgets require.
   */
  std::uint64_t PeakVms{0};

  [[nodiscard]] std::uint64_t useMs(const use Use) const noexcept {
    return UseMs[static_cast<std::size_t>(Use)];
  }

  /**
   * @brief VM time that the customer would have had to own without sharing.
   *
   * `AloneMs = PeakVms * ElapsedMs`. A customer that cannot borrow must own its
   * own highest concurrent need for the whole period, because owned VMs cannot
   * be acquired for the seconds of a peak. The difference to what is owned in
   * a shared fleet is the pooling effect of Eppen, "Effects of centralization
   * on expected costs in a multi-location newsboy problem", Management Science
   * 25(5), 1979. Refused work adds no need, so the figure is a lower bound.
   */
  [[nodiscard]] std::uint64_t aloneMs() const noexcept {
    return PeakVms * ElapsedMs;
  }

  /** @brief VM time that sharing spared the customer from owning. */
  [[nodiscard]] std::uint64_t savedMs() const noexcept {
    return aloneMs() > OwnedMs ? aloneMs() - OwnedMs : 0;
  }

  /** @brief VM time of its own that the customer gave to others. */
  [[nodiscard]] std::uint64_t costMs() const noexcept { return LentMs; }

  /** @brief What sharing saved less what it cost; negative is a loss. */
  [[nodiscard]] std::int64_t netMs() const noexcept {
    return static_cast<std::int64_t>(savedMs()) -
           static_cast<std::int64_t>(costMs());
  }

  [[nodiscard]] bool operator==(const totals &) const = default;
};

/** @brief Totals of one customer in one period, as reported. */
struct row {
  std::string Customer;
  /** Days since the Unix epoch, UTC. */
  std::int64_t Period{0};
  totals Totals;

  [[nodiscard]] bool operator==(const row &) const = default;
};

} // namespace galenalink::account

#endif
