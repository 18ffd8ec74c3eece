#include "galenalink/account/render.hpp"
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <vector>

namespace galenalink::account {

namespace {

struct column {
  const char *Name;
  bool IsTime;
  std::int64_t (*Value)(const totals &);
};

template <std::uint64_t totals::*Field>
std::int64_t get(const totals &Totals) noexcept {
  return static_cast<std::int64_t>(Totals.*Field);
}

template <use Use> std::int64_t getUse(const totals &Totals) noexcept {
  return static_cast<std::int64_t>(Totals.useMs(Use));
}

template <std::uint64_t work_counts::*Field>
std::int64_t getWork(const totals &Totals) noexcept {
  return static_cast<std::int64_t>(Totals.Work.*Field);
}

template <std::uint64_t (totals::*Function)() const noexcept>
std::int64_t derive(const totals &Totals) noexcept {
  return static_cast<std::int64_t>((Totals.*Function)());
}

constexpr std::array Columns{
    column{"owned", true, get<&totals::OwnedMs>},
    column{"lent", true, get<&totals::LentMs>},
    column{"borrowed", true, get<&totals::BorrowedMs>},
    column{"in_use", true, getUse<use::InUse>},
    column{"buffer", true, getUse<use::Buffer>},
    column{"maintenance", true, getUse<use::Maintenance>},
    column{"unavailable", true, getUse<use::Unavailable>},
    column{"alone", true, derive<&totals::aloneMs>},
    column{"saved", true, derive<&totals::savedMs>},
    column{"cost", true, derive<&totals::costMs>},
    column{"net", true,
           [](const totals &Totals) -> std::int64_t { return Totals.netMs(); }},
    column{"moves", false, get<&totals::Moves>},
    column{"placed", false, getWork<&work_counts::Placed>},
    column{"refused", false, getWork<&work_counts::Refused>},
    column{"late", false, getWork<&work_counts::Late>},
};

[[nodiscard]] std::string dayOf(const std::int64_t Period) {
  const std::chrono::year_month_day Day{
      std::chrono::sys_days{std::chrono::days{Period}}};
  char Text[32];
  std::snprintf(
      Text, sizeof(Text), "%04d-%02u-%02u", static_cast<int>(Day.year()),
      static_cast<unsigned>(Day.month()), static_cast<unsigned>(Day.day()));
  return Text;
}

[[nodiscard]] std::string keyOf(const column &Column) {
  return std::string{Column.Name} + (Column.IsTime ? "_ms" : "");
}

[[nodiscard]] std::string quoted(const std::string &Text) {
  if (Text.find_first_of(",\"\r\n") == std::string::npos)
    return Text;
  std::string Out{"\""};
  for (const char Letter : Text)
    Out.append(Letter == '"' ? 2 : 1, Letter);
  return Out + '"';
}

} // namespace

std::string toTable(const std::span<const row> Rows) {
  constexpr std::int64_t HourMs = 3'600'000;
  std::vector<std::vector<std::string>> Cells{{"day", "member"}};
  for (const auto &Column : Columns)
    Cells.front().push_back(std::string{Column.Name} +
                            (Column.IsTime ? "_h" : ""));
  for (const auto &Row : Rows) {
    auto &Line = Cells.emplace_back();
    Line.push_back(dayOf(Row.Period));
    Line.push_back(Row.Customer);
    for (const auto &Column : Columns) {
      const auto Value = Column.Value(Row.Totals);
      Line.push_back(std::to_string(Column.IsTime ? Value / HourMs : Value));
    }
  }
  std::vector<std::size_t> Width(Cells.front().size());
  for (const auto &Line : Cells) {
    for (std::size_t I = 0; I < Line.size(); ++I)
      Width[I] = std::max(Width[I], Line[I].size());
  }
  constexpr std::size_t TextColumns = 2;
  std::string Out;
  for (const auto &Line : Cells) {
    for (std::size_t I = 0; I < Line.size(); ++I) {
      const std::string Padding(Width[I] - Line[I].size(), ' ');
      Out += I == 0 ? "" : "  ";
      Out += I < TextColumns ? Line[I] + Padding : Padding + Line[I];
    }
    Out += '\n';
  }
  return Out;
}

std::string toJson(const std::span<const row> Rows) {
  auto Array = nlohmann::ordered_json::array();
  for (const auto &Row : Rows) {
    nlohmann::ordered_json Object;
    Object["day"] = dayOf(Row.Period);
    Object["member"] = Row.Customer;
    for (const auto &Column : Columns)
      Object[keyOf(Column)] = Column.Value(Row.Totals);
    Array.push_back(std::move(Object));
  }
  return Array.dump(2) + '\n';
}

std::string toCsv(const std::span<const row> Rows) {
  std::string Out{"day,member"};
  for (const auto &Column : Columns)
    Out += ',' + keyOf(Column);
  Out += "\r\n";
  for (const auto &Row : Rows) {
    Out += dayOf(Row.Period) + ',' + quoted(Row.Customer);
    for (const auto &Column : Columns)
      Out += ',' + std::to_string(Column.Value(Row.Totals));
    Out += "\r\n";
  }
  return Out;
}

} // namespace galenalink::account
