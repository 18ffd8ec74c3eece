#ifndef GALENALINK_TEST_SYSTEM_HARNESS_HPP
#define GALENALINK_TEST_SYSTEM_HARNESS_HPP

#include "galenalink/http/client.hpp"
#include "galenalink/http/loop.hpp"
#include "system/process.hpp"
#include <filesystem>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace galenalink::system_test {

using nlohmann::json;

/** @brief One entry node. */
struct member_node {
  std::string Name;
  std::string DataCentre;
  http::address Callers;
  http::address Operators;
  std::unique_ptr<process> Process;
  /** Whether callers may use it, as a load balancer sees it. */
  bool InUse{true};
  /** Stopped by SIGSTOP. */
  bool Paused{false};

  [[nodiscard]] bool alive() { return !Paused && !Process->ended(); }
};

/** @brief One VM with the stand-in of its backend server. */
struct backend_vm {
  std::string Name;
  std::string Pool;
  http::address Address;
};

struct cluster_options {
  std::size_t Nodes{4};
  /** In pool `typesetting`; two more are in the spare pool. */
  std::size_t Vms{6};
};

/** @brief Nodes and stand-ins as processes on loopback; all ports are chosen
 * by the kernel. */
class cluster {
public:
  explicit cluster(const cluster_options &Options = {});
  ~cluster();
  cluster(const cluster &) = delete;
  cluster &operator=(const cluster &) = delete;

  http::loop Loop;
  http::client Client;
  http::address Platform;
  std::vector<backend_vm> Vms;
  std::vector<std::unique_ptr<member_node>> Nodes;

  /** @brief Starts one more node and waits until it listens. */
  member_node &startNode(const std::string &DataCentre);
  /** @brief Handles events until the condition holds; checked every 25 ms.
   * @return Whether it held within the limit. */
  [[nodiscard]] bool await(const std::function<bool()> &Condition,
                           duration Limit);
  /** @brief Sends a request and handles events until it ended. */
  [[nodiscard]] std::optional<http::response>
  ask(const http::address &Address, http::method Method,
      const std::string &Path, const std::string &Body = {},
      duration Limit = std::chrono::seconds{2}, http::headers Headers = {});
  /** @return The JSON object at the path; null if there was no answer. */
  [[nodiscard]] json get(const http::address &Address, const std::string &Path);
  /** @brief Sets faults of a stand-in; fails the test if it is refused. */
  void fault(const http::address &Address, const json &Fault);
  void faultAllVms(const json &Fault);
  /** @return Whether all running nodes have this roster size, authority and no
   * takeover in progress, and are home of all shards together. */
  [[nodiscard]] bool settled(std::size_t Roster, std::size_t Shards = 2);
  /** @return The first node that runs. */
  [[nodiscard]] member_node &anyNode();
  /** @return The home of the VM's shard, as the first node sees it. */
  [[nodiscard]] member_node &homeOf(const std::string &Vm);
  /** @return Whether all running nodes see this roster size. */
  [[nodiscard]] bool rosterIs(std::size_t Size);
  /** @return What a node tells about the VM. */
  [[nodiscard]] json vm(const std::string &Name);
  /** @return The request that publishes the service files of Halloran. */
  [[nodiscard]] static json publication(std::uint64_t Id, std::uint64_t Base,
                                        const std::string &Author,
                                        int MinUp = 1);

private:
  void startExecutors(std::size_t Count);
  void startPlatform();
  /** @return Whether requests of all shards are complete. */
  [[nodiscard]] bool warmUp();
  [[nodiscard]] std::string outputOf(const std::string &Name) const;

  std::filesystem::path Directory;
  std::unique_ptr<process> Executors;
  std::unique_ptr<process> Store;
  std::size_t Started{0};
  std::size_t LastWarmUp{0};
};

} // namespace galenalink::system_test

#endif
