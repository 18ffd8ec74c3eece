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
 * VMs that may receive work are indexed by their number of free slots, apart
 * for VMs that run long work, so a choice looks at no more than 18 lists. A VM
 * that is at the head of its list goes to the back when it receives work.
 * Nothing is allocated when slots are taken and released.
 */
class slot_table {
public:
  /** @brief Slots of the VMs that may receive work, by use. */
  struct totals {
    std::uint32_t Vms{0};
    std::uint32_t Free{0};
    /** Taken by work that was started as long. */
    std::uint32_t Long{0};
    /** Taken by work that was started as short and became long. */
    std::uint32_t Overrun{0};
    /** VMs with at least one slot taken by work started as long. */
    std::uint32_t LongVms{0};

    [[nodiscard]] bool operator==(const totals &) const = default;
  };

  /** @brief Number of attempts from `/status` that changed the table. */
  struct reconcile_result {
    std::uint32_t Added{0};
    std::uint32_t Released{0};
    /** Running attempts for which the VM has no slot left. */
    std::uint32_t Excess{0};
  };

  /**
   * @brief Adds a VM in state `Up`, or brings back one of that name. An epoch
   * lower than the known one changes nothing.
   */
  vm_index add(std::string_view Name, std::uint64_t Epoch);

  /** @brief Forgets a VM as soon as its last slot is released. */
  void remove(vm_index Vm);

  void setState(vm_index Vm, vm_state State);

  /** @brief Excludes a VM from choices, whatever its state. */
  void setExcluded(vm_index Vm, bool Excluded);

  /**
   * @brief VM with most free slots, where possible one without long work.
   * @param AvoidedVms VMs that must not be chosen; a few at most.
   */
  [[nodiscard]] std::optional<vm_index>
  chooseShort(std::span<const vm_index> AvoidedVms = {}) const noexcept;

  /**
   * @brief VM with fewest free slots among those that run long work; if there
   * is none, and fewer than `MaxLongVms` run long work, the one with most.
   */
  [[nodiscard]] std::optional<vm_index>
  chooseLong(std::uint32_t MaxLongVms,
             std::span<const vm_index> AvoidedVms = {}) const noexcept;

  /**
   * @brief Takes a slot.
   * @return Nothing if the VM is full or the attempt already holds a slot.
   */
  std::optional<slot_index> take(vm_index Vm, attempt_id Attempt,
                                 work_class Class);

  /** @brief Starts to load what `take` needs for an attempt. */
  void prefetch(const attempt_id Attempt) const noexcept {
    ByAttempt.prefetch(Attempt);
  }

  /** @brief Releases a slot; nothing if the attempt holds none. */
  std::optional<slot_index> release(attempt_id Attempt);

  /** @brief Counts a slot that was taken by short work as long from now. */
  void markOverrun(slot_index Slot) noexcept;

  /**
   * @brief Takes slots for attempts of other nodes that the VM reports as
   * running, and releases those taken that way that it no longer reports.
   */
  reconcile_result reconcile(vm_index Vm, std::span<const attempt_id> Running);

  [[nodiscard]] std::optional<vm_index>
  find(std::string_view Name) const noexcept;
  [[nodiscard]] std::optional<slot_index>
  slotOf(attempt_id Attempt) const noexcept;
  /** @brief Attempt that holds a slot by `adopt`, if one does. */
  [[nodiscard]] std::optional<attempt_id>
  foreignAttempt(slot_index Slot) const noexcept;
  [[nodiscard]] const totals &total() const noexcept { return Total; }
  [[nodiscard]] std::uint32_t used(vm_index Vm) const noexcept;
  [[nodiscard]] vm_state state(vm_index Vm) const noexcept;
  [[nodiscard]] const std::string &name(vm_index Vm) const noexcept;
  [[nodiscard]] std::uint64_t epoch(vm_index Vm) const noexcept;
  /** @brief False for an index that is not in use. */
  [[nodiscard]] bool contains(vm_index Vm) const noexcept;
  /** @brief VMs that are known, whatever their state. */
  [[nodiscard]] std::uint32_t size() const noexcept;
  /** @brief VMs in state `Up`, held or not. */
  [[nodiscard]] std::uint32_t upCount() const noexcept { return UpVms; }
  /** @brief One past the highest index that was ever in use. */
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
    /** Taken for attempts of other nodes. */
    slot_mask Foreign{0};
    vm_state State{vm_state::Up};
    bool Excluded{false};
    bool InUse{false};
    bool Removed{false};
  };
  /** Kept apart from the fields that a choice of a VM reads. */
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
  /** First index: 1 for VMs that run long work. Second: free slots. */
  std::array<std::array<vm_list, SlotsPerVm + 1>, 2> ByFreeSlots;
  totals Total;
  std::uint32_t UpVms{0};
};

} // namespace galenalink::schedule

#endif
