#ifndef GALENALINK_TEST_FLEET_MODEL_DETAIL_HPP
#define GALENALINK_TEST_FLEET_MODEL_DETAIL_HPP

#include "galenalink/fleet/model.hpp"

namespace galenalink::fleet::test::detail {

// One tick is a second. The lease is a little shorter than two ticks, so that
// a barrier is reached in the first tick without authority: no slack hides a
// barrier that is too early.
inline constexpr lease_settings Settings{
    std::chrono::milliseconds{1998}, std::chrono::milliseconds{1997},
    std::chrono::seconds{1}, duration::zero(), 2000};

inline constexpr const char *Vm = "v";

enum class saw : std::uint8_t { Fold, Read, Answer, Acknowledgement };

[[nodiscard]] time_point timeOf(const model &Model);

[[nodiscard]] const state &stateOf(const model &Model, const model_node &Node);

[[nodiscard]] node_view viewOf(const model &Model, model_node &Node);

/** @brief Gives this model its own copy of a node, to be changed. */
model_node &own(model &Model, std::size_t Index);

/** @brief Notes what a node saw; false if it knew that already. */
bool note(const model &Model, model_node &Node, saw Kind, std::size_t Peer,
          log_offset Offset);

/** @brief Reads the log and folds at most the given number of records. */
bool poll(const model &Model, model_node &Node, log_offset Records);

/** @brief One node asks another, which answers at once. */
bool ask(const model &Model, model_node &From, std::size_t FromIndex,
         model_node &To, std::size_t ToIndex);

/** @brief The record becomes the newest of the log. */
void land(model &Model, wire::record Record);

} // namespace galenalink::fleet::test::detail

#endif
