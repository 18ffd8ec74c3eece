#ifndef GALENALINK_TEST_FLEET_DOCUMENTS_HPP
#define GALENALINK_TEST_FLEET_DOCUMENTS_HPP

#include "galenalink/fleet/configuration.hpp"
#include <sstream>

namespace galenalink::fleet::test {

/**
 * @brief Stand-in for the parser of service files. Words of the text: the
 * customer, then `pool=NAME:SHARDS:MIN_UP`, `service=NAME:POOL:MIN_UP` and
 * `lend=MEMBER:MAX`. Any other word is an error.
 */
[[nodiscard]] inline std::vector<config::diagnostic>
parseWords(const std::string_view Name, const std::string_view Text,
           config::service_file &Out) {
  std::istringstream Words{std::string{Text}};
  Words >> Out.Customer;
  for (std::string Word; Words >> Word;) {
    for (auto &Char : Word)
      Char = Char == '=' || Char == ':' ? ' ' : Char;
    std::istringstream Parts{Word};
    std::string Kind;
    std::string First;
    Parts >> Kind >> First;
    if (Kind == "pool") {
      config::pool Pool;
      Pool.Name = First;
      Parts >> Pool.Shards >> Pool.MinUp;
      Out.Pools.push_back(Pool);
    } else if (Kind == "service") {
      config::service Service;
      Service.Name = First;
      Parts >> Service.Pool >> Service.MinUp;
      Out.Services.push_back(Service);
    } else if (Kind == "lend") {
      config::lending Lending;
      Lending.To = First;
      Parts >> Lending.MaxVms;
      Out.Lending.push_back(Lending);
    } else {
      return {{std::string{Name}, 1, 1, "/", "unknown word " + Kind}};
    }
  }
  return {};
}

} // namespace galenalink::fleet::test

#endif
