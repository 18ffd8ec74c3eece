#include "galenalink/platform/http_adapter.hpp"
#include "galenalink/http/client.hpp"
#include "galenalink/platform/base64.hpp"
#include <cstdio>
#include <nlohmann/json.hpp>
#include <utility>

namespace galenalink::platform {

namespace {

using nlohmann::json;

std::string toHex(const std::uint64_t Id) {
  char Text[17];
  std::snprintf(Text, sizeof(Text), "%016llx",
                static_cast<unsigned long long>(Id));
  return Text;
}

error corrupt(const std::string &What) {
  return {errc::Corrupt, "the platform's answer to " + What + " is not valid"};
}

/**
 * @brief Parses a body; any exception of the JSON library means that it is not
 * what the protocol says.
 */
template <typename Type, typename Parse>
outcome_of<Type> parsed(const std::string &What, const std::string &Body,
                        Parse &&Function) {
  try {
    return Function(json::parse(Body));
  } catch (const json::exception &) {
    return corrupt(What);
  }
}

/** @brief An unsigned member; `get` would convert a negative number. */
log_offset offsetAt(const json &Body, const char *Name) {
  return Body.at(Name).get_ref<const json::number_unsigned_t &>();
}

/** @brief The body of a 200, parsed, or why there is none. */
template <typename Type, typename Parse>
outcome_of<Type> toOutcome(const std::string &What, const http::answer &Answer,
                           Parse &&Function) {
  if (const auto *Failure = std::get_if<http::failure>(&Answer))
    return Failure->Error;
  const auto &Response = std::get<http::response>(Answer);
  if (Response.Status != 200)
    return error{errc::Unavailable, "the platform answered " + What +
                                        " with status " +
                                        std::to_string(Response.Status)};
  return parsed<Type>(What, Response.Body, std::forward<Parse>(Function));
}

/** @brief Whether the platform says that it did nothing. */
bool isRefusal(const int Status) noexcept {
  return (Status >= 400 && Status < 500) || Status == 503;
}

append_result toAppendResult(const http::answer &Answer) {
  if (const auto *Failure = std::get_if<http::failure>(&Answer)) {
    const bool NotSent = Failure->Delivery == http::delivery::NotSent;
    return {NotSent ? append_state::DidNotHappen : append_state::Unknown, 0,
            Failure->Error.Message};
  }
  const auto &Response = std::get<http::response>(Answer);
  if (Response.Status != 200)
    return {isRefusal(Response.Status) ? append_state::DidNotHappen
                                       : append_state::Unknown,
            0, "status " + std::to_string(Response.Status)};
  const auto Offset =
      parsed<log_offset>("an append", Response.Body, [](const json &Body) {
        return offsetAt(Body, "offset");
      });
  if (const auto *Value = std::get_if<log_offset>(&Offset); Value && *Value > 0)
    return {append_state::Accepted, *Value, {}};
  return {append_state::Unknown, 0, corrupt("an append").Message};
}

/**
 * @brief Parses a page. A page with a gap, or with records outside its range,
 * is an error: folding it would skip records.
 */
outcome_of<log_page> toPage(const json &Body, const log_offset From,
                            const std::size_t Max) {
  log_page Page;
  Page.First = offsetAt(Body, "first");
  Page.End = offsetAt(Body, "end");
  if (Page.First < 1 || Page.End < Page.First)
    return corrupt("a read");
  log_offset Next = std::max(From, Page.First);
  for (const json &Record : Body.at("records")) {
    auto Data = decodeBase64(Record.at("data").get_ref<const std::string &>());
    if (!Data || offsetAt(Record, "offset") != Next || Next >= Page.End ||
        Page.Records.size() >= Max)
      return corrupt("a read");
    Page.Records.push_back({Next++, std::move(*Data)});
  }
  return Page;
}

outcome_of<std::vector<vm>> toVms(const json &Body) {
  std::vector<vm> Vms;
  for (const json &Each : Body.at("vms")) {
    const auto State =
        parseName(VmStateNames, Each.at("state").get<std::string>());
    if (!State)
      return corrupt("a list of VMs");
    Vms.push_back({Each.at("vm").get<std::string>(),
                   Each.at("member").get<std::string>(),
                   Each.at("place").get<std::string>(),
                   Each.at("rack").get<std::string>(),
                   Each.at("address").get<std::string>(),
                   Each.at("pool").get<std::string>(), *State});
  }
  return Vms;
}

outcome_of<action_state> toActionState(const json &Body) {
  const auto State =
      parseName(ActionStateNames, Body.at("state").get<std::string>());
  if (!State)
    return corrupt("an action query");
  return *State;
}

action_request toActionRequest(const http::answer &Answer) {
  if (const auto *Failure = std::get_if<http::failure>(&Answer))
    return Failure->Delivery == http::delivery::NotSent
               ? action_request::DidNotHappen
               : action_request::Unknown;
  const int Status = std::get<http::response>(Answer).Status;
  if (Status >= 200 && Status < 300)
    return action_request::Accepted;
  return isRefusal(Status) ? action_request::DidNotHappen
                           : action_request::Unknown;
}

/** @brief Sends requests to the one address. */
struct sender {
  http::client &Client;
  http_options Options;

