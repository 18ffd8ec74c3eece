#include "galenalink/peer/frame.hpp"
#include <cstdint>

namespace galenalink::peer {

namespace {

std::size_t payloadBytes(const std::string_view Header) noexcept {
  std::uint32_t Size = 0;
  for (std::size_t Each = 0; Each < FrameHeaderBytes; ++Each)
    Size = (Size << 8U) | static_cast<std::uint8_t>(Header[Each]);
  return Size;
}

} // namespace

std::string frameHeader(const std::size_t PayloadBytes) {
  std::string Header(FrameHeaderBytes, '\0');
  for (std::size_t Each = 0; Each < FrameHeaderBytes; ++Each)
    Header[Each] =
        static_cast<char>(PayloadBytes >> (8U * (FrameHeaderBytes - 1 - Each)));
  return Header;
}

frame_parser::frame_parser(const std::size_t MaxBytes) noexcept
    : MaxBytes{MaxBytes} {}

void frame_parser::setLimit(const std::size_t Limit) noexcept {
  MaxBytes = Limit;
}

bool frame_parser::feed(const std::string_view Bytes,
                        const receiver &Receiver) {
  if (Failed)
    return false;
  Buffer.append(Bytes);
  std::size_t Begin = 0;
  while (Buffer.size() - Begin >= FrameHeaderBytes) {
    const std::string_view Rest = std::string_view{Buffer}.substr(Begin);
    const std::size_t Size = payloadBytes(Rest);
    if (Size > MaxBytes) {
      Failed = true;
      break;
    }
    if (Rest.size() - FrameHeaderBytes < Size)
      break;
    Begin += FrameHeaderBytes + Size;
    if (!Receiver(Rest.substr(FrameHeaderBytes, Size))) {
      Failed = true;
      break;
    }
  }
  if (Failed) {
    Buffer = {};
    return false;
  }
  Buffer.erase(0, Begin);
  // A large frame must not keep its memory for the life of the connection.
  constexpr std::size_t KeptBytes = 64U << 10U;
  if (Buffer.empty() && Buffer.capacity() > KeptBytes)
    Buffer.shrink_to_fit();
  return true;
}

std::size_t frame_parser::held() const noexcept { return Buffer.size(); }

} // namespace galenalink::peer
