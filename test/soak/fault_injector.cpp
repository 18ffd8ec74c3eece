#include "soak/fault_injector.hpp"
#include <algorithm>

namespace galenalink::soak {

namespace {

constexpr duration Millisecond = std::chrono::milliseconds{1};
/** Long enough for a cancel that is sent when calm begins. */
constexpr duration CalmTime =
    bounds::Contact + bounds::Ack + 1000 * Millisecond;
constexpr std::uint64_t UsualFailurePercent = 4;
const std::string OperatorTopic = "keyed.op";
const std::vector<std::string> Topics{OperatorTopic, "keyed.servers",
                                      "keyed.galenalink-jobs",
                                      "galenalink-leader"};

} // namespace

const std::vector<fault_injector::named_fault> fault_injector::Faults{
    {"kill", &fault_injector::killNode},
    {"terminate", &fault_injector::terminateNode},
    {"hang up", &fault_injector::hangUpNode},
    {"pause", &fault_injector::pauseNode},
    {"store unresponsive", &fault_injector::makeStoreUnresponsive},
    {"append responses lost", &fault_injector::dropAppendResponses},
    {"topic unreadable", &fault_injector::failTopicReads},
    {"kill all without rules", &fault_injector::killAllWithoutRules},
    {"VM crash", &fault_injector::crashVm},
    {"VM partitioned", &fault_injector::partitionVm},
};

fault_injector::fault_injector(http::loop &Loop, disruption_log &Disruptions,
                               node_group &Nodes, store_standin &Store,
                               fleet_standin &Fleet, const std::uint64_t Seed)
    : Loop{Loop}, Disruptions{Disruptions}, Nodes{Nodes}, Store{Store},
      Fleet{Fleet}, Random{Seed} {
  Fleet.setFailurePercent(UsualFailurePercent);
}

void fault_injector::start() {
  PhaseEnd = boot_clock::now() + randomDuration(4000, 7000);
  injectNext();
}

void fault_injector::stop() { Stopped = true; }

std::size_t fault_injector::count() const noexcept {
  std::size_t Sum = 0;
  for (const auto &Each : Counts)
    Sum += Each.second;
  return Sum;
}

std::string fault_injector::summary() const {
  std::string Text;
  for (const auto &[Name, Count] : Counts)
    Text += (Text.empty() ? "" : ", ") + std::to_string(Count) + " " + Name;
  return Text;
}

void fault_injector::injectNext() {
  if (Stopped)
    return;
  if (boot_clock::now() >= PhaseEnd) {
    after(CalmTime, [this] { start(); });
    return;
  }
  const named_fault &Fault = Faults[randomBelow(Faults.size())];
  ++Counts[Fault.Name];
  (this->*Fault.Inject)();
  after(randomDuration(50, 1200), [this] { injectNext(); });
}

void fault_injector::killNode() { Nodes.kill(randomNode()); }

void fault_injector::terminateNode() { Nodes.terminate(randomNode()); }

void fault_injector::hangUpNode() { Nodes.hangUp(randomNode()); }

void fault_injector::pauseNode() {
  Nodes.pause(randomNode(), randomDuration(300, 3000));
}

void fault_injector::makeStoreUnresponsive() {
  setStoreFault(store_fault::Unresponsive, randomDuration(200, 1500));
}

void fault_injector::dropAppendResponses() {
  setStoreFault(store_fault::DropsAppendResponses, randomDuration(200, 1000));
}

void fault_injector::failTopicReads() {
  const duration Duration = randomDuration(300, 3000);
  Disruptions.add(Duration);
  Store.failReads(Topics[randomBelow(Topics.size())],
                  static_cast<read_fault>(randomBelow(3)), Duration);
}

// A leader without the operator's records must not judge failed runs.
void fault_injector::killAllWithoutRules() {
  const duration Duration = randomDuration(2500, 4000);
  Disruptions.add(Duration);
  Store.failReads(OperatorTopic, static_cast<read_fault>(randomBelow(3)),
                  Duration);
  setFailurePercent(50, Duration);
  after(randomDuration(100, 900), [this] {
    for (std::size_t I = 0; I < Nodes.size(); ++I)
      Nodes.kill(I);
  });
}

void fault_injector::crashVm() {
  Disruptions.add(1000 * Millisecond);
  Fleet.crashVm(randomVm());
}

void fault_injector::partitionVm() {
  const duration Duration = randomDuration(300, 2500);
  Disruptions.add(Duration);
  Fleet.partitionVm(randomVm(), Duration);
}

void fault_injector::setStoreFault(const store_fault Fault,
                                   const duration Duration) {
  Disruptions.add(Duration);
  Store.setFault(Fault);
  after(Duration, [this] { Store.setFault(store_fault::None); });
}

void fault_injector::setFailurePercent(const std::uint64_t Percent,
                                       const duration Duration) {
  Fleet.setFailurePercent(Percent);
  after(Duration, [this] { Fleet.setFailurePercent(UsualFailurePercent); });
}

void fault_injector::after(const duration Delay, std::function<void()> Call) {
  std::erase_if(Timers,
                [](const http::timer &Each) { return !Each.pending(); });
  Timers.push_back(Loop.at(boot_clock::now() + Delay, std::move(Call)));
}

std::uint64_t fault_injector::randomBelow(const std::uint64_t Below) {
  return std::uniform_int_distribution<std::uint64_t>{0, Below - 1}(Random);
}

duration fault_injector::randomDuration(const std::uint64_t FromMs,
                                        const std::uint64_t ToMs) {
  return (FromMs + randomBelow(ToMs - FromMs)) * Millisecond;
}

} // namespace galenalink::soak
