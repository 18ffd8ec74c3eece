#ifndef GALENALINK_JOB_PORTS_HPP
#define GALENALINK_JOB_PORTS_HPP

#include "galenalink/core/time.hpp"
#include "galenalink/job/types.hpp"
#include <functional>
#include <optional>
#include <variant>

namespace galenalink::job {

/** @brief Outcome of a call to an external system. */
enum class call_outcome : std::uint8_t {
  Done,
  /** It was refused and had no effect. */
  Refused,
  /** A caller with a higher epoch exists. */
  Fenced,
  /** Another incarnation of the backend server uses the address, with or
   * without the same id; the call was not carried out. */
  Replaced,
  /** It may have taken effect, or may still do so. */
  Unknown,
};

inline constexpr enum_names<call_outcome, 5> CallOutcomeNames{{
    {call_outcome::Done, "done"},
    {call_outcome::Refused, "refused"},
    {call_outcome::Fenced, "fenced"},
    {call_outcome::Replaced, "replaced"},
    {call_outcome::Unknown, "unknown"},
}};

/** @brief Logs of the platform's store that the job core uses. */
enum class topic : std::uint8_t {
  /** Compacted to the latest record of each key: jobs, progress, backend
   * servers in use and other state of the leader. */
  Jobs,
  /** Claims and heartbeats of leaders; an append-only log without keys. */
  Leader,
  /** Compacted to the latest record of each key; only the operator writes. */
  Operator,
  /** Compacted to the latest record of each key; only backend servers write. */
  Registrations,
};

inline constexpr enum_names<topic, 4> TopicNames{{
    {topic::Jobs, "jobs"},
    {topic::Leader, "leader"},
    {topic::Operator, "operator"},
    {topic::Registrations, "registrations"},
}};

/** @brief A record of a keyed log; a record without a value deletes the key. */
struct keyed_record {
  std::string Key;
  std::optional<std::string> Value;

