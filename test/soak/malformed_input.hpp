#ifndef GALENALINK_TEST_SOAK_MALFORMED_INPUT_HPP
#define GALENALINK_TEST_SOAK_MALFORMED_INPUT_HPP

#include <string>
#include <vector>

namespace galenalink::soak {

/** @return Registrations of other writers that name no backend server. */
[[nodiscard]] const std::vector<std::string> &malformedRegistrations();

/** @return Bodies of submissions that describe no valid job. */
[[nodiscard]] const std::vector<std::string> &malformedJobBodies();

} // namespace galenalink::soak

#endif
