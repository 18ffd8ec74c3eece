#ifndef GALENALINK_PLATFORM_FWD_HPP
#define GALENALINK_PLATFORM_FWD_HPP

#include <cstdint>

namespace galenalink::platform {

struct adapter;
struct append_result;
struct log_record;
struct log_page;
struct vm;
struct http_options;

class store;
class embedded;

enum class append_state : std::uint8_t;
enum class vm_state : std::uint8_t;
enum class action_state : std::uint8_t;
enum class action_request : std::uint8_t;

} // namespace galenalink::platform

#endif
