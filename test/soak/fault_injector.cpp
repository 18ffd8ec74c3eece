#include "soak/fault_injector.hpp"
#include "soak/malformed_input.hpp"
#include <algorithm>

namespace galenalink::soak {

namespace {

constexpr duration Millisecond = std::chrono::milliseconds{1};
/** Long enough for a cancel that is sent when calm begins. */
constexpr duration CalmTime =
    bounds::Contact + bounds::Ack + 1000 * Millisecond;
constexpr std::uint64_t UsualFailurePercent = 4;
constexpr duration MalformedInterval = 700 * Millisecond;
const std::string OperatorTopic = "keyed.op";
const std::vector<std::string> Topics{OperatorTopic, "keyed.servers",
                                      "keyed.galenalink-jobs",
                                      "galenalink-leader"};

} // namespace

const std::vector<fault_injector::named_fault> fault_injector::Faults{
    {"kill", &fault_injector::killNode},
    {"terminate", &fault_injector::terminateNode},
    {"hang up", &fault_injector::hangUpNode},
    {"kill series", &fault_injector::killSeries},
    {"terminate series", &fault_injector::terminateSeries},
    {"hang up series", &fault_injector::hangUpSeries},
    {"pause", &fault_injector::pauseNode},
    {"store unresponsive", &fault_injector::makeStoreUnresponsive},
    {"append responses lost", &fault_injector::dropAppendResponses},
    {"topic unreadable", &fault_injector::failTopicReads},
    {"kill all without rules", &fault_injector::killAllWithoutRules},
    {"VM crash", &fault_injector::crashVm},
    {"VM partitioned", &fault_injector::partitionVm},
    {"link disturbed", &fault_injector::disturbLink},
    {"node partitioned", &fault_injector::partitionNode},
    {"links reset", &fault_injector::resetLinks},
    {"connections silenced", &fault_injector::silenceLinks},
};

fault_injector::fault_injector(http::loop &Loop, disruption_log &Disruptions,
                               node_group &Nodes, store_standin &Store,
                               fleet_standin &Fleet, const std::uint64_t Seed)
    : Loop{Loop}, Disruptions{Disruptions}, Nodes{Nodes}, Store{Store},
      Fleet{Fleet}, Random{Seed} {
  Fleet.setFailurePercent(UsualFailurePercent);
  MalformedTimer =
      Loop.every(MalformedInterval, [this] { writeMalformedRegistration(); });
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
  // Several faults may begin at once.
  const std::uint64_t Count = 1 + randomBelow(3);
  for (std::uint64_t I = 0; I < Count; ++I)
    injectOne();
  after(randomDuration(200, 2000), [this] { injectNext(); });
}

void fault_injector::injectOne() {
  const named_fault &Fault = Faults[randomBelow(Faults.size())];
  ++Counts[Fault.Name];
  (this->*Fault.Inject)();
}

// Another writer's entries are no disruption: nothing may depend on them.
void fault_injector::writeMalformedRegistration() {
  const auto &Rows = malformedRegistrations();
  Store.put("keyed.servers", "odd-" + std::to_string(randomBelow(8)),
            Rows[randomBelow(Rows.size())]);
}

void fault_injector::signalSeries(void (node_group::*Signal)(std::size_t)) {
  const std::size_t Count = 2 + randomBelow(Nodes.size());
  for (std::size_t I = 0; I < Count; ++I)
    after(randomDuration(0, 1000),
          [this, Signal, Node = randomNode()] { (Nodes.*Signal)(Node); });
}

void fault_injector::killSeries() { signalSeries(&node_group::kill); }

void fault_injector::terminateSeries() { signalSeries(&node_group::terminate); }

void fault_injector::hangUpSeries() { signalSeries(&node_group::hangUp); }

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

void fault_injector::disturbLink() {
  // All but `None`.
  const auto Fault = static_cast<link_fault>(1 + randomBelow(4));
  setLinkFault(randomLink(), Fault, randomDuration(300, 3000));
}

void fault_injector::partitionNode() {
  const std::size_t Node = randomNode();
  const duration Duration = randomDuration(300, 3000);
  for (tcp_proxy *Each : {&Nodes.callersLink(Node), &Nodes.storeLink(Node),
                          &Nodes.vmListLink(Node)})
    setLinkFault(*Each, link_fault::Silent, Duration);
}

void fault_injector::resetLinks() {
  Disruptions.add(duration::zero());
  auto Links = serviceLinks();
  for (std::size_t I = 0; I < Nodes.size(); ++I)
    Links.push_back(&Nodes.callersLink(I));
  for (tcp_proxy *Each : Links) {
    if (randomBelow(3) == 0)
      Each->resetConnections();
  }
}

// Open connections may stay silent for good while new ones work. Those of
// clients do not: what a client loses by it says nothing about the nodes.
void fault_injector::silenceLinks() {
  Disruptions.add(duration::zero());
  for (tcp_proxy *Each : serviceLinks()) {
    if (randomBelow(3) == 0)
      Each->silenceConnections();
  }
}

std::vector<tcp_proxy *> fault_injector::serviceLinks() {
  std::vector<tcp_proxy *> Links;
  for (std::size_t I = 0; I < Nodes.size(); ++I) {
    Links.push_back(&Nodes.storeLink(I));
    Links.push_back(&Nodes.vmListLink(I));
  }
  for (std::size_t I = 0; I < Fleet.size(); ++I)
    Links.push_back(&Fleet.link(I));
  return Links;
}

tcp_proxy &fault_injector::randomLink() {
  switch (randomBelow(4)) {
  case 0:
    return Nodes.callersLink(randomNode());
  case 1:
    return Nodes.storeLink(randomNode());
  case 2:
    return Nodes.vmListLink(randomNode());
  default:
    return Fleet.link(randomVm());
  }
}

void fault_injector::setLinkFault(tcp_proxy &Link, const link_fault Fault,
                                  const duration Duration) {
  Disruptions.add(Duration);
  Link.setFault(Fault, randomDuration(20, 400));
  after(Duration, [&Link] { Link.setFault(link_fault::None); });
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
