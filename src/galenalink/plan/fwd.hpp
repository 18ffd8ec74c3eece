#ifndef GALENALINK_PLAN_FWD_HPP
#define GALENALINK_PLAN_FWD_HPP

#include <cstdint>

namespace galenalink::plan {

/**
 * @brief Indexes into the tables that the caller passes. Customers, data
 * centres and racks have no table; the caller numbers them.
 */
using vm_index = std::uint32_t;
using pool_index = std::uint32_t;
using customer_index = std::uint32_t;
using data_centre_index = std::uint32_t;
using rack_index = std::uint32_t;

struct vm_view;
struct pool_view;
struct window;
struct headroom;
struct permit;
struct pool_wave;
struct maintenance_plan;
struct pool_demand;
struct lending_quota;
struct buffer_settings;
struct buffer_state;
struct buffer_input;
struct buffer_plan;
struct move;

enum class vm_state : std::uint8_t;
enum class move_phase : std::uint8_t;
enum class maintenance : std::uint8_t;
enum class wave_status : std::uint8_t;
enum class move_reason : std::uint8_t;

} // namespace galenalink::plan

#endif
