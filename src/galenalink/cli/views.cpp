#include "galenalink/cli/views.hpp"
#include "galenalink/cli/table.hpp"
#include <array>
#include <ctime>
#include <iostream>
#include <nlohmann/json.hpp>

namespace galenalink::cli {

namespace {

using nlohmann::json;

[[nodiscard]] std::string cell(const json &Row, const std::string_view Key) {
  const auto Found = Row.find(Key);
  if (Found == Row.end())
    return "-";
  if (Found->is_string())
    return Found->get<std::string>().empty() ? "-" : Found->get<std::string>();
  if (Found->is_boolean())
    return Found->get<bool>() ? "yes" : "no";
  return Found->dump();
}

/** @brief A table with one row for each object of an array. */
[[nodiscard]] std::string
formatRows(const std::string &Text, const std::string_view Array,
           const std::vector<std::pair<std::string, std::string>> &Columns) {
  const auto Json = json::parse(Text, nullptr, false);
  if (!Json.is_object() || !Json.contains(Array) ||
      !Json[std::string{Array}].is_array())
    return {};
  std::vector<std::string> Headings;
  Headings.reserve(Columns.size());
  for (const auto &[Heading, Unused] : Columns)
    Headings.push_back(Heading);
  table Table{Headings};
  for (const auto &Row : Json[std::string{Array}]) {
    std::vector<std::string> Cells;
    Cells.reserve(Columns.size());
    for (const auto &[Unused, Key] : Columns)
      Cells.push_back(cell(Row, Key));
    Table.add(std::move(Cells));
  }
  return Table.render();
}

[[nodiscard]] std::string joined(const json &Names) {
  std::string Text;
  for (const auto &Name : Names)
    Text += (Text.empty() ? "" : ", ") + Name.get<std::string>();
  return Text;
}

[[nodiscard]] std::string timeOf(const std::int64_t Milliseconds) {
  const std::time_t Seconds = Milliseconds / 1000;
  std::tm Parts{};
  gmtime_r(&Seconds, &Parts);
  std::array<char, 32> Text{};
  const auto Length =
      std::strftime(Text.data(), Text.size(), "%Y-%m-%d %H:%M:%S", &Parts);
  return {Text.data(), Length};
}

using formatter = std::string (*)(const std::string &);

[[nodiscard]] formatter formatterOf(const std::string &View) {
  if (View == "pools")
    return formatPools;
  if (View == "vms")
    return formatVms;
  if (View == "queues")
    return formatQueues;
  return formatStatus;
}

[[nodiscard]] result<exit_code>
print(const reply &Reply, const formatter Format, const output Output) {
  if (Reply.Status == 401)
    return fail(errc::BadInput, "the node wants a token; see --token-file");
  if (Reply.Status != 200)
    return fail(errc::NotFound, Reply.Body);
  std::cout << (Output == output::Json ? Reply.Body : Format(Reply.Body));
  return exit_code::Done;
}

} // namespace

std::string formatStatus(const std::string &Text) {
  const auto Json = json::parse(Text, nullptr, false);
  if (!Json.is_object())
    return {};
  const auto Below = Json.value("pools_below_budget", json::array());
  const auto Stuck = Json.value("stuck_vms", json::array());
  std::string Out;
  const auto Line = [&](const std::string &Name, const std::string &Value) {
    Out += Name +
           std::string(22 - std::min<std::size_t>(21, Name.size()), ' ') +
           Value + '\n';
  };
  Line("node", cell(Json, "node"));
  Line("may dispatch", cell(Json, "authority"));
  Line("budgets", Below.empty() ? "all hold" : "BELOW: " + joined(Below));
  Line("stuck VMs", Stuck.empty() ? "none" : joined(Stuck));
  Line("VMs",
       cell(Json, "vms") + ", " + cell(Json, "vms_in_motion") + " in motion");
  Line("log", std::string{Json.value("log_available", false) ? "answers"
                                                             : "NO ANSWER"} +
                  ", offset " + cell(Json, "offset") + ", lag " +
                  cell(Json, "log_lag"));
  Line("configuration", "version " + cell(Json, "config_version"));
  Line("newest snapshot", "through offset " + cell(Json, "snapshot_through") +
                              ", oldest record kept " +
                              cell(Json, "log_first"));
  Line("shards", cell(Json, "homes") + " at home here, " +
                     cell(Json, "takeovers") + " in takeover");
  Line("requests", cell(Json, "running") + " running, " +
                       cell(Json, "waiting") + " callers waiting");
  return Out + '\n' +
         formatRows(Text, "nodes",
                    {{"NODE", "node"},
                     {"PLACE", "place"},
                     {"MEMBER", "member"},
                     {"SUSPECTED", "suspected"}});
}

std::string formatPools(const std::string &Json) {
  return formatRows(Json, "pools",
                    {{"POOL", "pool"},
                     {"MEMBER", "member"},
                     {"SPARE", "spare"},
                     {"SHARDS", "shards"},
                     {"VMS", "vms"},
                     {"USABLE", "usable"},
                     {"MIN UP", "min_up"},
                     {"ROOM", "room"},
                     {"MOVING", "in_motion"},
                     {"MAINTENANCE", "in_maintenance"},
                     {"STUCK", "stuck"}});
}

std::string formatVms(const std::string &Json) {
  return formatRows(Json, "vms",
                    {{"VM", "vm"},
                     {"MEMBER", "member"},
                     {"POOL", "pool"},
                     {"SHARD", "shard"},
                     {"HOME", "home"},
                     {"PLACE", "place"},
                     {"RACK", "rack"},
                     {"CONDITION", "condition"},
                     {"MOTION", "motion"},
                     {"TO", "to_pool"},
                     {"MAINTENANCE", "maintenance"},
                     {"EPOCH", "epoch"}});
}

std::string formatQueues(const std::string &Json) {
  return formatRows(Json, "queues",
                    {{"QUEUE", "queue"},
                     {"SHARD", "shard"},
                     {"WAITING", "waiting"},
                     {"CLASS", "class"},
                     {"MEDIAN RUN MS", "median_run_ms"}});
}

std::string formatExplanation(const std::string &Text) {
  const auto Json = json::parse(Text, nullptr, false);
  if (!Json.is_object() || !Json.contains("decisions"))
    return {};
  std::string Out;
  for (const auto &Decision : Json["decisions"])
    Out += timeOf(Decision.value("at_ms", std::int64_t{0})) + "  " +
           cell(Decision, "text") + '\n';
  return Out.empty() ? "This node has recorded no decision about it; ask the "
                       "home of its shard.\n"
                     : Out;
}

result<exit_code> show(connection &Node, const std::string &View,
                       const output Output) {
  BOOST_LEAF_AUTO(Reply, Node.get("/v1/" + View));
  return print(Reply, formatterOf(View), Output);
}

result<exit_code> showAccount(connection &Node, const std::string &Format) {
  BOOST_LEAF_AUTO(Reply, Node.get("/v1/account?format=" + Format));
  // The node formats the rows.
  return print(
      Reply, [](const std::string &Text) { return Text; }, output::Text);
}

result<exit_code> explain(connection &Node, const std::string &Subject,
                          const output Output) {
  BOOST_LEAF_AUTO(Reply, Node.get("/v1/explain/" + Subject));
  return print(Reply, formatExplanation, Output);
}

} // namespace galenalink::cli
