#include "galenalink/job/start_revocations.hpp"
#include "galenalink/job/leader.hpp"
#include "galenalink/job/runs.hpp"
#include "galenalink/telemetry/log.hpp"
#include <algorithm>

namespace galenalink::job {

namespace {

constexpr telemetry::logger Log{"runs"};

/** Longer than a closed TCP connection sends its bytes again. */
constexpr duration Retention = std::chrono::minutes{20};

void handleStopResponse(leader &Leader, const server_target &Target,
                        const run_id &Run, const order_result &Result) {
  const std::string &ServerId = Target.Id;
  switch (Result.Outcome) {
  case call_outcome::Fenced:
    reportFenced(Leader, ServerId);
    return;
  case call_outcome::Replaced:
    // Nothing is sent to another incarnation. Orders to the present one may
    // have been added meanwhile.
    if (Leader.findServer(ServerId) == nullptr ||
        Leader.findTarget(Target) != nullptr) {
      Leader.StartRevocations.forgetServer(ServerId);
      return;
    }
    break;
  case call_outcome::Done:
    Leader.StartRevocations.settle(ServerId, Run);
    break;
  case call_outcome::Refused:
  case call_outcome::Unknown:
    break;
  }
  if (auto *Entries = Leader.StartRevocations.find(ServerId)) {
    const auto Found = Entries->find(Run);
    if (Found != Entries->end())
      Found->second.StopSent = false;
    return;
  }
  Log.info("start orders without a response are revoked",
           {{"server", ServerId}});
  if (server *Server = Leader.findServer(ServerId))
    Server->HeartbeatDue = std::min(Server->HeartbeatDue, Leader.Now());
}

} // namespace

void start_revocations::add(const std::string &Server, const run_id &Run,
                            const time_point Now) {
  ByServer[Server].insert_or_assign(Run, entry{Now + Retention, false});
}

void start_revocations::settle(const std::string &Server, const run_id &Run) {
  const auto Found = ByServer.find(Server);
  if (Found == ByServer.end())
    return;
  Found->second.erase(Run);
  if (Found->second.empty())
    ByServer.erase(Found);
}

void start_revocations::expire(const time_point Now) {
  for (auto &[Server, Entries] : ByServer)
    std::erase_if(Entries, [Now](const auto &Each) {
      return Now >= Each.second.ForgetAt;
    });
  std::erase_if(ByServer, [](const auto &Each) { return Each.second.empty(); });
}

void settleListedRuns(leader &Leader, const server &Server,
                      const heartbeat_result &Result) {
  const std::string &Id = Server.Entry.Id;
  if (!Leader.StartRevocations.contains(Id))
    return;
  for (const auto &Each : Result.Running)
    Leader.StartRevocations.settle(Id, Each.Run);
  for (const auto &Each : Result.Ends)
    Leader.StartRevocations.settle(Id, Each.Run);
}

bool revokeStarts(leader &Leader, const server &Server) {
  const std::string &Id = Server.Entry.Id;
  auto *Entries = Leader.StartRevocations.find(Id);
  if (Entries == nullptr)
    return true;
  for (auto &[Run, Entry] : *Entries) {
    if (Entry.StopSent)
      continue;
    Entry.StopSent = true;
    Leader.Ports.Stop(
        {Server.target(), Leader.Epoch, Leader.Now() + OrderTimeout, Run},
        Leader.guarded([&Leader, Target = Server.target(),
                        Run = Run](const order_result &Result) {
          handleStopResponse(Leader, Target, Run, Result);
        }));
  }
  return false;
}

} // namespace galenalink::job
