#include "galenalink/job_node/node.hpp"
#include "galenalink/job_node/peer_api.hpp"
#include "galenalink/job_node/reply_deadline.hpp"
#include "galenalink/telemetry/log.hpp"

namespace galenalink::job_node {

namespace {

using verdict = job::caller_reply::verdict;

constexpr telemetry::logger Log{"node"};

/** Interval at which the forwarder retries and expires requests. */
constexpr duration ForwarderTickInterval = std::chrono::milliseconds{25};
constexpr duration ProbeTimeout = std::chrono::milliseconds{400};
/** Rules that were read longer ago may lack the newest version. Twice the time
 * for which a read of the operator's log waits. */
constexpr duration MaxRulesAge = std::chrono::milliseconds{1500};

job::caller_reply replyOf(const verdict Verdict) {
  job::caller_reply Reply;
  Reply.Verdict = Verdict;
  return Reply;
}

} // namespace

job::access_decision node::checkAccess(const job::queue_rule &Queue,
                                       const std::string &Key) const {
  return job::checkAccess(View.rules(), View.keys(), Queue, Key);
}

bool node::rulesAreCurrent() const {
  const time_point ReadAt = OperatorReader.lastResponseAt();
  return ReadAt != NoDeadline && boot_clock::now() < ReadAt + MaxRulesAge &&
         !rulesAreOutdated();
}

void node::handleRequest(const caller_request &Request,
                         job::reply_function Reply) {
  auto RecordAndReply = [this, Kind = Request.Kind,
                         StartedAt = boot_clock::now(),
                         Reply = std::move(Reply)](
                            const job::caller_reply &Result) {
    Metrics.recordReply(Kind, Result.Verdict, boot_clock::now() - StartedAt);
    Reply(Result);
  };
  const time_point ReplyDeadline = replyDeadlineFor(Request.Deadline);
  auto ReplyOnce = withDeadline(Loop, ReplyDeadline, std::move(RecordAndReply));
  caller_request Forwarded = Request;
  Forwarded.Deadline = ReplyDeadline;
  Forwarder.forward(Forwarded, std::move(ReplyOnce));
  startForwarderTimer();
}

void node::serveLocally(const caller_request &Request,
                        job::reply_function Reply) {
  const job::access_decision Access =
      decideAccess(View.rules(), View.keys(), Request);
  if (Access.Verdict != job::access_verdict::Granted) {
    Reply(replyOf(verdict::Unauthorized));
    return;
  }
  switch (Request.Kind) {
  case request_kind::Submit:
    Controller->submit({Request.Queue, Request.RulesVersion, Request.Job,
                        Request.Spec, Access.Customer},
                       std::move(Reply));
    break;
  case request_kind::Query:
    Reply(Controller->query({Request.Job, Request.Queue, Access.Customer}));
    break;
  case request_kind::Cancel:
    Controller->cancel({Request.Job, Request.Queue, Access.Customer},
                       std::move(Reply));
    break;
  case request_kind::Pending:
    Reply(Controller->pending(Request.Queue));
    break;
  }
  scheduleDispatch();
}

void node::forwardRequest(const forward_target &To,
                          const caller_request &Request,
                          const time_point RespondBy,
                          std::function<void(forward_result)> Callback) {
  if (To.Address == peerAddress(Settings)) {
    Loop.post([this, Request, Callback = std::move(Callback)] {
      if (!Controller) {
        Callback(forward_failure::NotAccepted);
        return;
      }
      serveLocally(Request, [Callback](const job::caller_reply &Reply) {
        Callback(Reply.Verdict == verdict::NotLeading
                     ? forward_result{forward_failure::NotAccepted}
                     : forward_result{Reply});
      });
    });
    return;
  }
  const auto Address = tryOr(
      [&]() -> result<http::address> { return http::parseAddress(To.Address); },
      [](const error &) { return http::address{}; });
  PeerClient.send(
      Address, toRequest(Request, peerAddress(Settings)), RespondBy,
      [this, Callback = std::move(Callback)](const http::answer &Answer) {
        Callback(parsePeerResponse(Answer));
      });
}

forward_result node::parsePeerResponse(const http::answer &Answer) {
  if (const auto *Response = std::get_if<http::response>(&Answer)) {
    if (const auto Reply = parseReply(Response->Body)) {
      LeaderRulesVersion = std::max(LeaderRulesVersion, Reply->RulesVersion);
      if (Directory.applyReport(Reply->Leader))
        followLeader();
      if (Reply->Reply.Verdict == verdict::NotLeading)
        return forward_failure::NotAccepted;
      ForwardFailedAt = NoDeadline;
      return Reply->Reply;
    }
  }
  ForwardFailedAt = boot_clock::now();
  const auto *Failure = std::get_if<http::failure>(&Answer);
  const bool NotSent =
      Failure != nullptr && Failure->Delivery == http::delivery::NotSent;
  return NotSent ? forward_failure::NotAccepted : forward_failure::Unknown;
}

void node::followLeader() {
  const forward_target &Leader = Directory.current();
  Forwarder.setLeader(Leader);
  if (Leader.Epoch == 0 || leads())
    return;
  for (const auto &Peer : Peers.recent(boot_clock::now())) {
    if (Peer != Leader.Address)
      reportLeader(Peer);
  }
}

void node::reportLeader(const std::string &Address) {
  http::request Report;
  Report.Method = http::method::Post;
  Report.Path = std::string{LeaderPath};
  Report.Body = toBody(Directory.current());
  PeerClient.send(tryOr([&] { return http::parseAddress(Address); },
                        [](const error &) { return http::address{}; }),
                  std::move(Report), boot_clock::now() + ProbeTimeout,
                  // A node that misses the report asks the former leader again.
                  [](const http::answer &) {});
}

void node::startForwarderTimer() {
  if (ForwarderTimer.pending())
    return;
  ForwarderTimer = Loop.every(ForwarderTickInterval, [this] {
    Forwarder.tick();
    if (Forwarder.idle())
      ForwarderTimer.cancel();
  });
}

void node::probeLeader(const job::leadership &Leader,
                       std::function<void(probe_result)> Callback) {
  http::request ProbeRequest;
  ProbeRequest.Path = std::string{LeaderPath};
  const auto Address = tryOr(
      [&]() -> result<http::address> {
        return http::parseAddress(Leader.Address);
      },
      [](const error &) { return http::address{}; });
  PeerClient.send(
      Address, std::move(ProbeRequest), boot_clock::now() + ProbeTimeout,
      [Node = Leader.Node,
       Callback = std::move(Callback)](const http::answer &Result) {
        const auto *Response = std::get_if<http::response>(&Result);
        if (Response != nullptr) {
          const bool Leads = Response->Status == 200 && Response->Body == Node;
          Callback(Leads ? probe_result::Healthy : probe_result::Unhealthy);
          return;
        }
        // A refused connection means that no process listens there.
        const auto &Failure = std::get<http::failure>(Result);
        const bool Refused = Failure.Delivery == http::delivery::NotSent &&
                             Failure.Error.Code == errc::Unavailable;
        Callback(Refused ? probe_result::Unhealthy : probe_result::NoResponse);
      });
}

bool node::serveSubmissionHead(const submission_head &Head,
                               const job::reply_function &Reply) {
  const caller_request &Request = Head.Request;
  const job::access_decision Access =
      decideAccess(View.rules(), View.keys(), Request);
  if (Access.Verdict != job::access_verdict::Granted) {
    Reply(replyOf(verdict::Unauthorized));
    return true;
  }
  if (Controller->knows(Request.Job)) {
    Controller->submit({Request.Queue, 0, Request.Job, {}, Access.Customer},
                       withDeadline(Loop, Request.Deadline, Reply));
    return true;
  }
  if (const auto Refusal = Controller->refuseUnparsed(Request.Job)) {
    Reply(*Refusal);
    return true;
  }
  if (Head.BodyWithheld)
    Reply(replyOf(verdict::BodyNeeded));
  return Head.BodyWithheld;
}

void node::handleLeaderRequest(http::exchange &Exchange) {
  if (Exchange.method() == http::method::Get) {
    // The body names the process that the node knows as the leader.
    Exchange.reply(Elector.isHealthyLeader() ? 200 : 404, {},
                   Elector.current().Node);
    return;
  }
  const auto Reported = parseLeader(Exchange.body());
  Exchange.reply(Reported ? 200 : 400, {}, {});
  if (!Reported || !Directory.applyReport(*Reported))
    return;
  Log.info("leader reported by another node",
           {{"epoch", Reported->Epoch}, {"leader", Reported->Node}});
  followLeader();
}

void node::handlePeerRequest(http::exchange Exchange) {
  if (Exchange.path() == LeaderPath) {
    handleLeaderRequest(Exchange);
    return;
  }
  if (Controller)
    Peers.recordRequest(peerOf(Exchange), boot_clock::now());
  auto Shared = std::make_shared<http::exchange>(std::move(Exchange));
  const auto SendReply = [this, Shared](const job::caller_reply &Reply) {
    const bool NotLeading = Reply.Verdict == verdict::NotLeading;
    Shared->reply(
        200, {},
        toBody({Reply, View.rules().Version,
                NotLeading ? Directory.current() : forward_target{}}));
  };
  const auto Head = parseSubmissionHead(*Shared);
  if (Head && !Controller) {
    SendReply(replyOf(verdict::NotLeading));
    return;
  }
  if (Head && serveSubmissionHead(*Head, SendReply))
    return;
  const auto Request = parseRequest(*Shared);
  if (!Request) {
    Shared->reply(400, {}, {});
    return;
  }
  if (!Controller) {
    SendReply(replyOf(verdict::NotLeading));
    return;
  }
  serveLocally(*Request, withDeadline(Loop, Request->Deadline, SendReply));
}

} // namespace galenalink::job_node
