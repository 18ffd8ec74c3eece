#include "galenalink/rules_check/check_detail.hpp"
#include <algorithm>

namespace galenalink::rules_check::detail {

namespace {

/** Thousandths of a core; a smaller limit was probably meant in cores. */
constexpr std::int64_t LeastPlausibleCpu = 100;

/** @brief Checks of all customers. */
class customers_check {
public:
  customers_check(const std::vector<job::customer_rule> &Customers,
                  report &Report)
      : Customers{Customers}, Report{Report} {}

  void checkAll() {
    const bool AnyWeight = std::ranges::any_of(
        Customers, [](const auto &Each) { return Each.Weight > 0; });
    for (std::size_t I = 0; I < Customers.size(); ++I) {
      checkKeys(I);
      checkQuota(I);
      checkWeight(I, AnyWeight);
    }
  }

private:
  void add(const severity Severity, const std::size_t Index, const field Field,
           const std::string &Message,
           const std::optional<std::size_t> Item = {}) {
    Report.add(Severity, {entry_kind::Customer, Index, Field, Item},
               Report.describe(entry_kind::Customer, Customers[Index].Name) +
                   ": " + Message);
  }

  void checkKeys(const std::size_t Index) {
    const auto &Keys = Customers[Index].Keys;
    if (Keys.empty())
      add(severity::Warning, Index, field::Keys,
          "has no keys: no request can be its own");
    for (std::size_t I = 0; I < Keys.size(); ++I) {
      if (isUsableKey(Keys[I]))
        checkOwner(Index, I);
      else
        add(severity::Warning, Index, field::Keys,
            Keys[I].empty()
                ? "an empty key can never match"
                : "key " + maskKey(Keys[I]) +
                      " can never match: it has a line break, a NUL character "
                      "or a blank at the end, which no request can carry",
            I);
    }
  }

  /** @brief Whether another customer has the key. */
  void checkOwner(const std::size_t Index, const std::size_t Item) {
    const std::string &Key = Customers[Index].Keys[Item];
    const auto [Owner, IsNew] = Owners.try_emplace(Key, Index);
    if (IsNew)
      return;
    if (Owner->second == Index) {
      add(severity::Warning, Index, field::Keys,
          "key " + maskKey(Key) + " is listed twice", Item);
      return;
    }
    const auto Line =
        Report.lineOf({entry_kind::Customer, Owner->second, {}, {}});
    add(severity::Error, Index, field::Keys,
        "key " + maskKey(Key) + " also belongs to " +
            Report.describe(entry_kind::Customer,
                            Customers[Owner->second].Name) +
            " on line " + std::to_string(Line) +
            ", to whom all requests with it are assigned",
        Item);
  }

  void checkQuota(const std::size_t Index) {
    const std::int64_t Cpu = Customers[Index].Quota.Cpu;
    if (Cpu > 0 && Cpu < LeastPlausibleCpu)
      add(severity::Warning, Index, field::Cpu,
          Report.nameOf(field::Cpu) + ' ' + std::to_string(Cpu) + " is " +
              toText(static_cast<double>(Cpu) / 1000) +
              " of a core; the unit is thousandths of a core");
  }

  void checkWeight(const std::size_t Index, const bool AnyWeight) {
    const auto &Customer = Customers[Index];
    if (Customer.Weight > 0)
      return;
    const std::string Weight =
        Report.nameOf(field::Weight) +
        " 0: its rate of new jobs is not limited, and it shares a full pool as "
        "with a weight of 1";
    if (Customer.Quota != job::resources{})
      add(severity::Warning, Index, field::Weight,
          Weight + ", although it has a quota");
    else if (AnyWeight)
      add(severity::Note, Index, field::Weight, Weight);
  }

  const std::vector<job::customer_rule> &Customers;
  report &Report;
  /** Index of the first customer with the key. */
  std::map<std::string_view, std::size_t> Owners;
};

} // namespace

bool isUsableKey(const std::string_view Key) noexcept {
  // The HTTP server removes blanks at the end of a header.
  return !Key.empty() && !Key.ends_with(' ') && !Key.ends_with('\t') &&
         std::ranges::none_of(Key, [](const char Each) {
           return Each == '\r' || Each == '\n' || Each == '\0';
         });
}

void checkCustomers(const document &Document, report &Report) {
  if (Document.Rules.Customers)
    customers_check{*Document.Rules.Customers, Report}.checkAll();
}

} // namespace galenalink::rules_check::detail
