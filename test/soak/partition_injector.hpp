#ifndef GALENALINK_TEST_SOAK_PARTITION_INJECTOR_HPP
#define GALENALINK_TEST_SOAK_PARTITION_INJECTOR_HPP

#include "soak/fleet_standin.hpp"
#include "soak/node_group.hpp"
#include <random>
#include <set>

namespace galenalink::soak {

/**
 * @brief Injects partitions in which a leader and its successors reach
 * different VMs, and delivers requests to VMs after the outage in which they
 * were sent; in phases with calm between them.
 *
 * It draws from a generator of its own, so that it may run beside
 * `fault_injector`. If both set the fault of a link, the later one applies.
 */
class partition_injector {
public:
  partition_injector(http::loop &Loop, disruption_log &Disruptions,
                     node_group &Nodes, fleet_standin &Fleet,
                     std::uint64_t Seed);

  /**
   * @brief Starts the periodic registrations of the VMs and, after a random
   * delay, the first phase.
   * @param End No fault is active after this time.
   */
  void start(time_point End);
  /** @brief Injects no more faults; those that are active end by themselves. */
  void stop();
  [[nodiscard]] std::size_t count() const noexcept;
  /** @return Names and numbers of the faults injected. */
  [[nodiscard]] std::string summary() const;

private:
  void renewRegistrations();
  void startPhase();
  void injectNext();
  /** @brief Cuts a node off from the store and each VM, at random, from all
   * leaders so far, from all later ones or, in half of the partitions, from
   * none. */
  void partition();
  void endPartition(std::size_t Node);
  void cutRandomly(std::size_t Vm, std::uint64_t HighestToken, bool AlwaysCut);
  [[nodiscard]] std::uint64_t highestToken() const;
  /** @brief Makes the links to a few VMs silent; then new connections work,
   * and later the bytes sent during the outage are delivered. */
  void holdBytes();
  void holdBytesTo(std::size_t Vm);
  void recoverNewConnections(std::size_t Vm);
  void deliverHeldBytes(std::size_t Vm);

  /** @return The duration, or a shorter one that ends in time. */
  [[nodiscard]] duration capAtEnd(time_point From, duration Duration) const;
  void addDisruption(duration Duration);
  void after(duration Delay, std::function<void()> Call);
  std::uint64_t randomBelow(std::uint64_t Below);
  duration randomDuration(std::uint64_t FromMs, std::uint64_t ToMs);

  http::loop &Loop;
  disruption_log &Disruptions;
  node_group &Nodes;
  fleet_standin &Fleet;
  std::mt19937_64 Random;
  std::size_t PartitionCount{0};
  std::size_t HoldCount{0};
  time_point End;
  time_point PhaseEnd{NoDeadline};
  /** When the last fault injected so far ends. */
  time_point ActiveUntil;
  bool Stopped{false};
  bool Partitioned{false};
  /** VMs whose links are silent or hold bytes. */
  std::set<std::size_t> HeldVms;
  http::timer RegistrationTimer;
  std::vector<http::timer> Timers;
};

} // namespace galenalink::soak

#endif
