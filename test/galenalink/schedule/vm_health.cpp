#include "galenalink/schedule/vm_health.hpp"
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <map>
#include <random>

using namespace galenalink;
using namespace galenalink::schedule;

namespace {

using std::chrono::milliseconds;

constexpr time_point Start{std::chrono::hours{1}};
constexpr std::uint32_t VmCount = 10;
constexpr queue_index Queue{0};

/** Reference model: stores every outcome and replays all for each query. */
struct reference_health {
  enum class event { Success, Failure, Retracted };
  struct vm {
    std::vector<double> Steps;
    bool Ejected{false};
    bool ProbeDue{false};
    int ProbeSuccesses{0};
    int ConsecutiveSuccesses{0};
    duration ProbeDelay{std::chrono::seconds{1}};
    time_point ProbeAt{};
    time_point BackoffUntil{};
    duration Backoff{milliseconds{100}};
  };
  std::vector<vm> Vms{VmCount};
  std::vector<event> Outcomes;

  /** With a single queue, its failure ratio equals that of the pool. */
  [[nodiscard]] double expectedRatio() const {
    double Failures = 1;
    double Total = 50;
    for (const auto Event : Outcomes) {
      if (Event == event::Retracted) {
        Failures -= Failures >= 2 ? 1 : 0;
        continue;
      }
      if (Total >= 512)
        Failures /= 2, Total /= 2;
      Total += 1;
      Failures += Event == event::Failure ? 1 : 0;
    }
    return std::min(Failures / Total, 0.99);
  }
  [[nodiscard]] double evidenceOf(const bool Failure) const {
    const auto Expected = expectedRatio();
    const auto Suspect = std::min(std::max(0.5, 3 * Expected), 0.95);
    return Failure ? std::max(std::log(Suspect / Expected), 0.0)
                   : std::min(std::log((1 - Suspect) / (1 - Expected)), 0.0);
  }
  [[nodiscard]] static double evidence(const vm &Vm) {
    double Sum = 0;
    for (const auto Step : Vm.Steps)
      Sum = std::min(std::max(Sum + Step, 0.0), 28.0);
    return Sum;
  }
  [[nodiscard]] long ejectedCount() const {
    return std::count_if(Vms.begin(), Vms.end(),
                         [](const vm &Vm) { return Vm.Ejected; });
  }
  static void endEjection(vm &Vm) {
    Vm.Ejected = Vm.ProbeDue = false;
    Vm.ProbeSuccesses = 0;
    Vm.Steps.clear();
  }
  void succeeded(vm &Vm, const bool Probe) {
    Vm.Backoff = milliseconds{100};
    const auto Step = evidenceOf(false);
    Outcomes.push_back(event::Success);
    if (!Vm.Ejected) {
      Vm.Steps.push_back(Step);
      if (++Vm.ConsecutiveSuccesses >= 64)
        Vm.ProbeDelay = std::chrono::seconds{1};
    } else if (Probe && ++Vm.ProbeSuccesses >= 2) {
      endEjection(Vm);
    } else if (Probe) {
      Vm.ProbeDue = true;
    }
  }
  void failed(vm &Vm, const bool Probe, const time_point Now) {
    if (Vm.Ejected) {
      if (Probe) {
        Vm.ProbeSuccesses = 0;
        Vm.ProbeDelay =
            std::min(2 * Vm.ProbeDelay, duration{std::chrono::seconds{60}});
        Vm.ProbeAt = Now + Vm.ProbeDelay;
      }
      return;
    }
    Vm.Steps.push_back(evidenceOf(true));
    Outcomes.push_back(event::Failure);
    Vm.ConsecutiveSuccesses = 0;
    // At most a fifth of the ten VMs may be ejected.
    if (evidence(Vm) >= 14 && ejectedCount() < 2) {
      Vm.Ejected = true;
      Vm.BackoffUntil = {};
      Vm.ProbeAt = Now + Vm.ProbeDelay;
    }
  }
  void retractFailure(vm &Vm) {
    Outcomes.push_back(event::Retracted);
    Vm.Steps.push_back(-evidenceOf(true));
    if (Vm.Ejected && evidence(Vm) < 14)
      endEjection(Vm);
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(health)

// Ejecting a healthy VM loses capacity; keeping a faulty one fails work.
BOOST_AUTO_TEST_CASE(random_operations_match_a_full_replay) {
  int Ejections = 0;
  for (std::uint32_t Seed = 1; Seed <= 15; ++Seed) {
    std::mt19937_64 Random{Seed};
    vm_health Health{settings{}};
    reference_health Reference;
    for (std::uint32_t Vm = 0; Vm < VmCount; ++Vm)
      Health.reset(vm_index{Vm});
    auto Now = Start;
    for (int Step = 0; Step < 1500; ++Step) {
      Now += milliseconds{Random() % 60};
      Health.advance(Now, [](vm_index) {});
      for (auto &Vm : Reference.Vms) {
        if (Vm.Ejected && Vm.ProbeAt != time_point{} && Vm.ProbeAt <= Now) {
          Vm.ProbeDue = true;
          Vm.ProbeAt = {};
        }
      }
      const auto Chosen = static_cast<std::uint32_t>(Random() % VmCount);
      const vm_index Index{Chosen};
      auto &Vm = Reference.Vms[Chosen];
      bool Probe = false;
      if (Vm.Ejected && Vm.ProbeDue && Random() % 2 == 0) {
        Probe = true;
        Vm.ProbeDue = false;
        Health.probeStarted(Index);
      }
      // VM 0 fails 95% of its attempts, VM 1 alternates between 80% and 2%, and
      // the others fail 2%.
      const auto Percent = Chosen == 0                          ? 95U
                           : Chosen == 1 && Step / 300 % 2 == 0 ? 80U
                                                                : 2U;
      if (!Probe && Random() % 40 == 0) {
        Health.retractFailures({&Index, 1}, Queue);
        Reference.retractFailure(Vm);
      } else if (!Probe && Random() % 40 == 0) {
        Health.refused(Index, Now);
        if (!Vm.Ejected) {
          Vm.BackoffUntil = Now + Vm.Backoff;
          Vm.Backoff =
              std::min(2 * Vm.Backoff, duration{std::chrono::seconds{5}});
        }
      } else if (Random() % 100 < Percent) {
        const bool WasEjected = Vm.Ejected;
        Health.failed(Index, Queue, Probe, VmCount, Now);
        Reference.failed(Vm, Probe, Now);
        Ejections += !WasEjected && Vm.Ejected ? 1 : 0;
      } else {
        Health.succeeded(Index, Queue, Probe);
        Reference.succeeded(Vm, Probe);
      }
      for (std::uint32_t Other = 0; Other < VmCount; ++Other) {
        const auto &Expected = Reference.Vms[Other];
        BOOST_REQUIRE(Health.isEjected(vm_index{Other}) == Expected.Ejected);
        BOOST_REQUIRE(Health.isExcluded(vm_index{Other}) ==
                      (Expected.Ejected || Expected.BackoffUntil > Now));
      }
      BOOST_REQUIRE(Health.ejectedCount() <= 2);
      const auto Due = Health.probeDue();
      BOOST_REQUIRE(Due.has_value() ==
                    std::any_of(Reference.Vms.begin(), Reference.Vms.end(),
                                [](const auto &Vm) { return Vm.ProbeDue; }));
      BOOST_REQUIRE((!Due || Reference.Vms[rawIndex(*Due)].ProbeDue));
    }
  }
  BOOST_TEST(Ejections > 15);
}

// Ejecting every VM that fails would leave too few VMs for the work.
BOOST_AUTO_TEST_CASE(the_ejected_share_is_bounded) {
  vm_health Health{settings{}};
  for (std::uint32_t Vm = 0; Vm < VmCount; ++Vm)
    Health.reset(vm_index{Vm});
  for (std::uint32_t Step = 0; Step < 1000; ++Step) {
    const vm_index Vm{Step % VmCount};
    if (rawIndex(Vm) < 4)
      Health.failed(Vm, Queue, false, VmCount, Start);
    else
      Health.succeeded(Vm, Queue, false);
    BOOST_REQUIRE(Health.ejectedCount() <= 2);
  }
  BOOST_TEST(Health.ejectedCount() == 2U);
}

// When a service release fails on all VMs, ejecting VMs only removes capacity.
BOOST_AUTO_TEST_CASE(failures_of_one_service_on_all_vms_eject_no_vm) {
  vm_health Health{settings{}};
  for (std::uint32_t Vm = 0; Vm < VmCount; ++Vm)
    Health.reset(vm_index{Vm});
  for (std::uint32_t Step = 0; Step < 2000; ++Step) {
    // Another queue succeeds, so the ratio of the pool alone would be a half.
    Health.succeeded(vm_index{Step % VmCount}, queue_index{1}, false);
    Health.failed(vm_index{Step % VmCount}, queue_index{0}, false, VmCount,
                  Start);
    BOOST_REQUIRE(Health.ejectedCount() == 0);
  }
}

BOOST_AUTO_TEST_SUITE_END()
