#ifndef GALENALINK_JOB_JOB_LIMITS_HPP
#define GALENALINK_JOB_JOB_LIMITS_HPP

#include "galenalink/job/types.hpp"

namespace galenalink::job {

/** Limits of a submitted job. A job beyond them is rejected before it is
 * stored, since every later leader reads what is stored. */
namespace limits {

/** Bytes of the specification. */
inline constexpr std::size_t MaxSpecBytes = 4000;
/** Bytes of a label, a rack or an image. */
inline constexpr std::size_t MaxNameBytes = 256;
inline constexpr std::size_t MaxSteps = 1000;
/** Tasks of all steps of one occurrence. */
inline constexpr std::uint64_t MaxTasks = 20000;
/** Tasks of one job in occurrences that are open because backend servers report
 * runs of them. A predecessor of an earlier version may have opened more than
 * `MaxTasks` since its latest record. */
inline constexpr std::uint64_t MaxReportedTasks = 3 * MaxTasks;
/** References to earlier steps, of all steps together. */
inline constexpr std::size_t MaxDependencies = 20000;
/** Thousandths of a core, MB or GPUs of one task or one backend server. */
inline constexpr std::int64_t MaxResource = 1'000'000'000;
inline constexpr std::uint32_t MaxOccurrences = 10'000'000;
/** Latest wall-clock time in messages: the year 5138, ms since the Unix epoch.
 */
inline constexpr wall_ms MaxWallMs = 100'000'000'000'000;
/** Longest time that a caller may wait for a response, ms. */
inline constexpr std::int64_t MaxCallerTimeoutMs = 86'400'000;
/** Largest factor of a queue's latency objective. */
inline constexpr double MaxStretch = 1e6;
/** Largest weight of a customer. */
inline constexpr double MaxCustomerWeight = 1e9;
/** Bytes of one record with its key. The store accepts 262,144 bytes; an append
 * with a larger record is refused however often it is repeated, and everything
 * that is stored later waits behind it. */
inline constexpr std::size_t MaxRecordBytes = 260'000;
/** Part of a job's record that does not come from its specification: names of
 * queue and pools, the rule. */
inline constexpr std::size_t RecordReserveBytes = 4096;
/** Characters of a job's id. */
inline constexpr std::size_t MaxJobIdBytes = 64;

} // namespace limits

/** @brief Whether an id consists of letters, digits, `-` and `_`, so that it
 * can be part of a key, of a path and of a task's name. */
[[nodiscard]] bool isValidJobId(std::string_view Id) noexcept;

/** @return Tasks of all steps of one occurrence. */
[[nodiscard]] std::uint64_t taskCount(const job_spec &Spec) noexcept;

/**
 * @brief Checks a submitted job against the limits, and that each step has
 * tasks and depends on earlier steps only.
 * @return Why the job is rejected; empty if it is valid.
 */
[[nodiscard]] std::string checkSpec(const job_spec &Spec);

} // namespace galenalink::job

#endif
