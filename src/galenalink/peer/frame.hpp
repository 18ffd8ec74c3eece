#ifndef GALENALINK_PEER_FRAME_HPP
#define GALENALINK_PEER_FRAME_HPP

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace galenalink::peer {

/** Bytes of the length in front of each frame, most significant first. */
inline constexpr std::size_t FrameHeaderBytes = 4;

/** @brief The length that precedes a payload. */
[[nodiscard]] std::string frameHeader(std::size_t PayloadBytes);

/** @brief Cuts a byte stream into the payloads of its frames. */
class frame_parser {
public:
  /** @param Payload Valid during the call. @return Whether to go on. */
  using receiver = std::function<bool(std::string_view Payload)>;

  /** @param MaxBytes Bound of one payload. */
  explicit frame_parser(std::size_t MaxBytes) noexcept;

  /** @brief Changes the bound; applies to frames not yet begun. */
  void setLimit(std::size_t MaxBytes) noexcept;
  /**
   * @brief Takes the next bytes of the stream.
   * @return False if a frame exceeds the bound or the receiver stopped; the
   * parser then ignores all further bytes.
   */
  [[nodiscard]] bool feed(std::string_view Bytes, const receiver &Receiver);
  /** @return Bytes held of an incomplete frame. */
  [[nodiscard]] std::size_t held() const noexcept;

private:
  std::size_t MaxBytes;
  std::string Buffer;
  bool Failed{false};
};

} // namespace galenalink::peer

#endif
