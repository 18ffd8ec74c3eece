#include "galenalink/rules_check/compare_detail.hpp"

namespace galenalink::rules_check::detail {

namespace {

using customers = std::vector<job::customer_rule>;

/** @brief Index of the customers by key; the first one of a shared key. */
std::map<std::string_view, std::string_view>
ownersOf(const customers &Customers) {
  std::map<std::string_view, std::string_view> Owners;
  for (const auto &Customer : Customers) {
    for (const auto &Key : Customer.Keys)
      Owners.try_emplace(Key, Customer.Name);
  }
  return Owners;
}

/** @brief Text of a limit, of which 0 means none. */
std::string limitText(const std::int64_t Limit) {
  return Limit == 0 ? "no limit" : std::to_string(Limit);
}

class customers_comparison {
public:
  customers_comparison(const comparison &Both, const customers &Old,
                       const customers &New)
      : Both{Both}, Old{Old}, New{New}, OldOwners{ownersOf(Old)},
        NewOwners{ownersOf(New)} {}

  void compareAll() {
    matchEntries(
        Old, New, [this](const std::size_t Index) { reportRemoved(Index); },
        [this](const std::size_t Index) { reportAdded(Index); },
        [this](const std::size_t OldIndex, const std::size_t NewIndex) {
          compareCustomer(OldIndex, NewIndex);
        });
  }

private:
  [[nodiscard]] std::string describe(const std::string_view Name) const {
    return Both.ToNew.describe(entry_kind::Customer, Name);
  }

  void reportRemoved(const std::size_t Index) {
    Both.ToOld.add(severity::Warning, {entry_kind::Customer, Index, {}, {}},
                   describe(Old[Index].Name) +
                       " is removed: its open jobs keep its last quota, and "
                       "every customer may read and cancel them");
    reportLostKeys(Index);
  }

  void reportAdded(const std::size_t Index) {
    Both.ToNew.add(severity::Note, {entry_kind::Customer, Index, {}, {}},
                   describe(New[Index].Name) + " is added");
    reportNewKeys(Index);
  }

  /** @brief Reports keys that no longer admit their callers. */
  void reportLostKeys(const std::size_t OldIndex) {
    const auto &Customer = Old[OldIndex];
    for (std::size_t I = 0; I < Customer.Keys.size(); ++I) {
      const std::string &Key = Customer.Keys[I];
      if (!NewOwners.contains(Key))
        Both.ToOld.add(severity::Warning,
                       {entry_kind::Customer, OldIndex, field::Keys, I},
                       describe(Customer.Name) + ": key " + maskKey(Key) +
                           " is taken away: requests with it get 401");
    }
  }

  /** @brief Reports keys that are new or belonged to another customer. */
  void reportNewKeys(const std::size_t NewIndex) {
    const auto &Customer = New[NewIndex];
    for (std::size_t I = 0; I < Customer.Keys.size(); ++I) {
      const std::string &Key = Customer.Keys[I];
      const location At{entry_kind::Customer, NewIndex, field::Keys, I};
      const auto Before = OldOwners.find(Key);
      if (Before == OldOwners.end())
        Both.ToNew.add(severity::Note, At,
                       describe(Customer.Name) + ": key " + maskKey(Key) +
                           " is added");
      else if (Before->second != Customer.Name &&
               NewOwners.at(Key) == Customer.Name)
        Both.ToNew.add(severity::Warning, At,
                       describe(Customer.Name) + ": key " + maskKey(Key) +
                           " passes over from " + describe(Before->second) +
                           fateOfJobs(Before->second));
    }
  }

  /** @brief What a caller whose key passed over may do with its jobs. */
  [[nodiscard]] std::string fateOfJobs(const std::string_view OldOwner) const {
    return indexOf(New, std::string{OldOwner})
               ? ": requests for jobs submitted with it before get 403"
               : "";
  }

  void compareCustomer(const std::size_t OldIndex, const std::size_t NewIndex) {
    const auto &Before = Old[OldIndex];
    const auto &After = New[NewIndex];
    reportLostKeys(OldIndex);
    reportNewKeys(NewIndex);
    entry_changes Changes{Both, entry_kind::Customer, After.Name, OldIndex,
                          NewIndex};
    compareQuota(Changes, field::Cpu, Before.Quota.Cpu, After.Quota.Cpu);
    compareQuota(Changes, field::Memory, Before.Quota.Memory,
                 After.Quota.Memory);
    compareQuota(Changes, field::Gpu, Before.Quota.Gpu, After.Quota.Gpu);
    compareWeight(Changes, Before.Weight, After.Weight);
    Changes.compareUnused();
  }

  static void compareQuota(entry_changes &Changes, const field Field,
                           const std::int64_t From, const std::int64_t To) {
    if (From == To)
      return;
    const bool IsLowered = To != 0 && (From == 0 || To < From);
    Changes.add(Field, limitText(From), limitText(To),
                IsLowered
                    ? consequence{severity::Warning,
                                  "nothing is stopped, but none of its tasks "
                                  "starts until its usage is below the quota"}
                    : consequence{severity::Note, "more of its tasks may run"});
  }

  static void compareWeight(entry_changes &Changes, const double From,
                            const double To) {
    if (From == To)
      return;
    if (To == 0 || From == 0) {
      Changes.add(field::Weight, toText(From), toText(To),
                  To == 0 ? consequence{severity::Warning,
                                        "its rate of new jobs is no longer "
                                        "limited, and it shares a full pool "
                                        "as with a weight of 1"}
                          : consequence{severity::Warning,
                                        "jobs beyond this rate a second may "
                                        "be refused"});
      return;
    }
    Changes.compareNumber(
        field::Weight, From, To,
        {severity::Warning, "its rate of new jobs and its share of a full pool "
                            "are smaller"},
        {severity::Note, "its rate of new jobs and its share of a full pool "
                         "are larger"});
  }

  const comparison &Both;
  const customers &Old;
  const customers &New;
  std::map<std::string_view, std::string_view> OldOwners;
  std::map<std::string_view, std::string_view> NewOwners;
};

/** @brief Reports that keys are needed from now on, or no longer. */
void compareNeedOfKeys(const comparison &Both) {
  const bool Before = Both.Old.Rules.Customers.has_value();
  const bool After = Both.New.Rules.Customers.has_value();
  if (Before == After)
    return;
  const location At{entry_kind::Document, 0, field::Customers, {}};
  const auto Needing = std::ranges::count(Both.New.Rules.Queues, false,
                                          &job::queue_rule::Public);
  const std::string Name = Both.ToNew.nameOf(field::Customers);
  if (After)
    Both.ToNew.add(severity::Warning, At,
                   Name + " is added: requests on the " +
                       std::to_string(Needing) + " entries of " +
                       Both.ToNew.nameOf(field::Queues) +
                       " that are not public need a key from now on");
  else
    Both.ToOld.add(severity::Warning, At,
                   Name + " is removed: requests need no key any more, and "
                          "there are no quotas, rates and shares");
}

} // namespace

void compareCustomers(const comparison &Both) {
  compareNeedOfKeys(Both);
  if (!Both.New.Rules.Customers)
    return;
  const customers None;
  const auto &Old = Both.Old.Rules.Customers;
  customers_comparison{Both, Old ? *Old : None, *Both.New.Rules.Customers}
      .compareAll();
}

} // namespace galenalink::rules_check::detail
