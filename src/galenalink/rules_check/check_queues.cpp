#include "galenalink/job/queue_match.hpp"
#include "galenalink/job/tickets.hpp"
#include "galenalink/rules_check/check_detail.hpp"
#include <algorithm>
#include <cmath>
#include <utility>

namespace galenalink::rules_check::detail {

namespace {

constexpr std::string_view Blanks = " \t";

bool isControl(const char Each) noexcept {
  return static_cast<unsigned char>(Each) < 0x20 || Each == 0x7F;
}

/** @brief Checks of one queue. */
class queue_check {
public:
  queue_check(const document &Document, report &Report, const std::size_t Index)
      : Document{Document}, Report{Report}, Index{Index},
        Queue{Document.Rules.Queues[Index]} {}

  void checkAll() {
    checkPool();
    checkHost();
    checkPrefix();
    checkHidden();
    checkAccess();
    checkAttempts();
    checkObjective();
    checkTickets();
  }

private:
  void add(const severity Severity, const field Field,
           const std::string &Message) {
    Report.add(Severity, {entry_kind::Queue, Index, Field, {}},
               Report.describe(entry_kind::Queue, Queue.Name) + ": " + Message);
  }
  [[nodiscard]] std::string valueOf(const field Field,
                                    const std::string &Value) const {
    return Report.nameOf(Field) + ' ' + Value;
  }

  void checkPool() {
    const job::pool_rule *Pool = Document.Rules.pool(Queue.Pool);
    const std::string Name = valueOf(field::Pool, quote(Queue.Pool));
    if (Pool == nullptr && !Document.Incomplete.contains(entry_kind::Pool))
      add(severity::Error, field::Pool,
          Name + " is not listed in " + Report.nameOf(field::Pools) +
              ": the jobs can't run");
    if (Pool != nullptr && Pool->Standby)
      add(severity::Warning, field::Pool,
          Name +
              " is on standby: its VMs are powered off, so the jobs can't run");
  }

  void checkHost() {
    const std::string Name = valueOf(field::Host, quote(Queue.Host));
    if (Queue.Host.empty())
      add(severity::Warning, field::Host,
          Name + " matches only requests without a Host header, which HTTP/1.1 "
                 "does not allow");
    else if (Queue.Host.find(':') != std::string::npos)
      add(severity::Warning, field::Host,
          Name + " can never match: the port in a request's Host header is cut "
                 "off");
    else if (std::ranges::any_of(Queue.Host, isControl) ||
             Queue.Host.find_first_of(Blanks) != std::string::npos)
      add(severity::Warning, field::Host,
          Name + " can never match: a host name has no blanks or control "
                 "characters");
    else if (std::ranges::any_of(Queue.Host, [](const char Each) {
               return Each >= 'A' && Each <= 'Z';
             }))
      add(severity::Warning, field::Host,
          Name + " has capital letters and is compared as it is written, while "
                 "most clients send host names in lower case");
  }

  void checkPrefix() {
    const std::string &Prefix = Queue.PathPrefix;
    const std::string Name = valueOf(field::PathPrefix, quote(Prefix));
    if (!Prefix.starts_with('/')) {
      add(severity::Warning, field::PathPrefix,
          Name + " can never match: a path begins with \"/\"");
      return;
    }
    if (Prefix.find_first_of("?#") != std::string::npos ||
        Prefix.find_first_of(Blanks) != std::string::npos ||
        std::ranges::any_of(Prefix, isControl)) {
      add(severity::Warning, field::PathPrefix,
          Name + " can never match: a path has no \"?\", \"#\", blanks or "
                 "control characters");
      return;
    }
    if (!Prefix.ends_with('/'))
      add(severity::Warning, field::PathPrefix,
          Name + " has no \"/\" at the end: it matches " +
              quote(Prefix + "ID") + ", and a request for " +
              quote(Prefix + "/ID") + " gets 404");
  }