  [[nodiscard]] bool operator==(const keyed_record &) const = default;
};

struct append_result {
  call_outcome Outcome{call_outcome::Unknown};
  /** Human-readable cause of a failure. */
  std::string Reason;
};

/** @brief The latest record of each key. */
struct latest_result {
  call_outcome Outcome{call_outcome::Unknown};
  std::vector<keyed_record> Records;
  /** Offset from which to continue reading. */
  std::uint64_t End{0};
};

/** @brief Records of a log, starting at an offset. */
struct read_result {
  call_outcome Outcome{call_outcome::Unknown};
  /** The requested records are no longer retained. */
  bool Expired{false};
  std::vector<keyed_record> Records;
  /** Offset from which to continue reading. */
  std::uint64_t Next{0};
  /** One past the newest offset of the log. */
  std::uint64_t End{0};
};

struct claim_result {
  call_outcome Outcome{call_outcome::Unknown};
  /** End of the log, if it differs from the expected end. */
  std::uint64_t End{0};
};

/** @brief A running run, as reported by its backend server. */
struct listed_run {
  run_id Run;
  /** Latest checkpoint; empty for none. */
  std::string Checkpoint;
  /** Progress, percent. */
  std::uint32_t Percent{0};
  /** Tail latency in ms for a latency-sensitive task, CPU use for others. */
  std::uint32_t Gauge{0};
};

/** @brief An ended run, as reported by its backend server. */
struct listed_end {
  /** Sequence number of the entry within the incarnation, starting at 1. */
  std::uint64_t Number{0};
  run_id Run;
  run_outcome Outcome{run_outcome::Failed};
  std::string Checkpoint;
};

/** @brief Response of a backend server to a heartbeat. */
struct heartbeat_result {
  call_outcome Outcome{call_outcome::Unknown};
  /** The backend server's own clock when it responded, ms. */
  std::int64_t ClockMs{0};
  /** Start of the incarnation, ms since the Unix epoch; 0 if not reported. */
  std::int64_t StartedAtMs{0};
  /** Some rows could not be read, so the lists below lack runs or ends. */
  bool Incomplete{false};
  /** There may be further ends; they are listed once these are
   * acknowledged. */
  bool EndsTruncated{false};
  std::vector<listed_run> Running;
  std::vector<listed_end> Ends;
};

/** @brief Why a backend server refused to start a run. */
enum class start_refusal : std::uint8_t {
  None,
  /** The run's number is not higher than that of a run of the task that ended
   * or was stopped there. */
  Superseded,
  /** The lease had expired when the request arrived. */
  Late,
  /** The free resources do not suffice. */
  NoCapacity,
  /** The ticket is missing or no longer valid. */
  Ticket,
  /** The request names something that the backend server does not know. */
  Invalid,
  /** The backend server is unhealthy or could not be reached. */
  Unavailable,
};

/** Names in logs and messages; some differ from the enumerators. */
inline constexpr enum_names<start_refusal, 7> StartRefusalNames{{
    {start_refusal::None, "none"},
    {start_refusal::Superseded, "old"},
    {start_refusal::Late, "late"},
    {start_refusal::NoCapacity, "room"},
    {start_refusal::Ticket, "ticket"},
    {start_refusal::Invalid, "invalid"},
    {start_refusal::Unavailable, "busy"},
}};

/** @brief Response of a backend server to a start, stop or pace request. */
struct order_result {
  call_outcome Outcome{call_outcome::Unknown};
  start_refusal Reason{start_refusal::None};
  /** Start of the incarnation, ms since the Unix epoch; 0 if not reported. */
  std::int64_t StartedAtMs{0};
};

/** @brief Incarnation of a backend server that a request is addressed to. */
struct server_target {
  std::string Id;
  /** `host:port`. */
  std::string Address;
  /** Start of the incarnation, ms since the Unix epoch; 0 if unknown, which
   * admits any incarnation under the id. */
  std::int64_t StartedAtMs{0};
};

/**
 * @brief Renews the lease of a backend server and requests its lists of running
 * and ended runs; POST `/hold` on the wire.
 */
struct heartbeat_order {
  server_target Server;
  std::uint64_t Epoch{0};
  /** End of the lease on the backend server's clock, ms; 0 sets no
   * lease. */
  std::int64_t LeaseEndMs{0};
  /** Ended runs up to this sequence number are stored by the leader, so the
   * backend server may drop them. */
  std::uint64_t LastStoredEnd{0};
  /** Long poll: the response may wait this long for a run to end, ms. */
  std::uint32_t WaitMs{0};
};

/** @brief Request to start a run. */
struct start_order {
  server_target Server;
  std::uint64_t Epoch{0};
  /** End of the lease on the backend server's clock, ms. */
  std::int64_t LeaseEndMs{0};
  /** Without a response by then, the outcome is unknown. */
  time_point ResponseDeadline;
  run_id Run;
  std::string Spec;
  /** Checkpoint to resume from; empty for none. */
  std::string Checkpoint;
  /** Empty if the queue needs no tickets. */
  std::string Ticket;
};

/** @brief Request to stop a run. */
struct stop_order {
  server_target Server;
  std::uint64_t Epoch{0};
  time_point ResponseDeadline;
  run_id Run;
};

/** @brief Request to limit the CPU time of a run. */
struct pace_order {
  server_target Server;
  std::uint64_t Epoch{0};
  run_id Run;
  /** Share of CPU time that the task may use, 0 to 100. */
  std::uint32_t Percent{100};
};

/** @brief Request to the ticket service of a queue. */
struct ticket_request {
  /** Identifies the step by its task with index 0. */
  task_id Step;
  /** Ids of the candidate backend servers. */
  std::vector<std::string> Servers;
  time_point ResponseDeadline;
};

/** @brief Permission to run tasks of a step on a backend server. */
struct placement_ticket {
  std::string Server;
  std::string Ticket;
};

struct ticket_result {
  call_outcome Outcome{call_outcome::Unknown};
  std::vector<placement_ticket> Granted;
};

/** @brief Registration of a backend server, written by itself. */
struct registration {
  std::string Id;
  std::string Address;
  std::string Pool;
  std::string DataCentre;
  bool Draining{false};
  /** Minimum time until it leaves, ms; valid only while draining. */
  std::int64_t RemainingMs{0};
  resources Capacity;
  std::vector<std::string> Labels;
  /** Start of the incarnation, ms since the Unix epoch; 0 if unknown. */
  std::int64_t StartedAtMs{0};
  /** Increases with each write by one incarnation. */
  std::uint64_t Sequence{0};

