#ifndef GALENALINK_NODE_PATH_HPP
#define GALENALINK_NODE_PATH_HPP

#include <algorithm>
#include <string_view>
#include <vector>

namespace galenalink::node {

/** @brief Segments of a URL path, without the leading slash. */
[[nodiscard]] inline std::vector<std::string_view>
splitPath(const std::string_view Path) {
  std::vector<std::string_view> Parts;
  std::size_t At = Path.starts_with('/') ? 1 : 0;
  while (At <= Path.size()) {
    const auto End = std::min(Path.find('/', At), Path.size());
    Parts.push_back(Path.substr(At, End - At));
    At = End + 1;
  }
  return Parts;
}

} // namespace galenalink::node

#endif
