#ifndef GALENALINK_FLEET_SAVE_DETAIL_HPP
#define GALENALINK_FLEET_SAVE_DETAIL_HPP

#include "galenalink/fleet/state.hpp"
#include "state.pb.h"

namespace galenalink::fleet::detail {

void saveRoster(const roster &From, wire::saved_roster &To);
void saveConfiguration(const configuration &From,
                       wire::saved_configuration &To);
void saveVms(const vm_table &From, wire::saved_state &To);

/** @return false if the saved parts contradict each other. */
[[nodiscard]] bool loadRoster(const wire::saved_roster &From, roster &To);
[[nodiscard]] bool loadConfiguration(const wire::saved_configuration &From,
                                     state &To);
[[nodiscard]] bool loadVms(const wire::saved_state &From, vm_table &To);

} // namespace galenalink::fleet::detail

#endif