  [[nodiscard]] bool operator==(const registration &) const = default;
};

/** @brief A decoded record of the operator; `monostate` for an unknown kind. */
using operator_record = std::variant<std::monostate, fleet_rules, wave>;

enum class vm_state : std::uint8_t {
  Up,
  Moving,
  Maintenance,
  Down,
  /** The list names it, but not in a readable way: it gets no orders, and its
   * runs are not taken for ended. */
  Unknown,
};

inline constexpr enum_names<vm_state, 5> VmStateNames{{
    {vm_state::Up, "up"},
    {vm_state::Moving, "moving"},
    {vm_state::Maintenance, "maintenance"},
    {vm_state::Down, "down"},
    {vm_state::Unknown, "unknown"},
}};

/** @brief A VM as listed by the platform. */
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
  /** Some rows could not be read, so the list lacks VMs. */
  bool Incomplete{false};
  std::vector<vm> Vms;
};

/** @brief Response of the platform to a move or maintenance order. */
struct vm_result {
  call_outcome Outcome{call_outcome::Unknown};
  /** Refused because the VM is not up or is leaving. */
  bool Busy{false};
};

/** @brief Order to move a VM to another pool or to start its maintenance. */
struct vm_order {
  std::string Vm;
  std::uint64_t Epoch{0};
  /** Pool to move to; empty for maintenance. */
  std::string Pool;
  /** Wave that the maintenance belongs to. */
  std::uint64_t Wave{0};
  /** It must not be sent at or after this time, when a successor may have been
   * elected. */
  time_point SendBy{time_point::max()};
};

/**
 * @brief Calls to the platform. Each callback is called exactly once, from the
 * event loop and never from within the call itself.
 */
struct ports {
  template <typename Type> using callback = std::function<void(Type)>;

  /** Appends to `Jobs` as the leader of the epoch. Idempotent: retries with the
   * same sequence number take effect once. Without a response by
   * `ResponseDeadline`, the outcome is unknown. */
  std::function<void(std::uint64_t Epoch, std::uint64_t Sequence,
                     const std::vector<keyed_record> &,
                     time_point ResponseDeadline, callback<append_result>)>
      Append;
  /** Makes appends to `Jobs` under lower epochs fail. */
  std::function<void(std::uint64_t Epoch, callback<append_result>)> Fence;
  /** Reads the latest record of each key. */
  std::function<void(topic, callback<latest_result>)> ReadLatest;
  /** Reads records from an offset; waits up to `WaitMs` for a new record. */
  std::function<void(topic, std::uint64_t From, std::uint32_t WaitMs,
                     callback<read_result>)>
      Read;
  /** Appends to `Leader` only if the log ends at the offset. */
  std::function<void(std::uint64_t At, const std::string &Record,
                     callback<claim_result>)>
      Claim;
  /** Publishes that a maintenance wave is running or completed. */
  std::function<void(std::uint64_t Wave, bool Completed,
                     callback<append_result>)>
      PublishWave;

  /** Decodes a record of `Operator`; `monostate` if its kind is unknown. */
  std::function<operator_record(const keyed_record &)> DecodeOperator;
  /** Decodes a record of `Registrations`; `nullopt` if it describes no usable
   * backend server. */
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
  /** Moves a VM, or starts its maintenance if the pool is empty. */
  std::function<void(const vm_order &, callback<vm_result>)> OrderVm;
};

} // namespace galenalink::job

#endif
