#include "standin/platform.hpp"
#include "galenalink/platform/base64.hpp"
#include <charconv>
#include <nlohmann/json.hpp>

namespace galenalink::standin {

namespace {

using galenalink::platform::vm;
using nlohmann::json;

constexpr duration SampleInterval = std::chrono::milliseconds{50};

const http::headers JsonType{{"Content-Type", "application/json"}};

std::optional<std::uint64_t> parseNumber(const std::string_view Text,
                                         const int Base) noexcept {
  std::uint64_t Value = 0;
  const char *Last = Text.data() + Text.size();
  const auto [End, Code] = std::from_chars(Text.data(), Last, Value, Base);
  if (Code != std::errc{} || End != Last)
    return std::nullopt;
  return Value;
}

std::optional<std::uint64_t> numberQuery(const http::exchange &Exchange,
                                         const char *Name) {
  const auto Text = Exchange.query(Name);
  return Text ? parseNumber(*Text, 10) : std::nullopt;
}

/** @brief Parts of a path between its slashes, decoded. */
std::vector<std::string> segments(std::string_view Path) {
  std::vector<std::string> Parts;
  while (!Path.empty()) {
    Path.remove_prefix(1);
    const auto End = Path.find('/');
    Parts.push_back(http::decodeSegment(Path.substr(0, End)));
    Path = End == std::string_view::npos ? "" : Path.substr(End);
  }
  return Parts;
}

json toJson(const vm &Vm) {
  return {{"vm", Vm.Vm},
          {"member", Vm.Customer},
          {"place", Vm.DataCentre},
          {"rack", Vm.Rack},
          {"address", Vm.Address},
          {"pool", Vm.Pool},
          {"state", nameOf(galenalink::platform::VmStateNames, Vm.State)}};
}

vm toVm(const json &Body, const std::string &Name) {
  const auto Text = [&](const char *Member) {
    return Body.value(Member, std::string{});
  };
  return {Name,
          Text("member"),
          Text("place"),
          Text("rack"),
          Text("address"),
          Text("pool"),
          parseName(galenalink::platform::VmStateNames, Text("state"))
              .value_or(galenalink::platform::vm_state::Live)};
}

} // namespace

platform::platform(http::loop &Loop,
                   const galenalink::platform::store::options Options,
                   std::vector<vm> Vms)
    : Loop{Loop}, Data{Options, std::move(Vms)},
      Server{Loop, {}, [this](http::exchange Exchange) {
               handle(std::move(Exchange));
             }} {}

result<std::uint16_t> platform::listen(const std::string &Host,
                                       const std::uint16_t Port) {
  return Server.listen(Host, Port);
}

std::uint16_t platform::port() const noexcept { return Server.port(); }

void platform::setFaults(const platform_faults &Changed) {
  Faults = Changed;
  if (!Faults.Hang) {
    for (http::exchange &Exchange : Hanging)
      Exchange.abort();
    Hanging.clear();
  }
  History.clear();
  Sampler.cancel();
  if (Faults.VmsLagMs > 0) {
    History.emplace_back(boot_clock::now(), Data.vms(boot_clock::now()));
    Sampler = Loop.every(SampleInterval, [this] {
      const time_point Now = boot_clock::now();
      History.emplace_back(Now, Data.vms(Now));
    });
  }
}

galenalink::platform::store &platform::data() noexcept { return Data; }

void platform::handle(http::exchange Exchange) {
  if (control(Exchange))
    return;
  if (Faults.Hang) {
    Hanging.push_back(std::move(Exchange));
    return;
  }
  if (Faults.SlowMs == 0) {
    serve(Exchange);
    return;
  }
  const auto Shared = std::make_shared<http::exchange>(std::move(Exchange));
  const std::uint64_t Id = NextDelayed++;
  Delayed[Id] =
      Loop.at(boot_clock::now() + std::chrono::milliseconds{Faults.SlowMs},
              [this, Shared, Id] {
                const auto Timer = Delayed.extract(Id);
                serve(*Shared);
              });
}

bool platform::control(http::exchange &Exchange) {
  const auto Path = segments(Exchange.path());
  const bool OneVm = Path.size() == 2 && Path[0] == "vms";
  if (Exchange.method() == http::method::Post && Exchange.path() == "/fault") {
    fault(Exchange);
  } else if (Exchange.method() == http::method::Get &&
             Exchange.path() == "/counters") {
    json Reboots = json::object();
    for (const vm &Vm : Data.vms(boot_clock::now()))
      Reboots[Vm.Vm] = Data.reboots(Vm.Vm);
    Exchange.reply(
        200, JsonType,
        json{{"appends", Appends}, {"reads", Reads}, {"reboots", Reboots}}
            .dump());
  } else if (OneVm && Exchange.method() == http::method::Put) {
    const json Body = json::parse(Exchange.body(), nullptr, false);
    if (Body.is_object())
      Data.put(toVm(Body, Path[1]));
    Exchange.reply(Body.is_object() ? 200 : 400, {}, {});
  } else if (OneVm && Exchange.method() == http::method::Delete) {
    Data.remove(Path[1]);
    Exchange.reply(200, {}, {});
  } else {
    return false;
  }
  return true;
}

void platform::serve(http::exchange &Exchange) {
  if (Faults.Down) {
    Exchange.reply(503, {}, "down");
    return;
  }
  const auto Path = segments(Exchange.path());
  const bool IsGet = Exchange.method() == http::method::Get;
  const bool IsPost = Exchange.method() == http::method::Post;
  if (IsPost && Exchange.path() == "/log/records") {
    append(Exchange);
  } else if (IsGet && Exchange.path() == "/log/records") {
    read(Exchange);
  } else if (IsGet && Exchange.path() == "/vms") {
    json List = json::array();
    for (const vm &Vm : laggingVms())
      List.push_back(toJson(Vm));
    Exchange.reply(200, JsonType, json{{"vms", List}}.dump());
  } else if (IsPost && Path.size() == 3 && Path[0] == "vms") {
    act(Exchange);
  } else if (IsGet && Path.size() == 2 && Path[0] == "actions") {
    const auto Action = parseNumber(Path[1], 16);
    const auto State = Data.action(Action.value_or(0), boot_clock::now());
    Exchange.reply(
        200, JsonType,
        json{{"state", nameOf(galenalink::platform::ActionStateNames, State)}}
            .dump());
  } else {
    Exchange.reply(404, {}, {});
  }
}

void platform::append(http::exchange &Exchange) {
  const auto Id = parseNumber(Exchange.header("Record-Id").value_or(""), 16);
  if (!Id || Exchange.header("Record-Id")->size() != 16) {
    Exchange.reply(400, {}, "Record-Id must be 16 hex digits");
    return;
  }
  const log_offset Offset = Data.append(Exchange.body());
  ++Appends;
  if (Faults.LoseAppendAnswers != 0) {
    Faults.LoseAppendAnswers -= Faults.LoseAppendAnswers > 0 ? 1 : 0;
    Exchange.abort();
    return;
  }
  Exchange.reply(200, JsonType, json{{"offset", Offset}}.dump());
}

void platform::read(http::exchange &Exchange) const {
  const auto From = numberQuery(Exchange, "from");
  const auto Max = numberQuery(Exchange, "max");
  if (!From || !Max) {
    Exchange.reply(400, {}, "from and max must be numbers");
    return;
  }
  const auto Page = Data.read(*From, *Max);
  json Records = json::array();
  for (const auto &Record : Page.Records)
    Records.push_back(
        {{"offset", Record.Offset},
         {"data", galenalink::platform::encodeBase64(Record.Data)}});
  Exchange.reply(
      200, JsonType,
      json{{"first", Page.First}, {"end", Page.End}, {"records", Records}}
          .dump());
}

void platform::act(http::exchange &Exchange) {
  const auto Path = segments(Exchange.path());
  const auto Id = parseNumber(Exchange.header("Action-Id").value_or(""), 16);
  const time_point Now = boot_clock::now();
  if (!Id) {
    Exchange.reply(400, {}, "Action-Id must be hex digits");
    return;
  }
  bool Known = false;
  if (Path[2] == "reboot")
    Known = Data.reboot(Path[1], *Id, Now);
  else if (Path[2] == "drain")
    Known = Data.drain(Path[1], *Id, Now);
  Exchange.reply(Known ? 200 : 404, {}, {});
}

void platform::fault(http::exchange &Exchange) {
  const json Body = json::parse(Exchange.body(), nullptr, false);
  if (!Body.is_object()) {
    Exchange.reply(400, {}, "expected a JSON object");
    return;
  }
  try {
    platform_faults Changed = Faults;
    Changed.Down = Body.value("down", Changed.Down);
    Changed.Hang = Body.value("hang", Changed.Hang);
    Changed.SlowMs = Body.value("slow_ms", Changed.SlowMs);
    Changed.LoseAppendAnswers =
        Body.value("lose_append_answers", Changed.LoseAppendAnswers);
    Changed.VmsLagMs = Body.value("vms_lag_ms", Changed.VmsLagMs);
    Data.expire(Body.value("expire_before", log_offset{0}));
    setFaults(Changed);
    Exchange.reply(200, {}, "{}");
  } catch (const json::exception &Error) {
    Exchange.reply(400, {}, Error.what());
  }
}

platform::list platform::laggingVms() {
  const time_point Now = boot_clock::now();
  if (Faults.VmsLagMs == 0)
    return Data.vms(Now);
  const time_point Then = Now - std::chrono::milliseconds{Faults.VmsLagMs};
  while (History.size() > 1 && History[1].first <= Then)
    History.pop_front();
  return History.front().second;
}

} // namespace galenalink::standin
