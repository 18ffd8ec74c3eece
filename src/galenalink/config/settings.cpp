#include "galenalink/config/settings.hpp"
#include "galenalink/config/detail/reader.hpp"

namespace galenalink::config {

namespace {

using detail::range;
using detail::reader;

constexpr range PortRange{0, 65535, ""};
constexpr range AuthorityRange{100, 60000, "ms"};
constexpr range HeartbeatRange{20, 10000, "ms"};
constexpr range SuspectRange{100, 60000, "ms"};
constexpr range AllowanceRange{0, 86400, "s"};
constexpr range ReplicaRange{0, 2, "replicas"};
constexpr range RetentionRange{10, 604800, "s"};
constexpr range StopRange{100, 3600000, "ms"};

void readListener(reader &Reader, listener &Listener) {
  Reader.text("host", Listener.Host).number("port", Listener.Port, PortRange);
}

void readPlatform(reader &Reader, platform &Platform) {
  Reader.choice("kind", Platform.Kind, PlatformKindNames)
      .text("address", Platform.Address)
      .array("vms", [&](reader &Nested) {
        auto &Vm = Platform.Vms.emplace_back();
        Nested.text("vm", Vm.Vm, true)
            .text("member", Vm.Customer, true)
            .text("place", Vm.DataCentre, true)
            .text("rack", Vm.Rack, true)
            .text("address", Vm.Address, true)
            .text("pool", Vm.Pool, true);
      });
  if (Platform.Kind == platform_kind::Http && Platform.Address.empty())
    Reader.fail("address", "is needed for the kind \"http\"");
}

void checkTimes(reader &Reader, const settings &Settings) {
  // Authority must outlast several heartbeats, or one lost reply ends it.
  if (Settings.AuthorityMs < 2 * Settings.HeartbeatMs)
    Reader.fail("authority_ms", "must be at least twice \"heartbeat_ms\", " +
                                    std::to_string(2 * Settings.HeartbeatMs) +
                                    " ms");
  if (Settings.SuspectMs < 2 * Settings.HeartbeatMs)
    Reader.fail("suspect_ms", "must be at least twice \"heartbeat_ms\", " +
                                  std::to_string(2 * Settings.HeartbeatMs) +
                                  " ms");
}

} // namespace

std::vector<diagnostic> parseSettings(const std::string_view Name,
                                      const std::string_view Text,
                                      settings &Out) {
  detail::report Report{std::string{Name}, std::string{Text}, {}};
  const auto Json = detail::parseJson(Report);
  if (!Json)
    return std::move(Report.Diagnostics);
  reader Reader{*Json, "", Report};
  Reader.text("name", Out.Name, true)
      .text("place", Out.DataCentre, true)
      .text("member", Out.Customer, true)
      .object("callers",
              [&](reader &Nested) { readListener(Nested, Out.Callers); })
      .object("operators",
              [&](reader &Nested) {
                readListener(Nested, Out.Operators);
                Nested.text("token_file", Out.Operators.TokenFile);
              })
      .object("peers",
              [&](reader &Nested) {
                readListener(Nested, Out.Peers);
                Nested.text("token_file", Out.Peers.TokenFile)
                    .texts("seeds", Out.Seeds);
              })
      .object("platform",
              [&](reader &Nested) { readPlatform(Nested, Out.Platform); })
      .number("authority_ms", Out.AuthorityMs, AuthorityRange)
      .number("heartbeat_ms", Out.HeartbeatMs, HeartbeatRange)
      .number("suspect_ms", Out.SuspectMs, SuspectRange)
      .number("outage_allowance_s", Out.OutageAllowanceS, AllowanceRange)
      .number("durability_replicas", Out.DurabilityReplicas, ReplicaRange)
      .number("key_retention_s", Out.KeyRetentionS, RetentionRange)
      .number("stop_deadline_ms", Out.StopDeadlineMs, StopRange)
      .object("log", [&](reader &Nested) {
        Nested.choice("level", Out.Level, LogLevelNames)
            .choice("format", Out.Format, LogFormatNames);
      });
  checkTimes(Reader, Out);
  Reader.finish();
  return std::move(Report.Diagnostics);
}

} // namespace galenalink::config
