#ifndef GALENALINK_NODE_CATALOG_HPP
#define GALENALINK_NODE_CATALOG_HPP

#include "galenalink/fleet/state.hpp"
#include "galenalink/node/shard.hpp"
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace galenalink::node {

/** @brief A service as requests find it. */
struct service_view {
  std::string Customer;
  config::service Service;
  std::uint32_t Shards{1};

  [[nodiscard]] const config::queue *findQueue(std::string_view Name) const;
};

/** @brief What runs on one pool. */
struct pool_view {
  std::vector<shard_queue> Queues;
  /** Teams by `customer/service`. */
  std::vector<std::pair<std::string, config::team>> Teams;
};

/** @brief The configuration in force, arranged for routing. */
class catalog {
public:
  /** @brief Follows the state; cheap if the configuration is unchanged. */
  void update(const fleet::state &State);

  [[nodiscard]] const service_view *find(const std::string &Customer,
                                         const std::string &Service) const;
  [[nodiscard]] const pool_view &pool(const std::string &Name) const;
  [[nodiscard]] log_offset version() const noexcept { return Version; }

private:
  log_offset Version{0};
  std::map<std::string, service_view, std::less<>> Services;
  std::map<std::string, pool_view, std::less<>> Pools;
};

} // namespace galenalink::node

#endif
