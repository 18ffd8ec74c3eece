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

/** @brief Account of one member as it is kept in a snapshot. */
struct member_state {
  std::string Member;
  /** Time through which the totals are complete. */
  wall_ms ThroughMs{0};
  std::uint64_t Owned{0};
  std::uint64_t Lent{0};
  std::uint64_t Borrowed{0};
  /** VMs held now, indexed by `use`. */
  std::array<std::uint64_t, UseCount> Held{};
  /** VMs that the member's budgets require. */
  std::uint64_t RequiredVms{0};
  /** Oldest first; the last one is still open. */
  std::vector<row> Periods;

  [[nodiscard]] bool operator==(const member_state &) const = default;
};

/** @brief The whole ledger as plain values, members in order of name. */
struct ledger_state {
  wall_ms NowMs{0};
  std::vector<member_state> Members;

  [[nodiscard]] bool operator==(const ledger_state &) const = default;
};

/**
 * @brief Account of VM time and work by member and period.
 *
 * Only the number of VMs in each use is kept, and time is added as
 * `VMs * elapsed` when a number changes. An event therefore touches at most
 * the owner and the holder of one VM before and after, whatever the size of
 * the fleet. Times that go back are treated as the latest time seen.
 */
class ledger {
public:
  /** @param KeepPeriods Periods kept for each member; older ones are dropped.
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
  /** @brief A move ended in a pool of the member. */
  void countMove(wall_ms At, std::string_view Member);
  /** @brief Adds work that was placed, refused or late. */
  void countWork(wall_ms At, std::string_view Member, const work_counts &Work);
  /**
   * @brief Sets the VMs that the budgets of the member's pools require: the
   * sum of `min_up` plus the largest rack of each pool.
   */
  void requireVms(wall_ms At, std::string_view Member, std::uint64_t Vms);
  /** @brief Completes all totals through a time. O(members). */
  void advance(wall_ms At);

  /** @brief Rows by period, then member, complete through `advance`. */
  [[nodiscard]] std::vector<row> rows() const;
  [[nodiscard]] ledger_state state() const;

private:
  struct name_hash {
    using is_transparent = void; // NOLINT(readability-identifier-naming)
    [[nodiscard]] std::size_t operator()(std::string_view Name) const noexcept;
  };

  /** @brief The member's account, complete through `At`. */
  member_state &through(wall_ms At, std::string_view Member);
  void add(wall_ms At, const vm_use &Use, std::int64_t Count);
  void accrue(member_state &Account, wall_ms At) const;
  totals &open(member_state &Account, std::int64_t Period) const;
  [[nodiscard]] wall_ms clamp(wall_ms At);

  std::size_t KeepPeriods;
  wall_ms NowMs{0};
  std::unordered_map<std::string, member_state, name_hash, std::equal_to<>>
      Members;
};

} // namespace galenalink::account

#endif
