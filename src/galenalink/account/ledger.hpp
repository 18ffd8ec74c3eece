#ifndef GALENALINK_ACCOUNT_LEDGER_HPP
#define GALENALINK_ACCOUNT_LEDGER_HPP

#include "galenalink/account/totals.hpp"
#include "galenalink/core/fwd.hpp"
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace galenalink::account {

/** @brief Length of a period; periods are days in UTC. */
inline constexpr wall_ms PeriodMs = 86'400'000;

/** @brief Account of one customer as it is kept in a snapshot. */
struct customer_state {
  std::string Customer;
  /** Time through which the totals are complete. */
  wall_ms ThroughMs{0};
  std::uint64_t Owned{0};
  std::uint64_t Lent{0};
  std::uint64_t Borrowed{0};
  /** VMs held now, indexed by `use`. */
  std::array<std::uint64_t, UseCount> Held{};
  /** VMs that the customer's budgets require. */
  std::uint64_t RequiredVms{0};
  /** Oldest first; the last one is still open. */
  std::vector<row> Periods;

  [[nodiscard]] bool operator==(const customer_state &) const = default;
};

/** @brief The whole ledger as plain values, customers in order of name. */
struct ledger_state {
  wall_ms NowMs{0};
  std::vector<customer_state> Customers;

  [[nodiscard]] bool operator==(const ledger_state &) const = default;
};

/**
 * @brief Account of VM time and work by customer and period.
 *
 * Only the number of VMs in each use is kept, and time is added as
 * `VMs * elapsed` when a number changes. An event therefore touches at most
 * the owner and the holder of one VM before and after, whatever the size of
 * the fleet. Times that go back are treated as the latest time seen.
 */
class ledger {
public:
  /** @param KeepPeriods Periods kept for each customer; older ones are dropped.
   */
  explicit ledger(std::size_t KeepPeriods = 60);
  ledger(const ledger_state &State, std::size_t KeepPeriods = 60);

  /**
   * @brief A VM changes its use.
   * @param Before Its use until now; nothing if it is new.
   * @param After Its use from now on; nothing if it is removed.
   */
  void changeUse(wall_ms At, const std::optional<vm_use> &Before,
                 const std::optional<vm_use> &After);
  /** @brief A move ended in a pool of the customer. */
  void countMove(wall_ms At, std::string_view Customer);
  /** @brief Adds work that was placed, refused or late. */
  void countWork(wall_ms At, std::string_view Customer,
                 const work_counts &Work);
  /**
   * @brief Sets the VMs that the budgets of the customer's pools require: the
   * sum of `min_up` plus the largest rack of each pool.
   */
  void requireVms(wall_ms At, std::string_view Customer, std::uint64_t Vms);
  /** @brief Completes all totals through a time. O(customers). */
  void advance(wall_ms At);

  /** @brief Rows by period, then customer, complete through `advance`. */
  [[nodiscard]] std::vector<row> rows() const;
  [[nodiscard]] ledger_state state() const;

private:
  struct name_hash {
    using is_transparent = void; // NOLINT(readability-identifier-naming)
    [[nodiscard]] std::size_t operator()(std::string_view Name) const noexcept;
  };

  /** @brief The customer's account, complete through `At`. */
  customer_state &through(wall_ms At, std::string_view Customer);
  void add(wall_ms At, const vm_use &Use, std::int64_t Count);
  void accrue(customer_state &Account, wall_ms At) const;
  totals &open(customer_state &Account, std::int64_t Period) const;
  [[nodiscard]] wall_ms clamp(wall_ms At);

  std::size_t KeepPeriods;
  wall_ms NowMs{0};
  std::unordered_map<std::string, customer_state, name_hash, std::equal_to<>>
      Customers;
};

} // namespace galenalink::account

#endif
