#ifndef GALENALINK_PLATFORM_BASE64_HPP
#define GALENALINK_PLATFORM_BASE64_HPP

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/binary_from_base64.hpp>
#include <boost/archive/iterators/dataflow_exception.hpp>
#include <boost/archive/iterators/transform_width.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace galenalink::platform {

/** @brief Encodes bytes in base64 with padding (RFC 4648). */
[[nodiscard]] inline std::string encodeBase64(const std::string_view Bytes) {
  using namespace boost::archive::iterators;
  using encoder = base64_from_binary<transform_width<const char *, 6, 8>>;
  std::string Text{encoder{Bytes.data()}, encoder{Bytes.data() + Bytes.size()}};
  Text.append((4 - Text.size() % 4) % 4, '=');
  return Text;
}

/** @brief Decodes base64 with padding; nothing for any other text. */
[[nodiscard]] inline std::optional<std::string>
decodeBase64(std::string_view Text) {
  using namespace boost::archive::iterators;
  using decoder = transform_width<binary_from_base64<const char *>, 8, 6>;
  if (Text.size() % 4 != 0)
    return std::nullopt;
  const std::size_t Padding = Text.ends_with("==")  ? 2
                              : Text.ends_with('=') ? 1
                                                    : 0;
  Text.remove_suffix(Padding);
  // The library takes '=' for a zero digit anywhere.
  if (Text.find('=') != std::string_view::npos)
    return std::nullopt;
  const std::size_t Size = Text.size() * 6 / 8;
  try {
    std::string Bytes;
    Bytes.reserve(Size);
    decoder Next{Text.data()};
    for (std::size_t Each = 0; Each < Size; ++Each)
      Bytes.push_back(*Next++);
    // Characters past the last whole byte are not decoded above.
    if (encodeBase64(Bytes).substr(0, Text.size()) != Text)
      return std::nullopt;
    return Bytes;
  } catch (const dataflow_exception &) {
    return std::nullopt;
  }
}

} // namespace galenalink::platform

#endif
