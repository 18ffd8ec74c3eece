#ifndef GALENALINK_JOB_SERVER_INDEX_HPP
#define GALENALINK_JOB_SERVER_INDEX_HPP

#include "galenalink/job/server.hpp"
#include <algorithm>
#include <map>
#include <string_view>
#include <vector>

namespace galenalink::job {

/** @brief Backend servers by the pool that they are registered in, each list in
 * the order of their ids. */
class server_index {
public:
  /** @param Server Must not be in the index. */
  void add(server &Server) {
    auto &Members = Pools[Server.Entry.Pool];
    Members.insert(position(Members, Server), &Server);
  }
  /** @param Server Must have been added with the pool that it still names. */
  void remove(const server &Server) {
    auto &Members = Pools.at(Server.Entry.Pool);
    Members.erase(position(Members, Server));
  }

  [[nodiscard]] const std::vector<server *> &
  of(const std::string_view Pool) const {
    static const std::vector<server *> None;
    const auto Found = Pools.find(Pool);
    return Found == Pools.end() ? None : Found->second;
  }

private:
  [[nodiscard]] static std::vector<server *>::iterator
  position(std::vector<server *> &Members, const server &Server) {
    return std::ranges::lower_bound(
        Members, Server.Entry.Id, {},
        [](const server *Each) -> const std::string & {
          return Each->Entry.Id;
        });
  }

  std::map<std::string, std::vector<server *>, std::less<>> Pools;
};

} // namespace galenalink::job

#endif
