#include "galenalink/job/pacing.hpp"
#include "galenalink/job/leader.hpp"
#include "galenalink/telemetry/log.hpp"
#include <optional>

namespace galenalink::job {

namespace {

constexpr telemetry::logger Log{"pacing"};

/** Time until a change of pace shows in the tail latencies, which cover the
 * last 500 ms. */
constexpr duration SettleTime = std::chrono::milliseconds{650};

/** @return Highest ratio of tail latency to its target; `nullopt` without
 * latency-sensitive tasks. */
std::optional<double> worstTailRatio(const server &Server) {
  std::optional<double> Worst;
  for (const auto &[Id, Run] : Server.Runs) {
    if (Run.TargetMs == 0 || Run.BestEffort)
      continue;
    const double Ratio = static_cast<double>(Run.Gauge) / Run.TargetMs;
    Worst = std::max(Worst.value_or(0), Ratio);
  }
  return Worst;
}

void sendPace(leader &Leader, server &Server, const run_id &Id, run &Run,
              const std::uint32_t Percent) {
  Run.PaceSent = true;
  Leader.Ports.Pace({Server.target(), Leader.Epoch, Id, Percent},
                    Leader.guarded([&Leader, Target = Server.target(), Id,
                                    Percent](const order_result &Result) {
                      if (Result.Outcome == call_outcome::Fenced) {
                        reportFenced(Leader, Target.Id);
                        return;
                      }
                      server *Found = Leader.findTarget(Target);
                      struct run *Paced =
                          Found == nullptr ? nullptr : Found->findRun(Id);
                      if (Paced == nullptr)
                        return;
                      Paced->PaceSent = false;
                      // Without a response the order is sent again in the next
                      // pass of the control loop.
                      Paced->PaceConfirmed =
                          Result.Outcome == call_outcome::Done;
                      if (Paced->PaceConfirmed)
                        Paced->Pace = Percent;
                    }));
}

void updateServerPaces(leader &Leader, server &Server) {
  const bool HasBestEffort = std::ranges::any_of(
      Server.Runs, [](const auto &Each) { return Each.second.BestEffort; });
  if (!HasBestEffort || Server.ListedAt < Server.PacedAt + SettleTime)
    return;
  const auto Tail = worstTailRatio(Server);
  for (auto &[Id, Run] : Server.Runs) {
    if (!Run.BestEffort || Run.PaceSent || Run.State != run_state::Running)
      continue;
    const std::uint32_t Next = Tail ? computePace(Run.Pace, *Tail) : 100;
    if (Next == Run.Pace && Run.PaceConfirmed)
      continue;
    Log.info("pace", {{"job", Id.Task.Job},
                      {"index", Id.Task.Index},
                      {"server", Server.Entry.Id},
                      {"tail_share", std::to_string(Tail.value_or(0))},
                      {"before", Run.Pace},
                      {"percent", Next}});
    Server.PacedAt = Leader.Now();
    sendPace(Leader, Server, Id, Run, Next);
  }
}

} // namespace

void updatePaces(leader &Leader) {
  for (auto &[Id, Server] : Leader.Servers) {
    if (Server->Synced && Server->HeartbeatFailures == 0)
      updateServerPaces(Leader, *Server);
  }
}

} // namespace galenalink::job
