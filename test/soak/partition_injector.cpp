#include "soak/partition_injector.hpp"
#include <algorithm>

namespace galenalink::soak {

namespace {

constexpr duration Millisecond = std::chrono::milliseconds{1};
constexpr duration RegistrationInterval = 1500 * Millisecond;
/** Long enough for a cancel that is sent when calm begins. */
constexpr duration CalmTime =
    bounds::Contact + bounds::Ack + 1000 * Millisecond;
constexpr std::uint64_t MaxHeldVms = 3;
/** So that some phases begin in the calm of `fault_injector`, whose faults
 * often end the process of a leader that is partitioned. */
constexpr std::uint64_t MaxStartDelayMs = 8000;
constexpr std::uint64_t MinPartitionMs = 1000;
/** Longer than an election, the wait of a new leader and a lease together. */
constexpr std::uint64_t MaxPartitionMs = 14000;

} // namespace

partition_injector::partition_injector(http::loop &Loop,
                                       disruption_log &Disruptions,
                                       node_group &Nodes, fleet_standin &Fleet,
                                       const std::uint64_t Seed)
    : Loop{Loop},
      Disruptions{Disruptions}, Nodes{Nodes}, Fleet{Fleet}, Random{Seed} {}

void partition_injector::start(const time_point NewEnd) {
  End = NewEnd;
  RegistrationTimer =
      Loop.every(RegistrationInterval, [this] { renewRegistrations(); });
  after(randomDuration(0, MaxStartDelayMs), [this] { startPhase(); });
}

void partition_injector::stop() { Stopped = true; }

std::size_t partition_injector::count() const noexcept {
  return PartitionCount + HoldCount;
}

std::string partition_injector::summary() const {
  return std::to_string(PartitionCount) + " split by epoch, " +
         std::to_string(HoldCount) + " bytes held";
}

// A backend server that was lost by an expired lease is used again after its
// next registration.
void partition_injector::renewRegistrations() {
  for (std::size_t I = 0; I < Fleet.size(); ++I) {
    if (!Fleet.vm(I).Id.empty())
      Fleet.renewRegistration(I);
  }
}

void partition_injector::startPhase() {
  PhaseEnd = boot_clock::now() + randomDuration(4000, 7000);
  injectNext();
}

void partition_injector::injectNext() {
  if (Stopped)
    return;
  const time_point Now = boot_clock::now();
  if (Now >= PhaseEnd) {
    after(std::max(ActiveUntil - Now, duration::zero()) + CalmTime,
          [this] { startPhase(); });
    return;
  }
  if (!Partitioned)
    partition();
  if (randomBelow(2) == 0)
    holdBytes();
  after(randomDuration(300, 2000), [this] { injectNext(); });
}

void partition_injector::partition() {
  const std::size_t Node = randomBelow(Nodes.size());
  const duration Duration = capAtEnd(
      boot_clock::now(), randomDuration(MinPartitionMs, MaxPartitionMs));
  ++PartitionCount;
  Partitioned = true;
  addDisruption(Duration);
  Nodes.storeLink(Node).setFault(link_fault::Silent);
  const std::uint64_t HighestToken = highestToken();
  // A VM that all leaders reach would depose the former one by its fence.
  const bool AllCut = randomBelow(2) == 0;
  for (std::size_t I = 0; I < Fleet.size(); ++I)
    cutRandomly(I, HighestToken, AllCut);
  after(Duration, [this, Node] { endPartition(Node); });
}

void partition_injector::endPartition(const std::size_t Node) {
  Nodes.storeLink(Node).setFault(link_fault::None);
  for (std::size_t I = 0; I < Fleet.size(); ++I)
    Fleet.cutFrom(I, nullptr);
  Partitioned = false;
}

void partition_injector::cutRandomly(const std::size_t Vm,
                                     const std::uint64_t HighestToken,
                                     const bool AlwaysCut) {
  switch (randomBelow(AlwaysCut ? 2 : 3)) {
  case 0:
    Fleet.cutFrom(Vm, [HighestToken](const std::uint64_t Token) {
      return Token <= HighestToken;
    });
    break;
  case 1:
    Fleet.cutFrom(Vm, [HighestToken](const std::uint64_t Token) {
      return Token > HighestToken;
    });
    break;
  default:
    break;
  }
}

std::uint64_t partition_injector::highestToken() const {
  std::uint64_t Highest = 0;
  for (std::size_t I = 0; I < Fleet.size(); ++I)
    Highest = std::max(Highest, Fleet.vm(I).FencingToken);
  return Highest;
}

void partition_injector::holdBytes() {
  const std::uint64_t Count = 1 + randomBelow(MaxHeldVms);
  for (std::uint64_t I = 0; I < Count; ++I)
    holdBytesTo(randomBelow(Fleet.size()));
}

void partition_injector::holdBytesTo(const std::size_t Vm) {
  const time_point Now = boot_clock::now();
  const duration Silence = capAtEnd(Now, randomDuration(300, 7000));
  const duration Hold = capAtEnd(Now + Silence, randomDuration(1000, 6000));
  if (!HeldVms.insert(Vm).second)
    return;
  ++HoldCount;
  addDisruption(Silence + Hold);
  Fleet.link(Vm).setFault(link_fault::Silent);
  after(Silence, [this, Vm] { recoverNewConnections(Vm); });
  after(Silence + Hold, [this, Vm] { deliverHeldBytes(Vm); });
}

void partition_injector::recoverNewConnections(const std::size_t Vm) {
  Fleet.link(Vm).holdConnections();
  Fleet.link(Vm).setFault(link_fault::None);
}

// Timers that are due at the same time may fire in any order, so that the fault
// may be active still.
void partition_injector::deliverHeldBytes(const std::size_t Vm) {
  Fleet.link(Vm).releaseConnections();
  Fleet.link(Vm).setFault(link_fault::None);
  HeldVms.erase(Vm);
}

duration partition_injector::capAtEnd(const time_point From,
                                      const duration Duration) const {
  return std::clamp(End - From, duration::zero(), Duration);
}

void partition_injector::addDisruption(const duration Duration) {
  Disruptions.add(Duration);
  ActiveUntil = std::max(ActiveUntil, boot_clock::now() + Duration);
}

void partition_injector::after(const duration Delay,
                               std::function<void()> Call) {
  std::erase_if(Timers,
                [](const http::timer &Each) { return !Each.pending(); });
  Timers.push_back(Loop.at(boot_clock::now() + Delay, std::move(Call)));
}

std::uint64_t partition_injector::randomBelow(const std::uint64_t Below) {
  return std::uniform_int_distribution<std::uint64_t>{0, Below - 1}(Random);
}

duration partition_injector::randomDuration(const std::uint64_t FromMs,
                                            const std::uint64_t ToMs) {
  return (FromMs + randomBelow(ToMs - FromMs)) * Millisecond;
}

} // namespace galenalink::soak
