#ifndef GALENALINK_NODE_ACCOUNT_KEEPER_HPP
#define GALENALINK_NODE_ACCOUNT_KEEPER_HPP

#include "galenalink/account/ledger.hpp"
#include "galenalink/core/result.hpp"
#include "galenalink/fleet/applied.hpp"
#include "galenalink/fleet/state.hpp"
#include "galenalink/wire/fwd.hpp"
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace galenalink::node {

/** @brief Writes a ledger as bytes, equal for equal ledgers. */
[[nodiscard]] std::string encode(const account::ledger_state &State);

/** @brief Reads a ledger back; `Corrupt` if the bytes are malformed. */
[[nodiscard]] result<account::ledger_state> decodeAccount(std::string_view);

/**
 * @brief Account of the customers, derived from the folded records alone, so
 * that all nodes that folded the same records have the same figures.
 */
class account_keeper {
public:
  /** @param State State that the records are folded into; outlives this. */
  explicit account_keeper(const fleet::state &State) : State{State} {}

  /** @brief Follows a record that was just folded into the state. */
  void folded(const wire::record &Record, const fleet::applied &Applied);

  /**
   * @brief Follows the state after it was replaced by a restored one.
   * @param Bytes Account that was saved with the state.
   * @return `Corrupt` if the account is missing, malformed or not consistent
   * with the state; the account then starts anew at the state's log time.
   */
  [[nodiscard]] result<void> restored(std::string_view Bytes);

  /** @brief The account at the folded offset. */
  [[nodiscard]] std::string serialize() const;
  /** @brief Rows by period, then customer, through the state's log time. */
  [[nodiscard]] std::vector<account::row> rows() const;

private:
  struct slot {
    std::optional<account::vm_use> Use;
    fleet::pool_index Pool{0};
  };

  [[nodiscard]] std::optional<account::vm_use>
  useOf(fleet::vm_index Index) const;
  /** @brief Derives everything but the ledger from the state. */
  void derive();
  [[nodiscard]] bool consistent(const account::ledger_state &Saved) const;
  void updateVm(fleet::vm_index Index);
  void updateNeed(fleet::pool_index Index);
  void configured();
  void countWork(const wire::record &Record);

  const fleet::state &State;
  account::ledger Ledger;
  std::vector<slot> Slots;
  /** VMs that each pool's budget requires. */
  std::vector<std::uint64_t> Needs;
  /** Their sum for each customer; customers that need none are left out. */
  std::map<std::string, std::uint64_t> Required;
  /** Customers with a document or a pool; work of others is not counted. */
  std::set<std::string, std::less<>> Customers;
};

} // namespace galenalink::node

#endif
