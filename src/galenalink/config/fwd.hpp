#ifndef GALENALINK_CONFIG_FWD_HPP
#define GALENALINK_CONFIG_FWD_HPP

#include <cstdint>

namespace galenalink::config {

struct pool;
struct queue;
struct team;
struct service;
struct maintenance;
struct lending;
struct service_file;
struct settings;
struct diagnostic;

enum class work_kind : std::uint8_t;
enum class drain_action : std::uint8_t;

} // namespace galenalink::config

#endif
