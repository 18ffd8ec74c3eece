#include "galenalink/core/assert.hpp"
#include "galenalink/fleet/apply_detail.hpp"
#include <map>
#include <set>

namespace galenalink::fleet::detail {

namespace {

/** @brief A change that is being checked; nothing is in force yet. */
struct draft {
  struct pool_change {
    std::string Document;
    std::string Customer;
    const config::pool *Pool;
  };
  struct service_change {
    std::string Document;
    const config::service *Service;
  };

  /** Parsed documents; null for removals. */
  std::map<std::string, std::shared_ptr<const config::service_file>> Files;
  std::map<std::string, pool_change> Pools;
  std::map<std::string, service_change> Services;
  /** Pools and services of the documents that are replaced. */
  std::set<std::string> OldPools;
  std::set<std::string> OldServices;
};

class checker {
public:
  checker(const state &StateIn, draft &DraftIn, applied &ResultIn) noexcept
      : State(StateIn), Draft(DraftIn), Result(ResultIn) {}

  [[nodiscard]] bool check(const wire::config_change &Change) {
    return checkVersions(Change) && parse(Change) && collect() &&
           checkPools() && checkServices() && checkRemoved() && checkBounds();
  }

private:
  [[nodiscard]] bool reject(const rejection Reason, std::string Detail) {
    Result.Reason = Reason;
    Result.Detail = std::move(Detail);
    return false;
  }

  [[nodiscard]] bool conflict(const std::string &Name, const document &Newer) {
    Result.Winner =
        winning_change{Name, Newer.Version, Newer.Change, Newer.Author};
    return reject(rejection::Conflict, Name);
  }

  [[nodiscard]] bool checkVersions(const wire::config_change &Change) {
    if (Change.documents().empty() || Change.base_version() >= State.Offset)
      return reject(rejection::BadRecord, "documents or base version");
    const auto &Known = State.Config.Documents;
    for (const auto &Each : Change.documents()) {
      if (Each.name().empty())
        return reject(rejection::BadRecord, "document without a name");
      const auto Found = Known.find(Each.name());
      if (Found != Known.end()) {
        if (Found->second.Version > Change.base_version())
          return conflict(Each.name(), Found->second);
      } else if (State.Config.ForgottenRemoval > Change.base_version()) {
        return conflict(Each.name(),
                        {{}, State.Config.ForgottenRemoval, 0, {}, nullptr});
      }
    }
    return true;
  }

  [[nodiscard]] bool parse(const wire::config_change &Change) {
    for (const auto &Each : Change.documents()) {
      std::shared_ptr<config::service_file> File;
      if (!Each.text().empty()) {
        File = std::make_shared<config::service_file>();
        const auto Errors = State.Parse(Each.name(), Each.text(), *File);
        if (!Errors.empty())
          return reject(rejection::InvalidDocument,
                        Each.name() + ':' + std::to_string(Errors[0].Line) +
                            ':' + std::to_string(Errors[0].Column) + ": " +
                            Errors[0].Message);
      }
      if (!Draft.Files.emplace(Each.name(), std::move(File)).second)
        return reject(rejection::BadRecord, Each.name());
    }
    return true;
  }

  [[nodiscard]] bool collect() {
    for (const auto &[Name, File] : Draft.Files) {
      const auto Found = State.Config.Documents.find(Name);
      if (Found != State.Config.Documents.end() && Found->second.File) {
        for (const auto &Pool : Found->second.File->Pools)
          Draft.OldPools.insert(Pool.Name);
        for (const auto &Service : Found->second.File->Services)
          Draft.OldServices.insert(
              serviceKey(Found->second.File->Customer, Service.Name));
      }
      if (!File)
        continue;
      for (const auto &Pool : File->Pools) {
        if (!Draft.Pools
                 .try_emplace(Pool.Name,
                              draft::pool_change{Name, File->Customer, &Pool})
                 .second)
          return reject(rejection::NameTaken, "pool " + Pool.Name);
      }
      for (const auto &Service : File->Services) {
        const auto Key = serviceKey(File->Customer, Service.Name);
        if (!Draft.Services
                 .try_emplace(Key, draft::service_change{Name, &Service})
                 .second)
          return reject(rejection::NameTaken, "service " + Key);
      }
    }
    return true;
  }

  [[nodiscard]] bool checkPools() {
    for (const auto &[Name, Change] : Draft.Pools) {
      if (Name.empty() || Change.Pool->Shards == 0)
        return reject(rejection::InvalidDocument, "pool " + Name);
      const auto Index = State.Vms.findPool(Name);
      if (!Index)
        continue;
      const pool &Known = State.Vms.poolAt(*Index);
      if (Known.configured() && !Draft.Files.contains(Known.Document))
        return reject(rejection::NameTaken, "pool " + Name);
      if (Known.Shards != Change.Pool->Shards ||
          Known.Customer != Change.Customer)
        return reject(rejection::FixedProperty, "pool " + Name);
    }
    return true;
  }

