#ifndef GALENALINK_CONFIG_SERVICE_FILE_HPP
#define GALENALINK_CONFIG_SERVICE_FILE_HPP

#include "galenalink/config/diagnostic.hpp"
#include "galenalink/core/enum_names.hpp"
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace galenalink::config {

/** @brief Whether a caller waits for the work or is given a handle. */
enum class work_kind : std::uint8_t { Short, Long };

inline constexpr enum_names<work_kind, 2> WorkKindNames{{
    {work_kind::Short, "short"},
    {work_kind::Long, "long"},
}};

/** @brief What happens to running work when its VM is drained. */
enum class drain_action : std::uint8_t { Finish, Checkpoint };

inline constexpr enum_names<drain_action, 2> DrainActionNames{{
    {drain_action::Finish, "finish"},
    {drain_action::Checkpoint, "checkpoint"},
}};

struct pool {
  std::string Name;
  /** Number of shards; fixed for the life of the pool. */
  std::uint32_t Shards{1};
  /** VMs that must be up. */
  std::uint32_t MinUp{0};
  /** The customer's pool of spare VMs. */
  bool Spare{false};

  [[nodiscard]] bool operator==(const pool &) const = default;
};

struct queue {
  std::string Name;
  work_kind Kind{work_kind::Short};
  bool Idempotent{false};
  /** Declared run time; only a first estimate. */
  std::uint32_t ExpectedRunMs{1000};
  /** Default deadline of a request after its arrival. */
  std::uint32_t TimeoutMs{10000};
  drain_action OnDrain{drain_action::Finish};

  [[nodiscard]] bool operator==(const queue &) const = default;
};

struct team {
  std::string Name;
  /** Slots that the team may hold while others wait. */
  std::uint32_t QuotaSlots{0};

  [[nodiscard]] bool operator==(const team &) const = default;
};

struct service {
  std::string Name;
  std::string Pool;
  /** VMs of the pool that must be up for this service. */
  std::uint32_t MinUp{0};
  std::vector<queue> Queues;
  std::vector<team> Teams;

  [[nodiscard]] bool operator==(const service &) const = default;
};

/** @brief Hours of the day (UTC) in which maintenance may start. */
struct window {
  std::uint32_t FromHour{0};
  std::uint32_t ToHour{24};

  [[nodiscard]] bool operator==(const window &) const = default;
};

struct maintenance {
  std::uint32_t PeriodDays{49};
  /** How long running work may hold a VM with a permit; absent: no limit. */
  std::optional<std::uint64_t> HoldMs;
  std::vector<window> Windows;

  [[nodiscard]] bool operator==(const maintenance &) const = default;
};

/** @brief VMs that may be lent to another customer at a time. */
struct lending {
  std::string To;
  std::uint32_t MaxVms{0};

  [[nodiscard]] bool operator==(const lending &) const = default;
};

/** @brief One document published by an operator. */
struct service_file {
  std::string Customer;
  std::vector<pool> Pools;
  std::vector<service> Services;
  std::optional<maintenance> Maintenance;
  std::vector<lending> Lending;

  [[nodiscard]] bool operator==(const service_file &) const = default;
};

/**
 * @brief Parses and checks one service file.
 * @param Name Name of the document, used in diagnostics.
 * @param Text JSON with comments.
 * @param Out Receives the file; complete only if nothing was found.
 * @return Every error found, empty if the document is valid.
 */
[[nodiscard]] std::vector<diagnostic> parseServiceFile(std::string_view Name,
                                                       std::string_view Text,
                                                       service_file &Out);

} // namespace galenalink::config

#endif
