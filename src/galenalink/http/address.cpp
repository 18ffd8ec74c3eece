#include "galenalink/http/address.hpp"
#include <arpa/inet.h>
#include <charconv>

namespace galenalink::http {

std::string toString(const address &Address) {
  const bool Version6 = Address.Host.find(':') != std::string::npos;
  return (Version6 ? "[" + Address.Host + "]" : Address.Host) + ":" +
         std::to_string(Address.Port);
}

result<address> parseAddress(const std::string_view Text) {
  const auto Bad = [&] {
    return fail(errc::BadInput, "'" + std::string{Text} +
                                    "' is not a numeric address, expected "
                                    "IP:PORT or [IP]:PORT");
  };
  const auto Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return Bad();
  std::string_view Host = Text.substr(0, Colon);
  const bool Bracketed =
      Host.size() >= 2 && Host.front() == '[' && Host.back() == ']';
  if (Bracketed)
    Host = Host.substr(1, Host.size() - 2);
  address Address{std::string{Host}, 0};
  unsigned char Binary[sizeof(in6_addr)];
  if (inet_pton(Bracketed ? AF_INET6 : AF_INET, Address.Host.c_str(), Binary) !=
      1)
    return Bad();
  const std::string_view Port = Text.substr(Colon + 1);
  const auto [End, Code] =
      std::from_chars(Port.data(), Port.data() + Port.size(), Address.Port);
  if (Code != std::errc{} || End != Port.data() + Port.size())
    return Bad();
  return Address;
}

} // namespace galenalink::http
