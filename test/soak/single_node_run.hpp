#ifndef GALENALINK_TEST_SOAK_SINGLE_NODE_RUN_HPP
#define GALENALINK_TEST_SOAK_SINGLE_NODE_RUN_HPP

#include "galenalink/http/client.hpp"
#include "soak/fleet_standin.hpp"
#include "soak/node_group.hpp"
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <utility>

namespace galenalink::soak {

inline constexpr duration Second = std::chrono::seconds{1};
inline constexpr duration Millisecond = std::chrono::milliseconds{1};

/** @brief One real node on a pool of stand-in backend servers. */
class single_node_run {
public:
  static constexpr std::size_t MaxAttempts = 4;
  static constexpr duration StepTimeout = 10 * Second;

  /** @param VmCount Number of VMs of the pool, named by it and an index.
   * @param Overrides Settings of the node in place of the usual ones. */
  single_node_run(std::string Pool, const std::size_t VmCount,
                  const nlohmann::json &Overrides = nlohmann::json::object())
      : Store{Loop}, Fleet{Loop, Store, FleetSeed}, Disruptions{},
        Nodes{Loop, Disruptions}, Pool{std::move(Pool)}, Client{Loop, {}} {
    publishConfig();
    for (std::size_t I = 0; I < VmCount; ++I)
      addVm();
    Nodes.add(Store.address(), Fleet.listAddress(), Overrides);
  }

  void addVm() {
    Fleet.addVm(Pool + "-" + std::to_string(Fleet.size()), Pool, false);
  }

  /** @brief Submits a job with one step of equal tasks until it is accepted.
   * @return Whether it was accepted in time. */
  bool submit(const std::string &Id, const std::size_t Tasks,
              const std::int64_t Cpu, const std::uint32_t TaskMs) {
    const nlohmann::json Step{
        {"count", Tasks}, {"cpu", Cpu}, {"memMb", 10}, {"estimateMs", TaskMs}};
    const nlohmann::json Body{{"spec", std::to_string(TaskMs)},
                              {"steps", nlohmann::json::array({Step})}};
    const time_point End = boot_clock::now() + StepTimeout;
    while (boot_clock::now() < End) {
      if (post("/" + Pool + "/" + Id, Body.dump()) == 200)
        return true;
      pause(100 * Millisecond);
    }
    return false;
  }

  /** @return Whether all tasks of the job run at once within the time limit. */
  bool runs(const std::string &Id, const std::ptrdiff_t Tasks = 1) {
    return Loop.runUntil([&] { return countRunning(Id) == Tasks; },
                         boot_clock::now() + StepTimeout);
  }

  [[nodiscard]] std::ptrdiff_t countRunning(const std::string &Id) const {
    return std::ranges::count(Fleet.History.runsOf(Id), time_point::max(),
                              &run_record::EndedAt);
  }

  void pause(const duration Time) {
    static_cast<void>(
        Loop.runUntil([] { return false; }, boot_clock::now() + Time));
  }

  /** @brief Checks the runs of all tasks and that no process has ended. */
  void checkHistory() {
    for (const auto &Each : Fleet.History.violations(MaxAttempts))
      BOOST_ERROR(Each);
    Nodes.update();
    for (const auto &Each : Nodes.Violations)
      BOOST_ERROR(Each);
  }

  http::loop Loop;
  store_standin Store;
  fleet_standin Fleet;
  disruption_log Disruptions;
  node_group Nodes;

private:
  static constexpr std::uint64_t FleetSeed = 1;

  void publishConfig() {
    using nlohmann::json;
    const json Route{{"name", Pool},
                     {"host", "127.0.0.1"},
                     {"pathPrefix", "/" + Pool + "/"},
                     {"service", Pool},
                     {"maxAttempts", MaxAttempts},
                     {"stretchFactor", 4},
                     {"sloMs", 4000}};
    Store.put("keyed.op", "config",
              json{{"version", 1},
                   {"routes", json::array({Route})},
                   {"services", json::array({json{{"name", Pool}}})}}
                  .dump());
  }

  /** @return Status of the response, 0 without one. */
  int post(const std::string &Path, const std::string &Body) {
    http::request Request;
    Request.Method = http::method::Post;
    Request.Path = Path;
    Request.Body = Body;
    Request.Headers = {{"X-Deadline-Ms", "9223372036854775807"}};
    std::optional<int> Status;
    Client.send(Nodes.callersAddress(0), std::move(Request),
                boot_clock::now() + 3 * Second,
                [&Status](const http::answer &Answer) {
                  const auto *Response = std::get_if<http::response>(&Answer);
                  Status = Response == nullptr ? 0 : Response->Status;
                });
    static_cast<void>(Loop.runUntil([&] { return Status.has_value(); },
                                    boot_clock::now() + 4 * Second));
    return Status.value_or(0);
  }

  std::string Pool;
  http::client Client;
};

} // namespace galenalink::soak

#endif
