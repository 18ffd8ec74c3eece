#include "galenalink/peer/detail/transport_impl.hpp"
#include <algorithm>
#include <event2/util.h>
#include <utility>

namespace galenalink::peer {

using detail::dial;
using detail::heartbeat_sent;
using detail::link;
using detail::link_id;
using detail::remote_node;

namespace {

/** Bound of a frame before the hello was checked. */
constexpr std::size_t MaxHelloBytes = 4096;
/** Unanswered heartbeats remembered for each peer. */
constexpr std::size_t MaxUnanswered = 64;
/** How long evidence of a node without a connection is kept. */
constexpr duration KeepEvidence = std::chrono::seconds{60};

bool isControl(const wire::peer_message &Message) noexcept {
  return Message.has_hello() || Message.has_heartbeat() ||
         Message.has_heartbeat_reply();
}

} // namespace

detail::connection::callbacks transport::impl::callbacks(const link_id Id) {
  return {
      [this, Id] { connected(Id); },
      [this, Id](const wire::peer_message &Message, const std::size_t Bytes) {
        return received(Id, Message, Bytes);
      },
      [this, Id](const char *Reason) { close(Id, Reason); }};
}

void transport::impl::addLink(const link_id Id, link Link) {
  Link.HelloLimit = Loop.at(boot_clock::now() + Options.HelloTimeout,
                            [this, Id] { close(Id, "no hello in time"); });
  Links.emplace(Id, std::move(Link));
}

void transport::impl::accept(const int Socket, const http::address &Remote) {
  const auto Unidentified = std::ranges::count_if(Links, [](const auto &Each) {
    return !Each.second.Dialed && !Each.second.Node;
  });
  if (static_cast<std::size_t>(Unidentified) >= Options.MaxUnidentified) {
    evutil_closesocket(Socket);
    return;
  }
  const link_id Id = NextLink++;
  link Link;
  Link.Remote = Remote;
  Link.Connection = std::make_unique<detail::connection>(
      Loop, Socket, MaxHelloBytes, callbacks(Id));
  addLink(Id, std::move(Link));
}

bool transport::impl::satisfied(const dial &Dial) const {
  const auto Reached = [&](const std::optional<node_id> &Node) {
    return Node && (*Node == Options.Self || preferred(*Node) != nullptr);
  };
  return Reached(Dial.Target.Node) || Reached(Dial.Seen);
}

void transport::impl::dialAll() {
  const time_point Now = boot_clock::now();
  for (auto &[Address, Dial] : Dials) {
    if (Dial.Link != 0 || Now < Dial.NextAt || satisfied(Dial))
      continue;
    const link_id Id = NextLink++;
    Dial.Link = Id;
    link Link;
    Link.Dialed = true;
    Link.Remote = Address;
    Link.Connection = std::make_unique<detail::connection>(
        Loop, Address, MaxHelloBytes, callbacks(Id));
    addLink(Id, std::move(Link));
  }
}

// The token goes first to the side that was dialed, whose address was chosen
// here; an accepted connection gets it only after it has shown it.
void transport::impl::connected(const link_id Id) {
  const auto Found = Links.find(Id);
  if (Found != Links.end() && Found->second.Dialed)
    sendHello(Found->second);
}

bool transport::impl::received(const link_id Id,
                               const wire::peer_message &Message,
                               const std::size_t Bytes) {
  const auto Found = Links.find(Id);
  if (Found == Links.end())
    return false;
  Traffic.Received += Bytes;
  if (isControl(Message))
    Traffic.ControlReceived += Bytes;
  if (!Found->second.Node)
    return Message.has_hello() && greeted(Id, Message.hello());
  const node_id From = *Found->second.Node;
  if (Message.has_hello())
    return false;
  if (Message.has_heartbeat_reply())
    return answered(From, Message.heartbeat_reply());
  // A message of a later version has no known body and is skipped.
  if (Message.body_case() != wire::peer_message::BODY_NOT_SET)
    heard(From, Message);
  return true;
}

void transport::impl::heard(const node_id From,
                            const wire::peer_message &Message) {
  const bool IsHeartbeat = Message.has_heartbeat();
  const std::uint64_t Sequence = Message.heartbeat().sequence();
  Outer.Received.emit(From, Message);
  const auto Offset =
      IsHeartbeat ? Hooks.AnswerOffset() : std::optional<log_offset>{};
  if (!Offset)
    return;
  wire::peer_message Reply;
  Reply.mutable_heartbeat_reply()->set_sequence(Sequence);
  Reply.mutable_heartbeat_reply()->set_folded_offset(*Offset);
  (void)send(From, Reply);
}

bool transport::impl::greeted(const link_id Id, const wire::hello &Hello) {
  link &Link = Links.at(Id);
  const node_id Node{Hello.node()};
  const auto Reject = [&](const char *Reason) {
    close(Id, Reason);
    return false;
  };
  if (Hello.protocol_version() != ProtocolVersion)
    return Reject("other protocol version");
  if (!equalSecrets(Hello.token(), Options.Token))
    return Reject("wrong token");
  if (Hello.node() == 0)
    return Reject("no node id");
  for (auto &[Address, Dial] : Dials) {
    if (Dial.Link == Id) {
      Dial.Seen = Node;
      Dial.Backoff = Options.MinBackoff;
    }
  }
  if (Node == Options.Self) {
    // The side that dialed learns from the hello that the address is its own.
    if (Link.Dialed) {
      close(Id, nullptr);
      return false;
    }
    sendHello(Link);
    Link.Connection->finish();
    return true;
  }
  Link.Node = Node;
  Nodes[Node].Links.push_back(Id);
  Link.HelloLimit.cancel();
  Link.Connection->setLimit(Options.MaxFrameBytes);
  if (!Link.Dialed)
    sendHello(Link);
  settleDuplicates(Node);
  announce(Node);
  sendHeartbeat(Node);
  return Links.contains(Id);
}

bool transport::impl::answered(const node_id From,
                               const wire::heartbeat_reply &Reply) {
  auto &Node = Nodes[From];
  while (!Node.Unanswered.empty() &&
         Node.Unanswered.front().Sequence < Reply.sequence())
    Node.Unanswered.pop_front();
  if (Node.Unanswered.empty() ||
      Node.Unanswered.front().Sequence != Reply.sequence())
    return true;
  const evidence Evidence{Node.Unanswered.front().At, Reply.folded_offset()};
  Node.Unanswered.pop_front();
  Node.Evidence = Evidence;
  Outer.HeartbeatAnswered.emit(From, Evidence);
  return true;
}

/** @param Reason Null if nothing is to be reported. */
void transport::impl::close(const link_id Id, const char *Reason) {
  auto Found = Links.extract(Id);
  if (Found.empty())
    return;
  link &Link = Found.mapped();
  const bool Finished = Link.Connection->finishing();
  // It may be in use further up the stack.
  Closed.push_back(std::move(Link.Connection));
  Loop.post([this, Weak = std::weak_ptr{Alive}] {
    if (Weak.lock())
      Closed.clear();
  });
  // An address that stays out of reach is reported once.
  bool Report = Reason != nullptr && !Finished;
  for (auto &[Address, Dial] : Dials) {
    if (Dial.Link != Id)
      continue;
    Dial.Link = 0;
    Report = Report && Dial.Backoff == Options.MinBackoff;
    std::uniform_int_distribution<duration::rep> Jitter{
        Dial.Backoff.count() / 2, Dial.Backoff.count()};
    Dial.NextAt = boot_clock::now() + duration{Jitter(Random)};
    Dial.Backoff = std::min(Dial.Backoff * 2, Options.MaxBackoff);
  }
  if (Link.Node) {
    std::erase(Nodes[*Link.Node].Links, Id);
    announce(*Link.Node);
    // A surplus connection ends in good order.
    Report = Report && preferred(*Link.Node) == nullptr;
  }
  if (Report)
    Outer.Problem.emit("connection with " + http::toString(Link.Remote) + ": " +
                       Reason);
}

/**
 * @brief The connection to send on: the one that the node with the lower id
 * opened, and the newest of several. Both sides choose the same.
 */
const link *transport::impl::preferred(const node_id Node) const {
  const auto Remote = Nodes.find(Node);
  if (Remote == Nodes.end())
    return nullptr;
  const link *Best = nullptr;
  const bool SelfIsLower = Options.Self < Node;
  for (const link_id Id : Remote->second.Links) {
    const link &Link = Links.at(Id);
    if (Link.Connection->finishing())
      continue;
    if (Best == nullptr || Best->Dialed == Link.Dialed ||
        Link.Dialed == SelfIsLower)
      Best = &Link;
  }
  return Best;
}

// The side that opened a surplus connection ends it. Until the far side has
// ended it too, messages on it are still received.
void transport::impl::settleDuplicates(const node_id Node) {
  const link *Kept = preferred(Node);
  for (const link_id Id : std::vector{Nodes[Node].Links}) {
    const link &Link = Links.at(Id);
    if (&Link != Kept && Link.Dialed && !Link.Connection->finishing())
      Link.Connection->finish();
  }
}

void transport::impl::announce(const node_id Node) {
  remote_node &Remote = Nodes[Node];
  const bool Reached = preferred(Node) != nullptr;
  if (Remote.Announced == Reached)
    return;
  Remote.Announced = Reached;
  if (Reached) {
    Outer.Connected.emit(Node);
  } else {
    Remote.Unanswered.clear();
    Outer.Disconnected.emit(Node);
  }
}

void transport::impl::write(const link &Link,
                            const wire::peer_message &Message) {
  const std::string Payload = Message.SerializeAsString();
  const std::uint64_t Bytes = Payload.size() + FrameHeaderBytes;
  Traffic.Sent += Bytes;
  if (isControl(Message))
    Traffic.ControlSent += Bytes;
  Link.Connection->write(Payload);
}

send_result transport::impl::send(const node_id Node,
                                  const wire::peer_message &Message) {
  const link *Link = preferred(Node);
  if (Link == nullptr)
    return send_result::NotConnected;
  const std::size_t Bytes = Message.ByteSizeLong();
  if (Bytes > Options.MaxFrameBytes)
    return send_result::TooLarge;
  if (Link->Connection->queuedBytes() + Bytes + FrameHeaderBytes >
      Options.MaxQueuedBytes)
    return send_result::QueueFull;
  write(*Link, Message);
  return send_result::Queued;
}

void transport::impl::sendHello(const link &Link) {
  wire::peer_message Message;
  Message.mutable_hello()->set_protocol_version(ProtocolVersion);
  Message.mutable_hello()->set_node(static_cast<std::uint64_t>(Options.Self));
  Message.mutable_hello()->set_token(Options.Token);
  write(Link, Message);
}

void transport::impl::sendHeartbeat(const node_id Node) {
  if (preferred(Node) == nullptr)
    return;
  wire::peer_message Message;
  *Message.mutable_heartbeat() = Hooks.MakeHeartbeat();
  const heartbeat_sent Sent{NextSequence++, boot_clock::now()};
  Message.mutable_heartbeat()->set_sequence(Sent.Sequence);
  if (send(Node, Message) != send_result::Queued)
    return;
  auto &Unanswered = Nodes[Node].Unanswered;
  Unanswered.push_back(Sent);
  if (Unanswered.size() > MaxUnanswered)
    Unanswered.pop_front();
}

void transport::impl::beat() {
  const time_point Now = boot_clock::now();
  std::vector<link_id> Silent;
  for (const auto &[Id, Link] : Links) {
    if (Link.Node &&
        Link.Connection->lastReceived() + Options.SilenceLimit < Now)
      Silent.push_back(Id);
  }
  for (const link_id Id : Silent)
    close(Id, "nothing received for too long");
  std::erase_if(Nodes, [&](const auto &Each) {
    const auto &[Node, Remote] = Each;
    return !Remote.Announced &&
           (!Remote.Evidence || Remote.Evidence->SentAt + KeepEvidence < Now);
  });
  for (const node_id Node : Outer.connectedNodes())
    sendHeartbeat(Node);
}

} // namespace galenalink::peer
