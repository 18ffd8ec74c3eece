#ifndef GALENALINK_JOB_CALLER_REPLY_HPP
#define GALENALINK_JOB_CALLER_REPLY_HPP

#include "galenalink/core/enum_names.hpp"
#include "galenalink/job/types.hpp"
#include <cstdint>
#include <functional>
#include <string>

namespace galenalink::job {

/** @brief Reply to a caller. */
struct caller_reply {
  enum class verdict : std::uint8_t {
    /** The job was accepted and stored, or cancelled, or the query was
     * answered. */
    Ok,
    /** The job was not accepted and will not run. */
    Refused,
    NoQueue,
    NoJob,
    /** The request may or may not have taken effect. */
    Unknown,
    /** Between nodes only: the addressed node is not the leader. */
    NotLeading,
    /** Between nodes only: the job is not known yet, so that its submission
     * must be sent with its body. */
    BodyNeeded,
    /** The request has no key of a customer and the queue requires one. */
    Unauthorized,
    /** The job belongs to another customer. */
    Forbidden,
  };
  verdict Verdict{verdict::Unknown};
  job_state State{job_state::Queued};
  /** For a query of a queue: number of its jobs without a started task. */
  std::uint64_t Pending{0};
  /** With a refusal: delay after which the job would fit, ms. */
  std::uint32_t RetryAfterMs{0};
  /** Reason, for the log. */
  std::string Reason;
};

inline constexpr enum_names<caller_reply::verdict, 9> VerdictNames{{
    {caller_reply::verdict::Ok, "ok"},
    {caller_reply::verdict::Refused, "refused"},
    {caller_reply::verdict::NoQueue, "no-queue"},
    {caller_reply::verdict::NoJob, "no-job"},
    {caller_reply::verdict::Unknown, "unknown"},
    {caller_reply::verdict::NotLeading, "not-leading"},
    {caller_reply::verdict::BodyNeeded, "body-needed"},
    {caller_reply::verdict::Unauthorized, "unauthorized"},
    {caller_reply::verdict::Forbidden, "forbidden"},
}};

using reply_function = std::function<void(const caller_reply &)>;

/** @brief A job that a caller submits. */
struct submission {
  std::string Queue;
  /** A version of the rules that has the queue; 0 for unknown. A leader whose
   * rules are older refuses a queue that they lack. */
  std::uint64_t KnownSince{0};
  std::string Id;
  job_spec Spec;
  /** Customer that submits it; empty for none. */
  std::string Customer{};
};

/** @brief A caller's query or cancellation of a job. */
struct job_request {
  std::string Id;
  /** Queue that the request's path maps to; empty for unknown. */
  std::string Queue{};
  /** Customer that sends it; empty for none. */
  std::string Customer{};
};

} // namespace galenalink::job

#endif
