#include "galenalink/job_node/fleet_view.hpp"
#include "galenalink/telemetry/log.hpp"
#include <set>

namespace galenalink::job_node {

namespace {

constexpr telemetry::logger Log{"fleet"};

} // namespace

bool fleet_view::takeOperator(const std::vector<job::keyed_record> &Records) {
  bool Changed = false;
  for (const auto &Record : Records) {
    auto Decoded = Ports.DecodeOperator(Record);
    if (auto *New = std::get_if<job::fleet_rules>(&Decoded)) {
      if (New->Version <= Rules.Version)
        continue;
      Log.info("rules in force", {{"version", New->Version},
                                  {"before", Rules.Version},
                                  {"queues", New->Queues.size()},
                                  {"pools", New->Pools.size()}});
      Rules = std::move(*New);
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

void fleet_view::takeRegistrations(
    const std::vector<job::keyed_record> &Records, const bool Complete) {
  std::set<std::string> Present;
  for (const auto &Record : Records) {
    auto Entry = Ports.DecodeRegistration(Record);
    if (!Entry) {
      Registrations.erase(Record.Key);
      continue;
    }
    Present.insert(Record.Key);
    const auto Found = Registrations.find(Record.Key);
    const bool Older = Found != Registrations.end() &&
                       (Entry->StartedAtMs < Found->second.StartedAtMs ||
                        (Entry->StartedAtMs == Found->second.StartedAtMs &&
                         Entry->Sequence < Found->second.Sequence));
    if (!Older)
      Registrations.insert_or_assign(Record.Key, std::move(*Entry));
  }
  if (Complete)
    std::erase_if(Registrations, [&](const auto &Each) {
      return !Present.contains(Each.first);
    });
}

std::vector<job::registration> fleet_view::registrations() const {
  std::vector<job::registration> All;
  for (const auto &[Id, Entry] : Registrations)
    All.push_back(Entry);
  return All;
}

const job::queue_rule *matchQueue(const job::fleet_rules &Rules,
                                  const std::string_view Host,
                                  const std::string_view Path) noexcept {
  const job::queue_rule *Best = nullptr;
  for (const auto &Each : Rules.Queues) {
    if (Each.Host != Host || !Path.starts_with(Each.PathPrefix))
      continue;
    if (Best == nullptr || Each.PathPrefix.size() > Best->PathPrefix.size())
      Best = &Each;
  }
  return Best;
}

} // namespace galenalink::job_node
