#ifndef GALENALINK_TEST_SOAK_FAULT_INJECTOR_HPP
#define GALENALINK_TEST_SOAK_FAULT_INJECTOR_HPP

#include "soak/fleet_standin.hpp"
#include "soak/node_group.hpp"
#include "soak/store_standin.hpp"
#include <map>
#include <random>

namespace galenalink::soak {

/** @brief Injects random faults in phases with calm between them. */
class fault_injector {
public:
  fault_injector(http::loop &Loop, disruption_log &Disruptions,
                 node_group &Nodes, store_standin &Store, fleet_standin &Fleet,
                 std::uint64_t Seed);

  /** @brief Starts the first phase of faults. */
  void start();
  /** @brief Injects no more faults; those that are active end by themselves. */
  void stop();
  [[nodiscard]] std::size_t count() const noexcept;
  /** @return Names and numbers of the faults injected. */
  [[nodiscard]] std::string summary() const;

private:
  using fault = void (fault_injector::*)();
  struct named_fault {
    const char *Name;
    fault Inject;
  };
  static const std::vector<named_fault> Faults;

  void injectNext();
  void injectOne();
  /** @brief Calls the member for several random nodes within a second. */
  void signalSeries(void (node_group::*Signal)(std::size_t));
  void writeMalformedRegistration();
  void killNode();
  void terminateNode();
  void hangUpNode();
  void killSeries();
  void terminateSeries();
  void hangUpSeries();
  void pauseNode();
  void makeStoreUnresponsive();
  void dropAppendResponses();
  void failTopicReads();
  void killAllWithoutRules();
  void crashVm();
  void partitionVm();
  void disturbLink();
  void partitionNode();
  void resetLinks();
  void silenceLinks();

  void setLinkFault(tcp_proxy &Link, link_fault Fault, duration Duration);
  tcp_proxy &randomLink();
  /** @return Links of the nodes to the store, the list of VMs and the backend
   * servers. */
  std::vector<tcp_proxy *> serviceLinks();
  void setStoreFault(store_fault Fault, duration Duration);
  void setFailurePercent(std::uint64_t Percent, duration Duration);
  void after(duration Delay, std::function<void()> Call);
  std::uint64_t randomBelow(std::uint64_t Below);
  std::size_t randomNode() { return randomBelow(Nodes.size()); }
  std::size_t randomVm() { return randomBelow(Fleet.size()); }
  duration randomDuration(std::uint64_t FromMs, std::uint64_t ToMs);

  http::loop &Loop;
  disruption_log &Disruptions;
  node_group &Nodes;
  store_standin &Store;
  fleet_standin &Fleet;
  std::mt19937_64 Random;
  std::map<std::string, std::size_t> Counts;
  time_point PhaseEnd{NoDeadline};
  bool Stopped{false};
  http::timer MalformedTimer;
  std::vector<http::timer> Timers;
};

} // namespace galenalink::soak

#endif
