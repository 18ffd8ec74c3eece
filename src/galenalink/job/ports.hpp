#ifndef GALENALINK_JOB_PORTS_HPP
#define GALENALINK_JOB_PORTS_HPP

#include "galenalink/core/time.hpp"
#include "galenalink/job/types.hpp"
#include <functional>
#include <optional>
#include <variant>

namespace galenalink::job {

/** @brief What became of a call to an outside system. */
enum class call_outcome : std::uint8_t {
  Done,
  /** It was refused, and nothing was done. */
  Refused,
  /** The caller was superseded by one with a higher epoch. */
  Fenced,
  /** Another incarnation serves the address. */
  Replaced,
  /** It may have been done, or may be done later. */
  Unknown,
};

inline constexpr enum_names<call_outcome, 5> CallOutcomeNames{{
    {call_outcome::Done, "done"},
    {call_outcome::Refused, "refused"},
    {call_outcome::Fenced, "fenced"},
    {call_outcome::Replaced, "replaced"},
    {call_outcome::Unknown, "unknown"},
}};

/** @brief Logs of the platform's store that the core uses. */
enum class topic : std::uint8_t {
  /** Newest record of each key: jobs, progress, backend servers in use. */
  Jobs,
  /** Claims and signs of life of the leader, a plain log. */
  Leader,
  /** Newest record of each key, written by the operator only. */
  Operator,
  /** Newest record of each key, written by the backend servers only. */
  Registrations,
};

inline constexpr enum_names<topic, 4> TopicNames{{
    {topic::Jobs, "jobs"},
    {topic::Leader, "leader"},
    {topic::Operator, "operator"},
    {topic::Registrations, "registrations"},
}};

/** @brief A record of a log with keys; no value removes the key. */
struct keyed_record {
  std::string Key;
  std::optional<std::string> Value;

  [[nodiscard]] bool operator==(const keyed_record &) const = default;
};

struct append_result {
  call_outcome Outcome{call_outcome::Unknown};
  /** For a person. */
  std::string Reason;
};

/** @brief The newest record of each key, and where to read on. */
struct latest_result {
  call_outcome Outcome{call_outcome::Unknown};
  std::vector<keyed_record> Records;
  std::uint64_t End{0};
};

/** @brief Records of a log from an offset on. */
struct read_result {
  call_outcome Outcome{call_outcome::Unknown};
  /** The records asked for have expired. */
  bool Expired{false};
  std::vector<keyed_record> Records;
  /** Offset to read on from. */
  std::uint64_t Next{0};
  /** One past the newest offset of the log. */
  std::uint64_t End{0};
};

struct claim_result {
  call_outcome Outcome{call_outcome::Unknown};
  /** Where the log ends, if it ended elsewhere than expected. */
  std::uint64_t End{0};
};

/** @brief A run as its backend server lists it. */
struct listed_run {
  run_id Run;
  /** Newest saved progress; empty for none. */
  std::string Checkpoint;
  std::uint32_t Percent{0};
  /** A serving task: its tail, ms; any other: its processor use. */
  std::uint32_t Gauge{0};
};

struct listed_end {
  /** Number of the end in this incarnation, from 1. */
  std::uint64_t Number{0};
  run_id Run;
  run_outcome Outcome{run_outcome::Failed};
  std::string Checkpoint;
};

struct heartbeat_result {
  call_outcome Outcome{call_outcome::Unknown};
  /** The backend server's own clock when it answered, ms. */
  std::int64_t ClockMs{0};
  /** When the incarnation started, ms since 1970; 0 if it did not say. */
  std::int64_t StartedAtMs{0};
  std::vector<listed_run> Running;
  std::vector<listed_end> Ends;
};

/** @brief Why a backend server refused a start. */
enum class start_refusal : std::uint8_t {
  None,
  /** The run's number is not above one that ended or was stopped there. */
  Superseded,
  /** The lease had passed when the order arrived. */
  Late,
  /** No room. */
  NoCapacity,
  /** The ticket is missing or no longer valid. */
  Ticket,
  /** The order names something the backend server does not know. */
  Invalid,
  /** The backend server is unhealthy. */
  Unavailable,
};

inline constexpr enum_names<start_refusal, 7> StartRefusalNames{{
    {start_refusal::None, "none"},
    {start_refusal::Superseded, "old"},
    {start_refusal::Late, "late"},
    {start_refusal::NoCapacity, "room"},
    {start_refusal::Ticket, "ticket"},
    {start_refusal::Invalid, "invalid"},
    {start_refusal::Unavailable, "busy"},
}};

struct order_result {
  call_outcome Outcome{call_outcome::Unknown};
  start_refusal Reason{start_refusal::None};
  std::int64_t StartedAtMs{0};
};

/** @brief Which incarnation of a backend server an order is for. */
struct server_target {
  std::string Id;
  /** `host:port`. */
  std::string Address;
};

struct heartbeat_order {
  server_target Server;
  std::uint64_t Epoch{0};
  /** End of the lease on the backend server's clock, ms; 0 sets none. */
  std::int64_t LeaseEndMs{0};
  /** Ends up to this number are recorded and may be forgotten. */
  std::uint64_t RecordedEnds{0};
  /** The answer may wait this long for an end, ms. */
  std::uint32_t WaitMs{0};
};

struct start_order {
  server_target Server;
  std::uint64_t Epoch{0};
  std::int64_t LeaseEndMs{0};
  /** Without an answer by then the outcome is unknown. */
  time_point AnswerBy;
  run_id Run;
  std::string Spec;
  std::string Checkpoint;
  std::string Ticket;
};

struct stop_order {
  server_target Server;
  std::uint64_t Epoch{0};
  time_point AnswerBy;
  run_id Run;
};

struct pace_order {
  server_target Server;
  std::uint64_t Epoch{0};
  run_id Run;
  /** Share of the time in which the task may work, 0 to 100. */
  std::uint32_t Percent{100};
};

/** @brief A question to the service that advises on a queue. */
struct ticket_request {
  /** The step, as its task with index 0. */
  task_id Step;
  /** Ids of backend servers. */
  std::vector<std::string> Servers;
  time_point AnswerBy;
};

/** @brief A backend server that may run the step. */
struct placement_ticket {
  std::string Server;
  std::string Ticket;
};

struct ticket_result {
  call_outcome Outcome{call_outcome::Unknown};
  std::vector<placement_ticket> Granted;
};

/** @brief A backend server as it registered itself. */
struct registration {
  std::string Id;
  std::string Address;
  std::string Pool;
  std::string DataCentre;
  bool Draining{false};
  /** Least time until it leaves, ms; meaningful while it drains. */
  std::int64_t RemainingMs{0};
  resources Capacity;
  std::vector<std::string> Labels;
  std::int64_t StartedAtMs{0};
  /** Rises with each write of one incarnation. */
  std::uint64_t Sequence{0};
};

/** @brief What the operator wrote. */
using operator_record = std::variant<std::monostate, fleet_rules, wave>;

enum class vm_state : std::uint8_t { Up, Moving, Maintenance, Down };

inline constexpr enum_names<vm_state, 4> VmStateNames{{
    {vm_state::Up, "up"},
    {vm_state::Moving, "moving"},
    {vm_state::Maintenance, "maintenance"},
    {vm_state::Down, "down"},
}};

/** @brief A VM as the platform lists it. */
struct vm {
  std::string Name;
  std::string Pool;
  vm_state State{vm_state::Down};
  /** Id of its backend server; empty if it has none. */
  std::string Server;
  resources Capacity;
  std::vector<std::string> Labels;
};

struct vms_result {
  call_outcome Outcome{call_outcome::Unknown};
  std::vector<vm> Vms;
};

/** @brief What the platform says to a move or a maintenance. */
struct vm_result {
  call_outcome Outcome{call_outcome::Unknown};
  /** Refused because the VM is not up or leaves. */
  bool Busy{false};
};

struct vm_order {
  std::string Vm;
  std::uint64_t Epoch{0};
  /** Pool to move to; empty for maintenance. */
  std::string Pool;
  std::uint64_t Wave{0};
};

/**
 * @brief The platform as the core sees it. Each callback is called once from
 * the loop, never from within the hook.
 */
struct ports {
  template <typename Type> using callback = std::function<void(Type)>;

