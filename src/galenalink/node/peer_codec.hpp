#ifndef GALENALINK_NODE_PEER_CODEC_HPP
#define GALENALINK_NODE_PEER_CODEC_HPP

#include "galenalink/node/call.hpp"
#include "galenalink/node/shard_id.hpp"
#include "galenalink/request/effects.hpp"
#include "galenalink/request/replica.hpp"
#include "galenalink/wire/fwd.hpp"
#include <optional>
#include <vector>

namespace galenalink::wire {
class replicate;
class replicate_reply;
class collect_reply;
class forward;
class forward_reply;
} // namespace galenalink::wire

namespace galenalink::node {

/** @brief Bytes of entries in one message; larger ones would delay the
 * heartbeats that share the connection. */
inline constexpr std::size_t MaxEntryBytesPerMessage = 256U << 10U;

void encode(const request::replicate &From, const shard_id &Shard,
            wire::replicate &To);
/** @brief Nothing if a value is out of range. */
[[nodiscard]] std::optional<request::replicate>
decode(const wire::replicate &From);

void encode(const request::replicate_reply &From, const shard_id &Shard,
            wire::replicate_reply &To);
[[nodiscard]] request::replicate_reply
decode(node_id Sender, const wire::replicate_reply &From);

/** @brief Splits a reply into messages of bounded size. */
[[nodiscard]] std::vector<wire::collect_reply>
encode(const request::collect_reply &From, const shard_id &Shard);
/**
 * @brief Adds one part of a reply.
 * @return Whether the part was well-formed and the next one.
 */
[[nodiscard]] bool append(const wire::collect_reply &From,
                          request::collect_reply &To);

/** @param Now For the time left of the deadline. */
void encode(const call &From, time_point Now, wire::forward &To);
[[nodiscard]] std::optional<call> decode(const wire::forward &From,
                                         time_point Now);
void encode(const reply &From, wire::forward_reply &To);
[[nodiscard]] std::optional<reply> decode(const wire::forward_reply &From);

} // namespace galenalink::node

#endif
