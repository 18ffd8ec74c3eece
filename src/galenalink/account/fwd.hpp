#ifndef GALENALINK_ACCOUNT_FWD_HPP
#define GALENALINK_ACCOUNT_FWD_HPP

#include <cstdint>

namespace galenalink::account {

struct vm_use;
struct work_counts;
struct totals;
struct row;
struct customer_state;
struct ledger_state;
class ledger;

enum class use : std::uint8_t;

} // namespace galenalink::account

#endif
