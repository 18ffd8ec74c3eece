#ifndef GALENALINK_ACCOUNT_RENDER_HPP
#define GALENALINK_ACCOUNT_RENDER_HPP

#include "galenalink/account/totals.hpp"
#include <span>
#include <string>

namespace galenalink::account {

/**
 * @brief Formats rows as aligned columns for a terminal. Times are VM-hours,
 * rounded down; use JSON or CSV for exact figures.
 */
[[nodiscard]] std::string toTable(std::span<const row> Rows);

/** @brief Formats rows as a JSON array of objects. Times are VM-ms. */
[[nodiscard]] std::string toJson(std::span<const row> Rows);

/**
 * @brief Formats rows as CSV (RFC 4180) with a header line. Times are VM-ms.
 */
[[nodiscard]] std::string toCsv(std::span<const row> Rows);

} // namespace galenalink::account

#endif
