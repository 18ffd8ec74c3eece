#ifndef GALENALINK_TEST_SYSTEM_CROWD_NODES_HPP
#define GALENALINK_TEST_SYSTEM_CROWD_NODES_HPP

#include "soak/single_node_run.hpp"
#include "system/crowd.hpp"
#include <filesystem>
#include <functional>
#include <memory>
#include <string>

namespace galenalink::system_test {

inline constexpr std::size_t Kilobyte = 1024;
inline constexpr std::size_t Megabyte = Kilobyte * Kilobyte;
/** Bound of a process's resident memory under any crowd. */
inline constexpr std::size_t MaxMemoryMb = 100;
/** Connections of the largest listener (1,024), those of the other listeners
 * and the files of the process. */
inline constexpr std::size_t MaxDescriptors = 1400;
/** Time for the answer to one ordinary request. */
inline constexpr duration OrdinaryLimit = std::chrono::seconds{5};

[[nodiscard]] std::string get(const std::string &Path);
/** @return The headers of a POST request, whose body is to follow. */
[[nodiscard]] std::string post(const std::string &Path, std::size_t BodyBytes,
                               const std::string &Headers = {});

/** @brief Checks that the process lives and that memory and descriptors are
 * under their bounds. */
void checkProcess(process &Node);

/** @brief Runs a crowd on one listener and checks that the process still
 * answers an ordinary request there. */
void checkCrowd(http::loop &Loop, process &Node, const http::address &Listener,
                std::size_t Count, crowd_traffic Traffic,
                const std::string &Ordinary, int Status);

/** @brief The node of examples/node.json on ports that the kernel chooses. */
class embedded_node {
public:
  static constexpr std::size_t MaxBodyBytes = 8 * Megabyte;

  embedded_node();
  ~embedded_node();
  embedded_node(const embedded_node &) = delete;
  embedded_node &operator=(const embedded_node &) = delete;

  void check(const http::address &Listener, std::size_t Count,
             const crowd_traffic &Traffic);
  [[nodiscard]] process &nodeProcess() noexcept { return *Process; }
  [[nodiscard]] std::filesystem::path logFile() const {
    return Directory / "node.log";
  }
  [[nodiscard]] http::loop &loop() noexcept { return Loop; }

  http::loop Loop;
  http::address Callers;
  http::address Operators;
  http::address Peers;

private:
  void await(const std::function<bool()> &Condition);
  [[nodiscard]] std::uint16_t portAfter(const std::string &Label) const;
  /** @brief Publishes the services of Halloran, so that paths have routes. */
  void publish();

  std::filesystem::path Directory;
  std::unique_ptr<process> Process;
};

/** @brief A node on the users' platform with a queue and two VMs. */
class platform_node {
public:
  static constexpr std::size_t MaxBodyBytes = 262144;

  /** @param Overrides Settings of the node in place of the usual ones. */
  explicit platform_node(
      const nlohmann::json &Overrides = nlohmann::json::object());

  void check(const http::address &Listener, std::size_t Count,
             const crowd_traffic &Traffic);
  [[nodiscard]] process &nodeProcess() { return Run.Nodes.processOf(0); }
  [[nodiscard]] http::loop &loop() noexcept { return Run.Loop; }

  [[nodiscard]] static http::address callers() {
    return soak::node_group::callersListener(0);
  }
  [[nodiscard]] static http::address readiness() {
    return soak::node_group::readinessListener(0);
  }
  [[nodiscard]] static http::address peers() {
    return soak::node_group::peersListener(0);
  }
  /** @return Status of a query of the node's first job; 0 without an answer. */
  [[nodiscard]] int queryStatus();
  /** @return A request that submits a job.
   * @param Number Tells apart the jobs of a test; 0 to 10^15.
   * @param Headers Further headers, each with its line break. */
  [[nodiscard]] static std::string jobRequest(std::size_t Number,
                                              const std::string &Body,
                                              const std::string &Headers = {});
  /** @return A job of the largest size that is allowed. */
  [[nodiscard]] static std::string largestJob();

  const std::string JobId = "0000000000000001";
  soak::single_node_run Run;
};

} // namespace galenalink::system_test

#endif
