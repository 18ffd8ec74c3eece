#ifndef GALENALINK_REQUEST_FWD_HPP
#define GALENALINK_REQUEST_FWD_HPP

#include <cstdint>

namespace galenalink::request {

enum class entry_state : std::uint8_t;
enum class attempt_state : std::uint8_t;
enum class submit_result : std::uint8_t;
enum class prepare_result : std::uint8_t;
enum class cancel_result : std::uint8_t;
struct request_key;
struct entry_record;
struct entry_handle;
struct horizon;
struct revision;
struct instant;
struct submission;
struct ledger_settings;
struct replicate;
struct replicate_reply;
struct collect_reply;
class ledger;
class replica;
class takeover;
struct roster_step;
struct takeover_result;

/** @brief Opaque token of a caller that waits for an answer. */
using waiter = std::uint64_t;

} // namespace galenalink::request

#endif
