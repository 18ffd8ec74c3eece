#ifndef GALENALINK_PEER_TRANSPORT_HPP
#define GALENALINK_PEER_TRANSPORT_HPP

#include "galenalink/core/result.hpp"
#include "galenalink/core/time.hpp"
#include "galenalink/http/address.hpp"
#include "galenalink/http/loop.hpp"
#include "galenalink/peer/fwd.hpp"
#include "galenalink/wire/fwd.hpp"
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <sigc++/signal.h>
#include <string>
#include <vector>

namespace galenalink::peer {

struct options {
  node_id Self{};
  /** Shared by all nodes; a peer with another token is rejected. */
  std::string Token;
  duration HeartbeatInterval{std::chrono::milliseconds{500}};
  /** From the start of a connection to the far side's hello. */
  duration HelloTimeout{std::chrono::seconds{2}};
  /** A connection on which nothing arrives for this long is closed. */
  duration SilenceLimit{std::chrono::seconds{5}};
  duration MinBackoff{std::chrono::milliseconds{100}};
  duration MaxBackoff{std::chrono::seconds{2}};
  std::size_t MaxFrameBytes{8U << 20U};
  /** Bytes that wait to be written on one connection. */
  std::size_t MaxQueuedBytes{16U << 20U};
  /** Accepted connections that have not said hello. */
  std::size_t MaxUnidentified{64};
};

struct hooks {
  /** Content of a heartbeat, without its sequence. */
  std::function<wire::heartbeat()> MakeHeartbeat;
  /** Folded offset to answer a heartbeat with; nothing: no answer. */
  std::function<std::optional<log_offset>()> AnswerOffset;
};

/** @brief Where a node may be reached. */
struct target {
  http::address Address;
  /** Not known for a seed. */
  std::optional<node_id> Node;
};

/** @brief A heartbeat that was answered. */
struct evidence {
  time_point SentAt;
  /** Offset that the peer had folded when it answered. */
  log_offset Folded{0};
};

/** @brief Bytes of frames since the start. */
struct traffic {
  std::uint64_t Sent{0};
  std::uint64_t Received{0};
  /** Part of the above: hellos, heartbeats and their replies. */
  std::uint64_t ControlSent{0};
  std::uint64_t ControlReceived{0};
};

enum class send_result : std::uint8_t {
  /** Queued; it is lost if the connection ends first. */
  Queued,
  NotConnected,
  QueueFull,
  TooLarge,
};

inline constexpr enum_names<send_result, 4> SendResultNames{{
    {send_result::Queued, "queued"},
    {send_result::NotConnected, "not-connected"},
    {send_result::QueueFull, "queue-full"},
    {send_result::TooLarge, "too-large"},
}};

/** @brief Compares secrets in a time that does not depend on their bytes. */
[[nodiscard]] bool equalSecrets(std::string_view Left,
                                std::string_view Right) noexcept;

/**
 * @brief Connections of this node with the others. Its receivers must not
 * destroy it from within a signal.
 */
class transport {
public:
  static constexpr std::uint32_t ProtocolVersion = 1;

  transport(http::loop &Loop, options Options, hooks Hooks);
  ~transport();
  transport(const transport &) = delete;
  transport &operator=(const transport &) = delete;

  /** @return The bound port; `Unavailable` if the address can't be bound. */
  [[nodiscard]] result<std::uint16_t> listen(const http::address &Address);
  /**
   * @brief Replaces the addresses that are dialed while their node is not
   * connected. Connections that exist stay.
   */
  void setTargets(const std::vector<target> &Targets);
  [[nodiscard]] send_result send(node_id Node,
                                 const wire::peer_message &Message);
  [[nodiscard]] bool isConnected(node_id Node) const;
  [[nodiscard]] std::vector<node_id> connectedNodes() const;
  /** @brief Closes the connections to a node. */
  void disconnect(node_id Node);
  /** @brief Closes all connections and goes on under a new id. */
  void rename(node_id Self);

  /** @return The answered heartbeat with the latest sending time. */
  [[nodiscard]] std::optional<evidence> evidenceOf(node_id Node) const;
  [[nodiscard]] const traffic &counters() const noexcept;

  /** Every message but hellos and heartbeat replies, in order. */
  sigc::signal<void(node_id, const wire::peer_message &)> Received;
  sigc::signal<void(node_id)> Connected;
  /** Messages that were queued for the node may be lost. */
  sigc::signal<void(node_id)> Disconnected;
  sigc::signal<void(node_id, const evidence &)> HeartbeatAnswered;
  /** A rejected or broken connection, as a sentence for the log. */
  sigc::signal<void(const std::string &)> Problem;

private:
  class impl;
  std::unique_ptr<impl> Impl;
};

} // namespace galenalink::peer

#endif
