#ifndef GALENALINK_SCHEDULE_SLOT_TABLE_HPP
#define GALENALINK_SCHEDULE_SLOT_TABLE_HPP

#include "galenalink/core/hash.hpp"
#include "galenalink/schedule/flat_index.hpp"
#include "galenalink/schedule/types.hpp"
#include <array>
#include <boost/intrusive/list.hpp>
#include <deque>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace galenalink::schedule {

/**
 * @brief The VMs of a shard and their slots.
 *
 * VMs that may receive work are kept in lists by their number of free slots,
 * separately for VMs with and without long work, so choosing a VM visits at
 * most 18 lists. A VM that receives work moves to the back of its new list, so
 * that VMs with equally many free slots are chosen in turn. Taking and
 * releasing slots does not allocate.
 */
class slot_table {
public:
  /** @brief Slot counts of the VMs that may receive work. */
  struct totals {
    std::uint32_t Vms{0};
    std::uint32_t Free{0};
    /** Slots used by work that was started as long. */
    std::uint32_t Long{0};
    /** Slots used by work that was started as short and has overrun. */
    std::uint32_t Overrun{0};
    /** VMs with at least one slot used by work started as long. */
    std::uint32_t LongVms{0};

    [[nodiscard]] bool operator==(const totals &) const = default;
  };

  /** @brief Number of attempts by outcome of a reconciliation. */
  struct reconcile_result {
    std::uint32_t Added{0};
    std::uint32_t Released{0};
    /** Reported attempts for which the VM has no free slot. */
    std::uint32_t Excess{0};
  };

  /**
   * @brief Adds a VM in state `Up`, or returns the VM of that name to `Up`
   * under the new epoch. An epoch lower than the stored one is ignored.
   */
  vm_index add(std::string_view Name, std::uint64_t Epoch);

  /** @brief Erases a VM as soon as its last slot is released. */
  void remove(vm_index Vm);

  void setState(vm_index Vm, vm_state State);

  /** @brief Sets whether a VM is excluded from choices in any state. */
  void setExcluded(vm_index Vm, bool Excluded);

  /**
   * @brief Returns the VM with the most free slots, preferring VMs without
   * long work.
   * @param AvoidedVms VMs that must not be chosen; a few at most, as the
   * search is linear.
   */
  [[nodiscard]] std::optional<vm_index>
  chooseShort(std::span<const vm_index> AvoidedVms = {}) const noexcept;

  /**
   * @brief Returns the VM with the fewest free slots among those that run long
   * work. If none of them has a free slot and fewer than `MaxLongVms` VMs run
   * long work, returns the VM without long work that has the most free slots.
   */
  [[nodiscard]] std::optional<vm_index>
  chooseLong(std::uint32_t MaxLongVms,
             std::span<const vm_index> AvoidedVms = {}) const noexcept;

  /**
   * @brief Takes a slot of a VM for an attempt.
   * @return `nullopt` if the VM is full or the attempt already holds a slot.
   */
  std::optional<slot_index> take(vm_index Vm, attempt_id Attempt,
                                 work_class Class);

  /** @brief Prefetches the index entry that `take` needs for an attempt. */
  void prefetch(const attempt_id Attempt) const noexcept {
    ByAttempt.prefetch(Attempt);
  }

  /** @brief Releases the slot of an attempt; `nullopt` if it holds none. */
  std::optional<slot_index> release(attempt_id Attempt);

  /** @brief Counts a slot that was taken for short work as overrun. */
  void markOverrun(slot_index Slot) noexcept;

  /**
   * @brief Takes slots for foreign attempts, which were started by other nodes
   * and which the VM reports as running. Releases the slots of foreign attempts
   * that the VM no longer reports.
   */
  reconcile_result reconcile(vm_index Vm, std::span<const attempt_id> Running);

  [[nodiscard]] std::optional<vm_index>
  find(std::string_view Name) const noexcept;
  [[nodiscard]] std::optional<slot_index>
  slotOf(attempt_id Attempt) const noexcept;
  /** @brief Returns the foreign attempt that holds a slot, if any. */
  [[nodiscard]] std::optional<attempt_id>
  foreignAttempt(slot_index Slot) const noexcept;
  [[nodiscard]] const totals &total() const noexcept { return Total; }
  [[nodiscard]] std::uint32_t used(vm_index Vm) const noexcept;
  [[nodiscard]] vm_state state(vm_index Vm) const noexcept;
  [[nodiscard]] const std::string &name(vm_index Vm) const noexcept;
  [[nodiscard]] std::uint64_t epoch(vm_index Vm) const noexcept;
  /** @brief False for an index that is not in use. */
  [[nodiscard]] bool contains(vm_index Vm) const noexcept;
  /** @brief Number of VMs in any state. */
  [[nodiscard]] std::uint32_t size() const noexcept;
  /** @brief Number of VMs in state `Up`, including excluded ones. */
  [[nodiscard]] std::uint32_t upCount() const noexcept { return UpVms; }
  /** @brief One past the highest VM index that was ever in use. */
  [[nodiscard]] std::uint32_t indexLimit() const noexcept;

private:
  using hook = boost::intrusive::list_base_hook<
      boost::intrusive::link_mode<boost::intrusive::safe_link>>;
  /** One bit for each slot. */
  using slot_mask = std::uint8_t;

  struct vm_record : hook {
    vm_index Index{};
    slot_mask Used{0};
    slot_mask Long{0};
    slot_mask Overrun{0};
    /** Slots taken for attempts of other nodes. */
    slot_mask Foreign{0};
    vm_state State{vm_state::Up};
    bool Excluded{false};
    bool InUse{false};
    /** Erased when the last slot is released. */
    bool Removed{false};
  };
  /** Stored apart from the fields that are read when a VM is chosen. */
  struct vm_detail {
    std::uint64_t Epoch{0};
    std::array<attempt_id, SlotsPerVm> Attempts{};
    std::string Name;
  };
  using vm_list =
      boost::intrusive::list<vm_record,
                             boost::intrusive::constant_time_size<false>>;

  struct attempt_hash {
    [[nodiscard]] std::size_t operator()(const attempt_id Id) const noexcept {
      return hashCombine(static_cast<std::uint64_t>(Id.Node), Id.Sequence);
    }
  };

  [[nodiscard]] vm_record &at(vm_index Vm);
  [[nodiscard]] const vm_record &at(vm_index Vm) const;
  void addToIndex(vm_record &Vm) noexcept;
  void unlink(vm_record &Vm) noexcept;
  void updateTotals(const vm_record &Vm, bool Add) noexcept;
  void changeState(vm_record &Vm, vm_state State) noexcept;
  void eraseIfReleased(vm_record &Vm);

  std::deque<vm_record> Vms;
  std::deque<vm_detail> Details;
  std::vector<vm_index> FreeIndexes;
  std::unordered_map<std::string_view, vm_index> ByName;
  flat_index<attempt_id, attempt_hash> ByAttempt;
  /** First index: 1 for VMs that run long work, else 0. Second: free slots. */
  std::array<std::array<vm_list, SlotsPerVm + 1>, 2> ByFreeSlots;
  totals Total;
  std::uint32_t UpVms{0};
};

} // namespace galenalink::schedule

#endif
