#include "galenalink/node/operator_api.hpp"
#include "galenalink/account/render.hpp"
#include "galenalink/core/random.hpp"
#include "galenalink/fleet/apply.hpp"
#include "galenalink/node/operator_views.hpp"
#include "galenalink/node/path.hpp"
#include "galenalink/peer/transport.hpp"
#include "records.pb.h"
#include <charconv>
#include <memory>
#include <nlohmann/json.hpp>

namespace galenalink::node {

namespace {

constexpr duration AppendLimit = std::chrono::seconds{4};
constexpr std::size_t MaxDocumentBytes = 256U << 10U;

const http::headers JsonHeaders{{"Content-Type", "application/json"}};

[[nodiscard]] std::string textAt(const nlohmann::json &Object,
                                 const std::string_view Key) {
  const auto Found = Object.find(Key);
  return Found != Object.end() && Found->is_string() ? Found->get<std::string>()
                                                     : std::string{};
}

[[nodiscard]] std::uint64_t numberAt(const nlohmann::json &Object,
                                     const std::string_view Key) {
  const auto Found = Object.find(Key);
  return Found != Object.end() && Found->is_number_unsigned()
             ? Found->get<std::uint64_t>()
             : 0;
}

[[nodiscard]] std::optional<std::uint64_t>
parseNumber(const std::string_view Text) noexcept {
  std::uint64_t Value = 0;
  const auto Parsed =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  const bool Whole =
      Parsed.ec == std::errc{} && Parsed.ptr == Text.data() + Text.size();
  return Whole && !Text.empty() ? std::optional{Value} : std::nullopt;
}

void fault(http::exchange &Exchange, const int Status, std::string Message) {
  const nlohmann::json Body{{"error", std::move(Message)}};
  Exchange.reply(
      Status, JsonHeaders,
      Body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
          '\n');
}

/** @brief HTTP status for what became of an append. */
[[nodiscard]] int statusOf(const append_outcome &Outcome) noexcept {
  switch (Outcome.End) {
  case append_end::Folded:
    return Outcome.Applied.accepted() ? 200 : 409;
  case append_end::NotAccepted:
    return 503;
  case append_end::Unknown:
    break;
  }
  return 504;
}

} // namespace

operator_api::operator_api(std::function<incarnation &()> Current,
                           const environment &Environment, std::string Token)
    : Current{std::move(Current)}, Environment{Environment}, Token{std::move(
                                                                 Token)} {}

bool operator_api::authorised(const http::exchange &Exchange) const {
  const auto Given = Exchange.header("Authorization").value_or("");
  return Token.empty() || peer::equalSecrets(Given, "Bearer " + Token);
}

void operator_api::handle(http::exchange Exchange) const {
  if (!authorised(Exchange)) {
    fault(Exchange, 401, "a bearer token is needed");
    return;
  }
  const auto Path = splitPath(Exchange.path());
  if (Exchange.method() == http::method::Get)
    get(Exchange, Path);
  else if (Exchange.method() == http::method::Post)
    post(std::move(Exchange), Path);
  else
    fault(Exchange, 405, "only GET and POST are known here");
}

void operator_api::get(http::exchange &Exchange, const parts &Path) const {
  auto &Node = Current();
  const auto Reply = [&](const std::string &Body) {
    Exchange.reply(200, JsonHeaders, Body);
  };
  if (Path.size() == 1 && Path[0] == "metrics") {
    Exchange.reply(200, {{"Content-Type", "text/plain; version=0.0.4"}},
                   Environment.Metrics.render());
    return;
  }
  const bool Known = Path.size() >= 2 && Path[0] == "v1";
  const auto Name = Known ? Path[1] : std::string_view{};
  if (Name == "status")
    Reply(statusView(Node));
  else if (Name == "pools")
    Reply(poolsView(Node));
  else if (Name == "vms")
    Reply(vmsView(Node));
  else if (Name == "queues")
    Reply(queuesView(Node));
  else if (Name == "config")
    Reply(documentsView(Node));
  else if (Name == "account")
    account(Exchange);
  else if (Name == "explain" && Path.size() == 3)
    Reply(explanationView(Environment.Decisions.about(Path[2])));
  else if (Name == "appends" && Path.size() == 3)
    ask(Exchange, Path[2]);
  else
    fault(Exchange, 404, "no such resource");
}

void operator_api::account(http::exchange &Exchange) const {
  const auto Format = Exchange.query("format").value_or("json");
  const auto Rows = Current().accounts().rows();
  if (Format == "json")
    Exchange.reply(200, JsonHeaders, galenalink::account::toJson(Rows));
  else if (Format == "csv")
    Exchange.reply(200, {{"Content-Type", "text/csv"}},
                   galenalink::account::toCsv(Rows));
  else if (Format == "text")
    Exchange.reply(200, {{"Content-Type", "text/plain"}},
                   galenalink::account::toTable(Rows));
  else
    fault(Exchange, 400, "the format is text, json or csv");
}

void operator_api::ask(http::exchange &Exchange,
                       const std::string_view Text) const {
  const auto Id = parseNumber(Text);
  if (!Id) {
    fault(Exchange, 400, "the id of an append is a number");
    return;
  }
  if (const auto Found = fleet::findAppend(Current().view().State, *Id))
    Exchange.reply(200, JsonHeaders,
                   appendView(*Id, {append_end::Folded, *Found}));
  else
    fault(Exchange, 404, "no folded record has this id");
}

void operator_api::post(http::exchange Exchange, const parts &Path) const {
  const bool Known = Path.size() == 2 && Path[0] == "v1";
  if (Known && Path[1] == "config")
    publish(std::move(Exchange));
  else if (Known)
    change(std::move(Exchange), Path);
  else
    fault(Exchange, 404, "no such resource");
}

void operator_api::append(http::exchange Exchange, wire::record Record) const {
  if (Record.id() == 0)
    Record.set_id(randomId());
  const auto Id = Record.id();
  const auto Shared = std::make_shared<http::exchange>(std::move(Exchange));
  Current().log().append(std::move(Record), boot_clock::now() + AppendLimit,
                         [Shared, Id](const append_outcome &Outcome) {
                           Shared->reply(statusOf(Outcome), JsonHeaders,
                                         appendView(Id, Outcome));
                         });
}

void operator_api::publish(http::exchange Exchange) const {
  const auto Json = nlohmann::json::parse(Exchange.body(), nullptr, false);
  if (!Json.is_object() || !Json.contains("documents") ||
      !Json["documents"].is_array()) {
    fault(Exchange, 400, "needs base_version, author and documents");
    return;
  }
  wire::record Record;
  Record.set_id(numberAt(Json, "id"));
  auto &Change = *Record.mutable_config();
  Change.set_base_version(numberAt(Json, "base_version"));
  Change.set_author(textAt(Json, "author"));
  std::string Faults;
  for (const auto &Item : Json["documents"]) {
    if (!Item.is_object() || textAt(Item, "name").empty()) {
      fault(Exchange, 400, "each document needs name and text");
      return;
    }
    auto &Document = *Change.add_documents();
    Document.set_name(textAt(Item, "name"));
    Document.set_text(textAt(Item, "text"));
    if (Document.text().size() > MaxDocumentBytes)
      Faults += Document.name() + ": larger than 256 KiB\n";
    config::service_file File;
    if (Document.text().empty())
      continue;
    for (const auto &Diagnostic :
         config::parseServiceFile(Document.name(), Document.text(), File))
      Faults += toString(Diagnostic) + '\n';
  }
  if (!Faults.empty()) {
    fault(Exchange, 400, Faults);
    return;
  }
  append(std::move(Exchange), std::move(Record));
}

void operator_api::change(http::exchange Exchange, const parts &Path) const {
  const auto Json = nlohmann::json::parse(Exchange.body(), nullptr, false);
  if (!Json.is_object()) {
    fault(Exchange, 400, "needs a JSON object");
    return;
  }
  const auto &State = Current().view().State;
  const auto Name = textAt(Json, "vm");
  const auto Vm = State.Vms.findVm(Name);
  if (!Vm) {
    fault(Exchange, 404, "no VM \"" + Name + "\"");
    return;
  }
  wire::record Record;
  const auto Epoch = State.Vms.at(*Vm).Epoch;
  if (Path[1] == "moves") {
    auto &Release = *Record.mutable_release();
    Release.set_vm(Name);
    Release.set_epoch(Epoch);
    Release.set_to_pool(textAt(Json, "to"));
    Release.set_reason("operator:" + textAt(Json, "author"));
  } else if (Path[1] == "move-cancellations") {
    Record.mutable_cancel()->set_vm(Name);
    Record.mutable_cancel()->set_epoch(Epoch);
  } else if (Path[1] == "permits") {
    Record.mutable_permit()->set_vm(Name);
    Record.mutable_permit()->set_epoch(Epoch);
    Record.mutable_permit()->set_action(randomId());
  } else {
    fault(Exchange, 404, "no such resource");
    return;
  }
  append(std::move(Exchange), std::move(Record));
}

} // namespace galenalink::node
