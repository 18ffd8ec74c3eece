#include "galenalink/node/catalog.hpp"
#include <algorithm>

namespace galenalink::node {

const config::queue *
service_view::findQueue(const std::string_view Name) const {
  const auto Found =
      std::find_if(Service.Queues.begin(), Service.Queues.end(),
                   [&](const auto &Queue) { return Queue.Name == Name; });
  return Found == Service.Queues.end() ? nullptr : &*Found;
}

void catalog::update(const fleet::state &State) {
  if (Version == State.Config.Version)
    return;
  Version = State.Config.Version;
  Services.clear();
  Pools.clear();
  for (const auto &[Name, Document] : State.Config.Documents) {
    if (!Document.File)
      continue;
    const std::string &Customer = Document.File->Customer;
    for (const auto &Service : Document.File->Services) {
      const auto Pool = State.Vms.findPool(Service.Pool);
      if (!Pool)
        continue;
      const std::string Owner = fleet::serviceKey(Customer, Service.Name);
      Services[Owner] = {Customer, Service, State.Vms.poolAt(*Pool).Shards};
      auto &View = Pools[Service.Pool];
      for (const auto &Queue : Service.Queues)
        View.Queues.push_back({Customer, Service.Name, Queue});
      for (const auto &Team : Service.Teams)
        View.Teams.emplace_back(Owner, Team);
    }
  }
}

const service_view *catalog::find(const std::string &Customer,
                                  const std::string &Service) const {
  const auto Found = Services.find(fleet::serviceKey(Customer, Service));
  return Found == Services.end() ? nullptr : &Found->second;
}

const pool_view &catalog::pool(const std::string &Name) const {
  static const pool_view Empty;
  const auto Found = Pools.find(Name);
  return Found == Pools.end() ? Empty : Found->second;
}

} // namespace galenalink::node
