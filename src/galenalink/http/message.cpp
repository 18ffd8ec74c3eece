#include "galenalink/http/message.hpp"
#include <cstdlib>
#include <event2/http.h>
#include <memory>
#include <strings.h>

namespace galenalink::http {

namespace {

using c_string = std::unique_ptr<char, decltype(&std::free)>;

} // namespace

std::optional<std::string_view>
findHeader(const headers &Headers, const std::string_view Name) noexcept {
  for (const header &Header : Headers) {
    if (Header.Name.size() == Name.size() &&
        strncasecmp(Header.Name.data(), Name.data(), Name.size()) == 0)
      return Header.Value;
  }
  return std::nullopt;
}

std::string encodeSegment(const std::string_view Text) {
  const c_string Encoded{
      evhttp_uriencode(Text.data(), static_cast<ev_ssize_t>(Text.size()), 0),
      std::free};
  return Encoded ? std::string{Encoded.get()} : std::string{};
}

std::string decodeSegment(const std::string_view Text) {
  std::size_t Size = 0;
  const c_string Decoded{evhttp_uridecode(std::string{Text}.c_str(), 0, &Size),
                         std::free};
  return Decoded ? std::string{Decoded.get(), Size} : std::string{};
}

} // namespace galenalink::http
