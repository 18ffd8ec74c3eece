#include "galenalink/fleet/configuration.hpp"
#include <algorithm>

namespace galenalink::fleet {

void configuration::countLending(const config::service_file &File,
                                 const bool Add) {
  for (const auto &Each : File.Lending) {
    const std::pair Key{File.Customer, Each.To};
    auto &Quota = Lending[Key];
    Quota += Add ? Each.MaxVms : 0U - Each.MaxVms;
    if (Quota == 0)
      Lending.erase(Key);
  }
}

void configuration::keepResult(change_result Result) {
  Results.push_back(std::move(Result));
  if (Results.size() > MaxResults)
    Results.pop_front();
}

void configuration::boundRemoved() {
  while (Removed.size() > MaxRemoved) {
    const auto Found = Documents.find(Removed.front());
    if (Found != Documents.end()) {
      ForgottenRemoval = std::max(ForgottenRemoval, Found->second.Version);
      Documents.erase(Found);
    }
    Removed.pop_front();
  }
}

} // namespace galenalink::fleet
