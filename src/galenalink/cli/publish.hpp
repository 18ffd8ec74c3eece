#ifndef GALENALINK_CLI_PUBLISH_HPP
#define GALENALINK_CLI_PUBLISH_HPP

#include "galenalink/cli/views.hpp"
#include <filesystem>
#include <map>
#include <string>

namespace galenalink::cli {

/** @brief Documents by their path below the published directory. */
using documents = std::map<std::string, std::string>;

/** @brief Reads all `*.json` below a directory; `BadInput` if none can be
 * read. */
[[nodiscard]] result<documents> collect(const std::filesystem::path &Directory);

/** @brief Checks documents alone and against each other, and prints every
 * error with its position. */
[[nodiscard]] bool checkDocuments(const documents &Documents);

/** @brief Documents that differ from those in force. */
[[nodiscard]] documents changed(const documents &Wanted,
                                const documents &InForce, bool Prune);

/**
 * @brief Puts the documents of a directory into force.
 * @param Prune Also remove documents that the directory does not have.
 */
[[nodiscard]] result<exit_code> publish(connection &Node,
                                        const std::filesystem::path &Directory,
                                        const std::string &Author, bool Prune,
                                        output Output);

} // namespace galenalink::cli

#endif