  void operator()(http::request Request,
                  std::function<void(http::answer)> Callback) const {
    Client.send(Options.Address, std::move(Request),
                boot_clock::now() + Options.Timeout, std::move(Callback));
  }

  void act(const std::string &Vm, const char *Verb, const std::uint64_t Action,
           adapter::callback<action_request> Callback) const {
    (*this)({http::method::Post,
             "/vms/" + http::encodeSegment(Vm) + "/" + Verb,
             {{"Action-Id", toHex(Action)}},
             {}},
            [Callback = std::move(Callback)](const http::answer &Answer) {
              Callback(toActionRequest(Answer));
            });
  }
};

} // namespace

adapter makeHttpAdapter(http::client &Client, http_options Options) {
  const sender Send{Client, std::move(Options)};
  adapter Adapter;
  Adapter.Append = [Send](const std::uint64_t RecordId, std::string Data,
                          auto Callback) {
    Send({http::method::Post,
          "/log/records",
          {{"Record-Id", toHex(RecordId)}},
          std::move(Data)},
         [Callback = std::move(Callback)](const http::answer &Answer) {
           Callback(toAppendResult(Answer));
         });
  };
  Adapter.Read = [Send](const log_offset From, const std::size_t Max,
                        auto Callback) {
    Send({http::method::Get,
          "/log/records?from=" + std::to_string(From) +
              "&max=" + std::to_string(Max),
          {},
          {}},
         [From, Max,
          Callback = std::move(Callback)](const http::answer &Answer) {
           Callback(
               toOutcome<log_page>("a read", Answer, [&](const json &Body) {
                 return toPage(Body, From, Max);
               }));
         });
  };
  Adapter.ListVms = [Send](auto Callback) {
    Send({http::method::Get, "/vms", {}, {}},
         [Callback = std::move(Callback)](const http::answer &Answer) {
           Callback(toOutcome<std::vector<vm>>("a list of VMs", Answer, toVms));
         });
  };
  Adapter.Reboot = [Send](const std::string &Vm, const std::uint64_t Action,
                          auto Callback) {
    Send.act(Vm, "reboot", Action, std::move(Callback));
  };
  Adapter.Drain = [Send](const std::string &Vm, const std::uint64_t Action,
                         auto Callback) {
    Send.act(Vm, "drain", Action, std::move(Callback));
  };
  Adapter.Action = [Send](const std::uint64_t Action, auto Callback) {
    Send({http::method::Get, "/actions/" + toHex(Action), {}, {}},
         [Callback = std::move(Callback)](const http::answer &Answer) {
           Callback(toOutcome<action_state>("an action query", Answer,
                                            toActionState));
         });
  };
  return Adapter;
}

} // namespace galenalink::platform