  [[nodiscard]] bool poolStays(const std::string &Name) const {
    if (Draft.Pools.contains(Name))
      return true;
    const auto Index = State.Vms.findPool(Name);
    return Index && State.Vms.poolAt(*Index).configured() &&
           !Draft.OldPools.contains(Name);
  }

  [[nodiscard]] bool checkServices() {
    for (const auto &[Key, Change] : Draft.Services) {
      if (!poolStays(Change.Service->Pool))
        return reject(rejection::UnknownPool, "pool " + Change.Service->Pool);
      const auto Known = State.Config.Services.find(Key);
      if (Known == State.Config.Services.end())
        continue;
      if (!Known->second.Document.empty() &&
          !Draft.Files.contains(Known->second.Document))
        return reject(rejection::NameTaken, "service " + Key);
      if (Known->second.Pool != Change.Service->Pool)
        return reject(rejection::FixedProperty, "service " + Key);
    }
    return true;
  }

  [[nodiscard]] bool checkRemoved() {
    for (const auto &Name : Draft.OldPools) {
      if (Draft.Pools.contains(Name))
        continue;
      const pool &Pool = State.Vms.poolAt(*State.Vms.findPool(Name));
      if (Pool.Counts.Vms > 0 || Pool.Counts.Incoming > 0)
        return reject(rejection::PoolInUse, "pool " + Name);
      for (const auto &Service : Pool.ServiceMinUp) {
        if (!Draft.OldServices.contains(Service.first))
          return reject(rejection::PoolInUse, "pool " + Name);
      }
    }
    return true;
  }

  [[nodiscard]] bool checkBounds() {
    std::size_t NewPools = 0;
    std::size_t NewServices = 0;
    std::size_t NewDocuments = 0;
    for (const auto &Each : Draft.Pools)
      NewPools += State.Vms.findPool(Each.first) ? 0U : 1U;
    for (const auto &Each : Draft.Services)
      NewServices += State.Config.Services.contains(Each.first) ? 0U : 1U;
    for (const auto &Each : Draft.Files)
      NewDocuments += State.Config.Documents.contains(Each.first) ? 0U : 1U;
    if (State.Vms.pools().size() + NewPools > vm_table::MaxPools ||
        State.Config.Services.size() + NewServices >
            configuration::MaxServices ||
        State.Config.Documents.size() + NewDocuments >
            configuration::MaxDocuments)
      return reject(rejection::Full, "pools, services or documents");
    return true;
  }

  const state &State;
  draft &Draft;
  applied &Result;
};

void removeOld(state &State, const draft &Draft) {
  for (const auto &Key : Draft.OldServices) {
    auto &Service = State.Config.Services[Key];
    auto &Pool = State.Vms.editPool(*State.Vms.findPool(Service.Pool));
    Pool.ServiceMinUp.erase(Key);
    Pool.updateBudget();
    Service.Document.clear();
  }
  for (const auto &Name : Draft.OldPools) {
    auto &Pool = State.Vms.editPool(*State.Vms.findPool(Name));
    Pool.Document.clear();
    Pool.MinUp = 0;
    Pool.updateBudget();
    if (!Draft.Pools.contains(Name))
      State.PoolsVersion = State.Offset;
  }
}

void addNew(state &State, const draft &Draft) {
  for (const auto &[Name, Change] : Draft.Pools) {
    auto &Pool = State.Vms.editPool(
        State.Vms.addPool(Name, Change.Customer, Change.Pool->Shards));
    Pool.Document = Change.Document;
    Pool.MinUp = Change.Pool->MinUp;
    Pool.Spare = Change.Pool->Spare;
    Pool.updateBudget();
    if (!Draft.OldPools.contains(Name))
      State.PoolsVersion = State.Offset;
  }
  for (const auto &[Key, Change] : Draft.Services) {
    State.Config.Services[Key] = {Change.Service->Pool, Change.Document};
    auto &Pool = State.Vms.editPool(*State.Vms.findPool(Change.Service->Pool));
    Pool.ServiceMinUp[Key] = Change.Service->MinUp;
    Pool.updateBudget();
  }
}

} // namespace

void applyConfig(state &State, const wire::record &Record, applied &Result) {
  GALENALINK_ASSERT(State.Parse, "a state is made with a parse hook");
  const auto &Change = Record.config();
  draft Draft;
  if (!checker{State, Draft, Result}.check(Change))
    return;
  removeOld(State, Draft);
  addNew(State, Draft);
  auto &Config = State.Config;
  for (const auto &Each : Change.documents()) {
    auto &Document = Config.Documents[Each.name()];
    if (Document.File)
      Config.countLending(*Document.File, false);
    else
      std::erase(Config.Removed, Each.name());
    Document = {Each.text(), State.Offset, Record.id(), Change.author(),
                Draft.Files.at(Each.name())};
    if (Document.File)
      Config.countLending(*Document.File, true);
    else
      Config.Removed.push_back(Each.name());
  }
  Config.boundRemoved();
  Config.Version = State.Offset;
}

} // namespace galenalink::fleet::detail
