#include "galenalink/rules_check/compare.hpp"
#include "galenalink/rules_check/compare_detail.hpp"

namespace galenalink::rules_check {

namespace detail {

void entry_changes::add(const field Field, const std::string_view From,
                        const std::string_view To,
                        const consequence &Consequence) {
  std::string Message = Both.ToNew.describe(Kind, Name) + ": " +
                        Both.ToNew.nameOf(Field) + " changes from " +
                        std::string{From} + " to " + std::string{To};
  if (!Consequence.Text.empty())
    Message.append(": ").append(Consequence.Text);
  Both.ToNew.add(Consequence.Severity, {Kind, NewIndex, Field, {}},
                 std::move(Message));
}

void entry_changes::compareText(const field Field, const std::string &From,
                                const std::string &To,
                                const consequence &Consequence) {
  if (From != To)
    add(Field, quote(From), quote(To), Consequence);
}

void entry_changes::compareFlag(const field Field, const bool From,
                                const bool To, const consequence &Set,
                                const consequence &Cleared) {
  if (From != To)
    add(Field, From ? "true" : "false", To ? "true" : "false",
        To ? Set : Cleared);
}

void entry_changes::compareNumber(const field Field, const double From,
                                  const double To, const consequence &Lowered,
                                  const consequence &Raised) {
  if (From != To)
    add(Field, toText(From), toText(To), To < From ? Lowered : Raised);
}

void entry_changes::compareUnused() {
  const auto FieldsOf = [this](const document &Document,
                               const std::size_t Index) {
    const auto Found = Document.Unused.find(Kind);
    return Found == Document.Unused.end() || Index >= Found->second.size()
               ? unused_fields{}
               : Found->second[Index];
  };
  const unused_fields Old = FieldsOf(Both.Old, OldIndex);
  const unused_fields New = FieldsOf(Both.New, NewIndex);
  unused_fields All = Old;
  All.insert(New.begin(), New.end());
  const auto TextOf = [](const unused_fields &Fields, const field Field) {
    const auto Found = Fields.find(Field);
    return Found == Fields.end() ? std::string{"none"} : Found->second;
  };
  for (const auto &[Field, Unused] : All) {
    const std::string From = TextOf(Old, Field);
    const std::string To = TextOf(New, Field);
    if (From != To)
      add(Field, From, To, {severity::Note, "the nodes do not use it"});
  }
}

} // namespace detail

namespace {

void compareVersions(const detail::comparison &Both) {
  const std::uint64_t Old = Both.Old.Rules.Version;
  const std::uint64_t New = Both.New.Rules.Version;
  if (New <= Old)
    Both.ToNew.add(
        severity::Error, {entry_kind::Document, 0, field::Version, {}},
        Both.ToNew.nameOf(field::Version) + ' ' + std::to_string(New) +
            " is not above " + std::to_string(Old) +
            ", the version in force: the nodes ignore the "
            "configuration");
}

void compareLimits(const detail::comparison &Both) {
  std::map<field, std::uint64_t> All = Both.Old.Limits;
  All.insert(Both.New.Limits.begin(), Both.New.Limits.end());
  for (const auto &[Field, Unused] : All) {
    const auto Old = Both.Old.Limits.find(Field);
    const auto New = Both.New.Limits.find(Field);
    const bool IsNew = Old == Both.Old.Limits.end();
    const bool IsRemoved = New == Both.New.Limits.end();
    if (!IsNew && !IsRemoved && Old->second == New->second)
      continue;
    const bool IsLowered = !IsNew && !IsRemoved && New->second < Old->second;
    Both.ToNew.add(
        IsLowered ? severity::Warning : severity::Note,
        {entry_kind::Limits, 0, Field, {}},
        Both.ToNew.nameOf(Field) + " changes from " +
            (IsNew ? "none" : std::to_string(Old->second)) + " to " +
            (IsRemoved ? "none" : std::to_string(New->second)) +
            (IsLowered ? ": requests between the two may be refused" : ""));
  }
}

} // namespace

std::vector<finding> compare(const document &New, const document &InForce) {
  std::vector<finding> Findings;
  report ToNew{New, Findings};
  report ToOld{InForce, Findings};
  const detail::comparison Both{New, InForce, ToNew, ToOld};
  compareVersions(Both);
  compareLimits(Both);
  detail::compareQueues(Both);
  detail::comparePools(Both);
  detail::compareCustomers(Both);
  return Findings;
}

} // namespace galenalink::rules_check
