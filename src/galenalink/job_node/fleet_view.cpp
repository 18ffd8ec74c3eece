#include "galenalink/job_node/fleet_view.hpp"
#include "galenalink/telemetry/log.hpp"
#include <set>

namespace galenalink::job_node {

namespace {

constexpr telemetry::logger Log{"fleet"};

/** So many consecutive records of an incarnation that are older than the known
 * one are not stale reads: the known one is from another writer. */
constexpr std::uint32_t MaxStaleRecords = 3;

std::size_t countCustomers(const job::fleet_rules &Rules) {
  return Rules.Customers ? Rules.Customers->size() : 0;
}

} // namespace

bool fleet_view::applyOperatorRecords(
    const std::vector<job::keyed_record> &Records) {
  bool Changed = false;
  for (const auto &Record : Records) {
    auto Decoded = Ports.DecodeOperator(Record);
    if (auto *New = std::get_if<job::fleet_rules>(&Decoded)) {
      if (New->Version <= Rules.Version)
        continue;
      Log.info("applying new rules", {{"version", New->Version},
                                      {"before", Rules.Version},
                                      {"queues", New->Queues.size()},
                                      {"pools", New->Pools.size()},
                                      {"customers", countCustomers(*New)}});
      Rules = std::move(*New);
      Keys = job::key_index{Rules};
      Changed = true;
    }
    if (auto *Wave = std::get_if<job::wave>(&Decoded)) {
      const auto Number = Wave->Number;
      const auto Found = Waves.find(Number);
      if (Found != Waves.end() && Found->second == *Wave)
        continue;
      Log.info("wave", {{"wave", Number},
                        {"vms", Wave->Vms.size()},
                        {"within_s", Wave->WindowS},
                        {"cap", Wave->MaxUnavailable}});
      Waves[Number] = std::move(*Wave);
      Changed = true;
    }
  }
  return Changed;
}

void fleet_view::applyRegistrations(
    const std::vector<job::keyed_record> &Records, const bool IsSnapshot) {
  std::set<std::string> Present;
  for (const auto &Record : Records) {
    auto Registration = Ports.DecodeRegistration(Record);
    if (!Registration) {
      Registrations.erase(Record.Key);
      StaleRecords.erase(Record.Key);
      continue;
    }
    Present.insert(Record.Key);
    applyRegistration(Record.Key, std::move(*Registration));
  }
  if (IsSnapshot)
    std::erase_if(Registrations, [&](const auto &Entry) {
      return !Present.contains(Entry.first);
    });
  std::erase_if(StaleRecords, [&](const auto &Entry) {
    return !Registrations.contains(Entry.first);
  });
}

void fleet_view::applyRegistration(const std::string &Key,
                                   job::registration Registration) {
  const auto Found = Registrations.find(Key);
  const bool Known = Found != Registrations.end();
  // An incarnation that has ended must not return: its successor's runs would
  // be taken for lost.
  if (Known && Registration.StartedAtMs < Found->second.StartedAtMs)
    return;
  const bool Stale = Known &&
                     Registration.StartedAtMs == Found->second.StartedAtMs &&
                     Registration.Sequence < Found->second.Sequence;
  if (Stale && ++StaleRecords[Key] < MaxStaleRecords)
    return;
  StaleRecords.erase(Key);
  Registrations.insert_or_assign(Key, std::move(Registration));
}

std::vector<job::registration> fleet_view::registrations() const {
  std::vector<job::registration> All;
  for (const auto &[Id, Registration] : Registrations)
    All.push_back(Registration);
  return All;
}

} // namespace galenalink::job_node
