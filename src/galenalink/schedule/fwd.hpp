#ifndef GALENALINK_SCHEDULE_FWD_HPP
#define GALENALINK_SCHEDULE_FWD_HPP

#include <cstdint>

namespace galenalink::schedule {

/** @brief Identifies a work item; chosen by the code that enqueues it. */
enum class item_id : std::uint64_t {};
/** @brief Dense index of a VM in the shard; reused after removal. */
enum class vm_index : std::uint32_t {};
/** @brief `vm_index * SlotsPerVm + slot`. */
enum class slot_index : std::uint32_t {};
/** @brief Dense index of a queue; a queue added again gets its old index. */
enum class queue_index : std::uint32_t {};
/** @brief Dense index of a team. */
enum class team_index : std::uint32_t {};

enum class work_class : std::uint8_t;
enum class vm_state : std::uint8_t;
enum class attempt_disposition : std::uint8_t;
enum class cancel_state : std::uint8_t;

struct settings;
struct queue_settings;
struct team_settings;
struct work_item;
struct admission;
struct dispatch;
struct attempt_end;
struct cancel_result;
struct expired_item;

class timer_wheel;
class slot_table;
class fair_queue;
class queue_set;
class run_time_estimator;
class retry_budget;
class vm_health;
class shard_scheduler;

} // namespace galenalink::schedule

#endif
