#ifndef GALENALINK_FLEET_FWD_HPP
#define GALENALINK_FLEET_FWD_HPP

#include <cstdint>

namespace galenalink::fleet {

/** @brief Dense index of a VM; reused after the VM was removed. */
using vm_index = std::uint32_t;

/** @brief Dense index of a pool; never reused. */
using pool_index = std::uint32_t;

struct applied;
struct append_result;
struct node_info;
struct roster;
struct configuration;
struct vm;
class vm_table;
struct state;
class authority;
class barrier;
class shard_map;

enum class rejection : std::uint8_t;

} // namespace galenalink::fleet

#endif
