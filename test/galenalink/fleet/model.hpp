#ifndef GALENALINK_TEST_FLEET_MODEL_HPP
#define GALENALINK_TEST_FLEET_MODEL_HPP

#include "galenalink/fleet/rights.hpp"
#include "records.pb.h"
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace galenalink::fleet::test {

/** @brief A log, as a tree shared by all runs that begin alike. */
struct prefix {
  std::shared_ptr<const state> State;
  wire::record Record;
  /** Seats as worked out by a node that started at the given offset. */
  std::map<log_offset, shard_map> Seats;
  std::map<std::uint64_t, std::unique_ptr<prefix>> Next;
};

/** @brief How often each step may happen in one run. */
struct budget {
  int Ticks{0};
  int Release{0};
  int Cancel{0};
  int Drained{0};
  int Take{0};
  int Remove{0};
  int Add{0};
  int Evict{0};
  int Renew{0};
  int Leave{0};
  int Kill{0};
  int Confirm{0};
  int Start{0};
  int Work{0};
  int Permit{0};
  /** Appends that land later than they were decided. */
  int Delay{0};
  /** Appends whose answer is lost, so that they are sent again. */
  int Resend{0};
};

/** @brief Rules that a run may leave out, to show that they are needed. */
struct faults {
  bool SkipHomeBarrier{false};
  bool SkipAddBarrier{false};
  bool KeepEpoch{false};
  bool AnswerAfterLeave{false};
};

/** @brief One node as it would run, with the real rules. */
struct model_node {
  node_id Id{};
  bool Alive{true};
  log_offset Start{0};
  log_offset Folded{0};
  authority Authority;
  barrier Barrier;
  /** What the node saw, in an order that equal knowledge shares. */
  std::vector<std::uint32_t> Events;
};

/** @brief The step that led to a model, and those before it. */
struct step {
  std::string Text;
  std::shared_ptr<const step> Before;
};

/** @brief A fleet with its log at one moment; copied for each branch. */
struct model {
  std::vector<const prefix *> Log;
  /** Shared by the runs of one tick until one of them changes it. */
  std::vector<std::shared_ptr<model_node>> Nodes;
  std::vector<wire::record> Delayed;
  budget Left;
  faults Faults;
  int Tick{0};
  /** Pool whose work runs on the VM, -1 if none. */
  int Running{-1};
  std::shared_ptr<const step> Last;
};

/** @brief Fresh model: nodes joined, one VM in the first of three pools. */
[[nodiscard]] model makeModel(int Nodes, const budget &Left,
                              const faults &Faults);

/** @brief All models that one step can lead to. */
[[nodiscard]] std::vector<model> nextModels(const model &Model);

/** @brief The model after the steps with these names, which must be possible.
 */
[[nodiscard]] model follow(model Model, const std::vector<std::string> &Steps);

/** @brief Hash of everything that decides the future of a model. */
[[nodiscard]] std::uint64_t keyOf(const model &Model);

/** @brief Which guarantee the model breaks; empty if none. */
[[nodiscard]] std::string violation(const model &Model);

/** @brief All steps that led to the model, a line each. */
[[nodiscard]] std::string traceOf(const model &Model);

} // namespace galenalink::fleet::test

#endif