  /** @brief Whether an earlier queue gets all requests. */
  void checkHidden() {
    const auto &Rules = Document.Rules;
    const job::queue_rule *First =
        job::matchQueue(Rules, Queue.Host, Queue.PathPrefix);
    if (First == &Queue)
      return;
    const auto Earlier = static_cast<std::size_t>(First - Rules.Queues.data());
    const auto Line = Report.lineOf({entry_kind::Queue, Earlier, {}, {}});
    add(severity::Warning, field::PathPrefix,
        "can never match: " + Report.describe(entry_kind::Queue, First->Name) +
            " on line " + std::to_string(Line) + " has the same " +
            valueOf(field::Host, quote(Queue.Host)) + " and " +
            valueOf(field::PathPrefix, quote(Queue.PathPrefix)));
  }

  void checkAccess() {
    const auto &Customers = Document.Rules.Customers;
    if (!Customers || Queue.Public ||
        Document.Incomplete.contains(entry_kind::Customer))
      return;
    const bool AnyKey = std::ranges::any_of(*Customers, [](const auto &Each) {
      return std::ranges::any_of(Each.Keys, isUsableKey);
    });
    if (!AnyKey)
      add(severity::Warning, field::Public,
          "is not public, and no customer has a usable key: all requests get "
          "401");
  }

  void checkAttempts() {
    if (Queue.MaxAttempts == 0)
      add(severity::Warning, field::MaxAttempts,
          valueOf(field::MaxAttempts, "0") +
              " acts like 1: a job fails with its first failed run");
  }

  /** @brief The objective is `Stretch` times the critical path plus the slack,
   * and a job takes at least as long as its critical path. */
  void checkObjective() {
    const std::string Slack =
        valueOf(field::Slack, std::to_string(Queue.SlackMs));
    const std::string Stretch =
        valueOf(field::Stretch, toText(Queue.Stretch)) + " and " + Slack;
    if (Queue.Stretch < 1)
      add(severity::Warning, field::Stretch,
          Stretch + ": a job whose critical path is longer than " +
              toText(std::floor(Queue.SlackMs / (1 - Queue.Stretch))) +
              " ms can never meet its objective");
    else if (Queue.Stretch == 1 && Queue.SlackMs == 0)
      add(severity::Note, field::Slack,
          Stretch + ": the objective is the critical path alone, which a job "
                    "misses by any time that it waits");
  }

  void checkTickets() {
    if (!Queue.Advice)
      return;
    const auto &Advice = *Queue.Advice;
    const auto Margin = std::chrono::duration_cast<std::chrono::milliseconds>(
        job::TicketMargin);
    const std::uint64_t DecisionMs =
        std::uint64_t{Advice.DecisionMs} + Advice.PerServerMs;
    const std::string Validity =
        valueOf(field::Validity, std::to_string(Advice.ValidityMs));
    if (std::cmp_less_equal(Advice.ValidityMs, Margin.count()))
      add(severity::Error, field::Validity,
          Validity + ": a ticket is not used in its last " +
              std::to_string(Margin.count()) + " ms, so no task can start");
    else if (Advice.ValidityMs < DecisionMs)
      add(severity::Warning, field::Validity,
          Validity + " is shorter than the decision on one backend server (" +
              std::to_string(DecisionMs) +
              " ms): tickets expire before the next ones arrive");
  }

  const document &Document;
  report &Report;
  std::size_t Index;
  const job::queue_rule &Queue;
};

} // namespace

void checkQueues(const document &Document, report &Report) {
  const auto &Queues = Document.Rules.Queues;
  if (Queues.empty() && !Document.Incomplete.contains(entry_kind::Queue))
    Report.add(severity::Warning, {entry_kind::Document, 0, field::Queues, {}},
               Report.nameOf(field::Queues) +
                   " is empty: all requests get 404");
  for (std::size_t I = 0; I < Queues.size(); ++I)
    queue_check{Document, Report, I}.checkAll();
}

} // namespace galenalink::rules_check::detail
