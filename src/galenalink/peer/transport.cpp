#include "galenalink/peer/transport.hpp"
#include "galenalink/core/assert.hpp"
#include "galenalink/peer/detail/socket_address.hpp"
#include "galenalink/peer/detail/transport_impl.hpp"
#include <event2/listener.h>
#include <utility>

namespace galenalink::peer {

using detail::dial;
using detail::link_id;

namespace {

constexpr duration DialInterval = std::chrono::milliseconds{50};

} // namespace

bool equalSecrets(const std::string_view Left,
                  const std::string_view Right) noexcept {
  unsigned Difference = Left.size() == Right.size() ? 0 : 1;
  for (std::size_t Each = 0; Each < Left.size(); ++Each) {
    const char Other = Right.empty() ? '\0' : Right[Each % Right.size()];
    Difference |= static_cast<unsigned char>(Left[Each] ^ Other);
  }
  return Difference == 0;
}

transport::transport(http::loop &Loop, options Options, hooks Hooks)
    : Impl{std::make_unique<impl>(*this, Loop, std::move(Options),
                                  std::move(Hooks))} {
  impl *Self = Impl.get();
  GALENALINK_ASSERT(Self->Hooks.MakeHeartbeat && Self->Hooks.AnswerOffset,
                    "both hooks are needed");
  // Nodes that lost each other must not dial again in step.
  Self->Random.seed(static_cast<std::uint32_t>(
      static_cast<std::uint64_t>(Self->Options.Self)));
  Self->DialTimer = Loop.every(DialInterval, [Self] { Self->dialAll(); });
  Self->HeartbeatTimer =
      Loop.every(Self->Options.HeartbeatInterval, [Self] { Self->beat(); });
}

transport::~transport() {
  if (Impl->Listener != nullptr)
    evconnlistener_free(Impl->Listener);
}

result<std::uint16_t> transport::listen(const http::address &Address) {
  GALENALINK_ASSERT(Impl->Listener == nullptr, "listen is called once");
  auto Bound = detail::toSocketAddress(Address);
  if (Bound)
    Impl->Listener = evconnlistener_new_bind(
        Impl->Loop.native(),
        [](evconnlistener *, const evutil_socket_t Socket, sockaddr *From, int,
           void *Self) {
          static_cast<impl *>(Self)->accept(Socket, detail::toAddress(From));
        },
        Impl.get(), LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
        Bound->data(), static_cast<int>(Bound->Size));
  if (Impl->Listener == nullptr)
    return fail(errc::Unavailable,
                "can't listen on " + http::toString(Address));
  Bound->Size = sizeof(Bound->Storage);
  getsockname(evconnlistener_get_fd(Impl->Listener), Bound->data(),
              &Bound->Size);
  return detail::toAddress(Bound->data()).Port;
}

void transport::setTargets(const std::vector<target> &Targets) {
  std::map<http::address, dial> Dials;
  for (const target &Target : Targets) {
    const auto Known = Impl->Dials.find(Target.Address);
    if (Known != Impl->Dials.end()) {
      dial Kept = Known->second;
      Kept.Target = Target;
      Dials.emplace(Target.Address, Kept);
      continue;
    }
    // The node with the lower id dials first, so that one connection is made.
    const bool Wait = Target.Node && *Target.Node < Impl->Options.Self;
    Dials.emplace(Target.Address,
                  dial{Target, std::nullopt, Impl->Options.MinBackoff,
                       boot_clock::now() + (Wait ? Impl->Options.MinBackoff * 2
                                                 : duration::zero())});
  }
  Impl->Dials = std::move(Dials);
}

send_result transport::send(const node_id Node,
                            const wire::peer_message &Message) {
  return Impl->send(Node, Message);
}

bool transport::isConnected(const node_id Node) const {
  return Impl->preferred(Node) != nullptr;
}

std::vector<node_id> transport::connectedNodes() const {
  std::vector<node_id> Connected;
  for (const auto &[Node, Remote] : Impl->Nodes) {
    if (Remote.Announced)
      Connected.push_back(Node);
  }
  return Connected;
}

void transport::disconnect(const node_id Node) {
  const auto Found = Impl->Nodes.find(Node);
  if (Found == Impl->Nodes.end())
    return;
  for (const link_id Id : std::vector{Found->second.Links})
    Impl->close(Id, nullptr);
}

void transport::rename(const node_id Self) {
  while (!Impl->Links.empty())
    Impl->close(Impl->Links.begin()->first, nullptr);
  Impl->Nodes.clear();
  Impl->Options.Self = Self;
}

std::optional<evidence> transport::evidenceOf(const node_id Node) const {
  const auto Found = Impl->Nodes.find(Node);
  return Found == Impl->Nodes.end() ? std::nullopt : Found->second.Evidence;
}

const traffic &transport::counters() const noexcept { return Impl->Traffic; }

} // namespace galenalink::peer
