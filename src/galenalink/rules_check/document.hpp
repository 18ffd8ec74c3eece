#ifndef GALENALINK_RULES_CHECK_DOCUMENT_HPP
#define GALENALINK_RULES_CHECK_DOCUMENT_HPP

#include "galenalink/config/diagnostic.hpp"
#include "galenalink/job/types.hpp"
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace galenalink::rules_check {

/** @brief Part of a configuration that a finding is about. */
enum class entry_kind : std::uint8_t {
  Document,
  /** Limits of callers' requests. */
  Limits,
  Queue,
  Pool,
  Customer,
};

/** @brief Fields of all parts of a configuration. */
enum class field : std::uint8_t {
  Version,
  Limits,
  Queues,
  Pools,
  Customers,
  MaxHeaderBytes,
  MaxBodyBytes,
  HeaderTimeout,
  IdleTimeout,
  Name,
  Host,
  PathPrefix,
  Pool,
  Kind,
  Priority,
  MaxAttempts,
  Stretch,
  Slack,
  Timeout,
  Public,
  Advice,
  Decision,
  PerServer,
  Validity,
  Weight,
  HealthPath,
  MaxConnections,
  Protocol,
  Tls,
  EnforcesCapacity,
  Standby,
  Keys,
  Quota,
  Cpu,
  Memory,
  Gpu,
};

/** @brief Identifies a value of a document. */
struct location {
  entry_kind Kind{entry_kind::Document};
  /** Index of the queue, pool or customer in the rules. */
  std::size_t Index{0};
  /** Unset for the whole entry. */
  std::optional<field> Field;
  /** Index in a field that is a list. */
  std::optional<std::size_t> Item;
};

/** @brief Words of the document's format, for messages. */
struct vocabulary {
  std::string_view (*EntryName)(entry_kind);
  std::string_view (*FieldName)(field);
};

/** Texts of the fields of an entry that the nodes do not use. */
using unused_fields = std::map<field, std::string>;

/** @brief A decoded configuration. Entries with errors of their own are left
 * out. */
struct document {
  job::fleet_rules Rules;
  /** The limits that the document sets. */
  std::map<field, std::uint64_t> Limits;
  /** Unused fields of each queue, pool or customer; may be shorter than the
   * rules. */
  std::map<entry_kind, std::vector<unused_fields>> Unused;
  /** Lists that lack some of their entries. */
  std::set<entry_kind> Incomplete;
  vocabulary Words{};
  /** File, line, column and path of a value, or of the entry if it lacks the
   * value. */
  std::function<config::diagnostic(const location &)> Locate;
};

} // namespace galenalink::rules_check

#endif
