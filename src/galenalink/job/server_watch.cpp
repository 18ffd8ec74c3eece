#include "galenalink/job/server_watch.hpp"
#include "galenalink/job/heartbeats.hpp"
#include "galenalink/job/json_fields.hpp"
#include "galenalink/job/runs.hpp"
#include "galenalink/telemetry/log.hpp"
#include <algorithm>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

namespace galenalink::job {

namespace {

constexpr telemetry::logger Log{"servers"};

std::string serverKey(const std::string &Id) { return "s" + Id; }

std::string toRecord(const registration &Entry) {
  const auto Bytes = nlohmann::json::to_cbor(
      nlohmann::json::array({Entry.Address, Entry.Pool, Entry.StartedAtMs}));
  return {Bytes.begin(), Bytes.end()};
}

/** @brief Stores a record of the backend server, before anything is started
 * there. */
void recordServer(leader &Leader, server &Server) {
  if (Server.Recorded || Server.RecordSent)
    return;
  Server.RecordSent = true;
  Leader.Journal.put(
      serverKey(Server.Entry.Id),
      [Text = toRecord(Server.Entry)] { return std::optional{Text}; });
  Leader.Journal.whenStored([&Leader, Id = Server.Entry.Id] {
    server *Found = Leader.findServer(Id);
    if (Found == nullptr)
      return;
    Found->Recorded = true;
    requestDispatch(Leader, Found->Entry.Pool);
  });
}

void addRegisteredServer(leader &Leader, const registration &Entry) {
  server &Server = addServer(Leader, Entry);
  Server.Registered = true;
  Server.HeartbeatDue = Leader.Now();
  recordServer(Leader, Server);
  Log.info("backend server registered",
           {{"server", Entry.Id},
            {"address", Entry.Address},
            {"pool", Entry.Pool},
            {"born", static_cast<std::uint64_t>(Entry.StartedAtMs)}});
}

void updateServer(leader &Leader, server &Server, const registration &Entry) {
  if (Server.Registered && Server.Entry == Entry)
    return;
  const bool Restarted =
      !mayBeSameIncarnation(Entry.StartedAtMs, Server.Entry.StartedAtMs);
  if (Restarted) {
    markServerLost(Leader, Server, "restarted under its id");
    addRegisteredServer(Leader, Entry);
    return;
  }
  if (Entry.Draining && !Server.Entry.Draining)
    Log.info("backend server is draining",
             {{"server", Entry.Id},
              {"remaining_ms", static_cast<std::uint64_t>(Entry.RemainingMs)},
              {"runs", Server.Runs.size()}});
  setRegistration(Leader, Server, Entry);
  Server.Registered = true;
  Server.MissingSince = NoDeadline;
  recordServer(Leader, Server);
  requestDispatch(Leader, Entry.Pool);
}

/** @brief Logs that the wait for runs of an earlier leader has ended without a
 * response: they are treated as ended from now on. */
void logEndOfWaitForRuns(const leader &Leader, server &Server) {
  Server.EndOfWaitLogged = true;
  Log.warning("no response from a backend server of an earlier leader, its "
              "runs are treated as ended",
              {{"server", Server.Entry.Id},
               {"pool", Server.Entry.Pool},
               {"epoch", Leader.Epoch},
               {"leading_ms",
                std::to_string(wholeMs(Leader.Now() - Leader.LeadingSince))},
               {"failures", Server.HeartbeatFailures}});
}

/** @brief Treats the runs as ended, unless a successor may have renewed the
 * lease. */
void handleExpiredLease(leader &Leader, server &Server,
                        const time_point ExpiredAt) {
  if (wasSoleLeaderAt(Leader, ExpiredAt))
    markServerLost(Leader, Server, "lease expired", ExpiredAt);
  else if (Leader.ConfirmLeadership)
    Leader.ConfirmLeadership();
}

/** @brief Checks the lease and whether a heartbeat is due.
 * @param Due Receives the backend server if a heartbeat is due.
 * @return Whether the backend server can be removed. */
bool watchServer(leader &Leader, server &Server, const time_point Now,
                 std::vector<server *> &Due) {
  const bool WaitEnded =
      Server.RunsUnknownUntil != NoDeadline && Now >= Server.RunsUnknownUntil;
  if (WaitEnded && !Server.EndOfWaitLogged)
    logEndOfWaitForRuns(Leader, Server);
  const time_point ExpiredAt = Server.Lease.expiry();
  if (Server.HeartbeatFailures > 0 && !Server.Runs.empty() &&
      Now >= ExpiredAt + Leader.Settings.StopTime)
    handleExpiredLease(Leader, Server, ExpiredAt);
  if (!Server.HeartbeatPending && Now >= Server.HeartbeatDue)
    Due.push_back(&Server);
  const bool Missing =
      !Server.Registered && Server.MissingSince != NoDeadline &&
      Now >= Server.MissingSince + Leader.Settings.RegistrationGrace;
  return Missing && Server.Runs.empty() && Now >= Server.RunsUnknownUntil &&
         Server.LastAppliedEnd == Server.LastStoredEnd;
}

} // namespace

void updateRegistrations(leader &Leader,
                         const std::vector<registration> &Registrations) {
  std::unordered_set<std::string_view> Present;
  for (const auto &Entry : Registrations) {
    Present.insert(Entry.Id);
    const auto Found = Leader.Servers.find(Entry.Id);
    if (Found == Leader.Servers.end())
      addRegisteredServer(Leader, Entry);
    else
      updateServer(Leader, *Found->second, Entry);
  }
  for (auto &[Id, Server] : Leader.Servers) {
    if (Present.contains(Id))
      continue;
    Server->Registered = false;
    if (Server->MissingSince == NoDeadline)
      Server->MissingSince = Leader.Now();
  }
}

namespace {

/** @brief Ends the wait for runs of backend servers that have left with their
 * VMs: a complete list of VMs names each one that is running. */
void forgetDepartedServers(leader &Leader, const std::vector<vm> &Vms) {
  const time_point Now = Leader.Now();
  if (Now >= Leader.AllRunsKnownAt)
    return;
  std::unordered_set<std::string_view> Listed;
  for (const auto &Vm : Vms) {
    if (Vm.State == vm_state::Unknown)
      return; // its backend server is not known
    Listed.insert(Vm.Server);
  }
  for (auto &[Id, Server] : Leader.Servers) {
    const bool Departed = Now < Server->RunsUnknownUntil &&
                          !Server->Registered && !Listed.contains(Id);
    if (!Departed)
      continue;
    Log.info("no VM has the backend server, not waiting for its runs",
             {{"server", Id}, {"pool", Server->Entry.Pool}});
    Server->RunsUnknownUntil = NoDeadline;
    requestDispatchOfAllPools(Leader);
  }
}

} // namespace

void updateVms(leader &Leader, const vms_result &List) {
  std::unordered_map<std::string_view, const vm *> ByName;
  for (const auto &Vm : List.Vms) {
    ByName.emplace(Vm.Name, &Vm);
    if (server *Server = Leader.findServer(Vm.Server))
      Server->Vm = Vm.Name;
  }
  for (auto &[Id, Server] : Leader.Servers) {
    const auto Listed = ByName.find(Server->Vm);
    if (Listed == ByName.end())
      continue;
    const vm &Vm = *Listed->second;
    const bool Ended = Vm.State != vm_state::Unknown &&
                       (Id != Vm.Server || Vm.State != vm_state::Up);
    if (!Ended || (Server->Runs.empty() && !Server->Synced))
      continue;
    markServerLost(Leader, *Server,
                   "VM state is " +
                       std::string{nameOf(VmStateNames, Vm.State)});
    Server->RunsUnknownUntil = NoDeadline;
  }
  if (!List.Incomplete && !List.Vms.empty())
    forgetDepartedServers(Leader, List.Vms);
}

void watchServers(leader &Leader) {
  const time_point Now = Leader.Now();
  std::vector<std::string> Removable;
  std::vector<server *> Due;
  for (auto &[Id, Server] : Leader.Servers) {
    if (watchServer(Leader, *Server, Now, Due))
      Removable.push_back(Id);
  }
  sendHeartbeats(Leader, Due);
  for (const auto &Id : Removable) {
    Log.info("backend server removed", {{"server", Id}});
    Leader.Journal.put(serverKey(Id),
                       [] { return std::optional<std::string>{}; });
    removeServer(Leader, Id);
  }
}

void recoverServer(leader &Leader, const std::string &Id,
                   const std::string_view Record) {
  registration Entry;
  Entry.Id = Id;
  try {
    const auto From = parseCbor(Record);
    Entry.Address = From.at(0);
    Entry.StartedAtMs = boundedInteger<std::int64_t>(From.at(2));
    Entry.Pool = From.at(1);
  } catch (const std::exception &Error) {
    Log.error("stored record of a backend server is not readable",
              {{"server", Id}, {"error", Error.what()}});
  }
  server &Server = addServer(Leader, Entry);
  Server.Recorded = true;
  Server.MissingSince = Leader.Now();
  Server.HeartbeatDue = Leader.Now();
  awaitUnknownRuns(Leader, Server,
                   Leader.PredecessorSeenAt + LeaseGrantValidity);
}

bool runsUnknown(const leader &Leader, const std::string_view Pool) {
  const time_point Now = Leader.Now();
  if (Now >= Leader.AllRunsKnownAt)
    return false;
  return std::ranges::any_of(Leader.Servers, [&](const auto &Each) {
    const server &Server = *Each.second;
    // A server whose record is unreadable may have served any pool.
    return Now < Server.RunsUnknownUntil &&
           (Server.Entry.Pool == Pool || Server.Entry.Pool.empty());
  });
}

} // namespace galenalink::job