  /** Appends to `Jobs` as the leader of the epoch; a repeat with the same
   * sequence number takes effect once. Without an answer by the given time
   * the outcome is unknown. */
  std::function<void(std::uint64_t Epoch, std::uint64_t Sequence,
                     const std::vector<keyed_record> &, time_point AnswerBy,
                     callback<append_result>)>
      Append;
  /** Makes appends to `Jobs` under lower epochs fail. */
  std::function<void(std::uint64_t Epoch, callback<append_result>)> Fence;
  std::function<void(topic, callback<latest_result>)> ReadLatest;
  std::function<void(topic, std::uint64_t From, std::uint32_t WaitMs,
                     callback<read_result>)>
      Read;
  /** Appends to `Leader` if the log ends at the offset. */
  std::function<void(std::uint64_t At, const std::string &Record,
                     callback<claim_result>)>
      Claim;
  std::function<void(std::uint64_t Wave, bool Completed,
                     callback<append_result>)>
      PublishWave;

  /** Reads a record of `Operator`; nothing if it is of no known kind. */
  std::function<operator_record(const keyed_record &)> DecodeOperator;
  /** Reads a record of `Registrations`; nothing if it names no backend server
   * that can be used. */
  std::function<std::optional<registration>(const keyed_record &)>
      DecodeRegistration;

  std::function<void(const heartbeat_order &, callback<heartbeat_result>)>
      Heartbeat;
  std::function<void(const start_order &, callback<order_result>)> Start;
  std::function<void(const stop_order &, callback<order_result>)> Stop;
  std::function<void(const pace_order &, callback<order_result>)> Pace;

  std::function<void(const ticket_request &, callback<ticket_result>)>
      RequestTickets;

  std::function<void(callback<vms_result>)> ListVms;
  /** Moves a VM, or starts its maintenance if no pool is named. */
  std::function<void(const vm_order &, callback<vm_result>)> OrderVm;
};

} // namespace galenalink::job

#endif
