#ifndef GALENALINK_NODE_FWD_HPP
#define GALENALINK_NODE_FWD_HPP

#include <cstdint>

namespace galenalink::node {

struct shard_id;
struct shard_hooks;
struct decision;
class decision_log;
class log_follower;
class shard;
class backend;
class router;
class membership;
class caller_api;
class operator_api;
class application;

} // namespace galenalink::node

#endif
