#include "galenalink/http/message.hpp"
#include <strings.h>

namespace galenalink::http {

std::optional<std::string_view>
findHeader(const headers &Headers, const std::string_view Name) noexcept {
  for (const header &Header : Headers) {
    if (Header.Name.size() == Name.size() &&
        strncasecmp(Header.Name.data(), Name.data(), Name.size()) == 0)
      return Header.Value;
  }
  return std::nullopt;
}

} // namespace galenalink::http
