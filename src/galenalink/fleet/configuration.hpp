#ifndef GALENALINK_FLEET_CONFIGURATION_HPP
#define GALENALINK_FLEET_CONFIGURATION_HPP

#include "galenalink/config/diagnostic.hpp"
#include "galenalink/config/service_file.hpp"
#include "galenalink/core/fwd.hpp"
#include "galenalink/fleet/applied.hpp"
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace galenalink::fleet {

/**
 * @brief Parses and checks a document; has the signature of
 * config::parseServiceFile. Must give the same result on all nodes.
 */
using parse_hook = std::function<std::vector<config::diagnostic>(
    std::string_view Name, std::string_view Text, config::service_file &Out)>;

/** @brief A published document, or the trace of a removed one. */
struct document {
  /** Empty once the document was removed. */
  std::string Text;
  /** Offset of the change that wrote it. */
  log_offset Version{0};
  /** Append id of that change. */
  std::uint64_t Change{0};
  std::string Author;
  /** Parsed text; null once the document was removed. */
  std::shared_ptr<const config::service_file> File;
};

/** @brief Where a service runs; stays known by name after its removal. */
struct service_entry {
  /** Fixed for the life of the name. */
  std::string Pool;
  /** Document that defines the service; empty once it was removed. */
  std::string Document;
};

/** @brief Result of one configuration change, for its author. */
struct change_result {
  std::uint64_t Id{0};
  applied Result;
};

/** @brief The documents in force and what is derived from them. */
struct configuration {
  static constexpr std::size_t MaxDocuments = 4096;
  static constexpr std::size_t MaxServices = 8192;
  /** Removed documents whose version is still known by name. */
  static constexpr std::size_t MaxRemoved = 1024;
  /** Changes whose result is kept in full, about four hours of them. */
  static constexpr std::size_t MaxResults = 4096;

  /** By name, with removed ones. */
  std::map<std::string, document, std::less<>> Documents;
  /** Offset of the last accepted change. */
  log_offset Version{0};
  /** Newest removal that is no longer in Documents. */
  log_offset ForgottenRemoval{0};
  /** Names of removed documents that are in Documents, oldest first. */
  std::deque<std::string> Removed;
  /** By "member/service". */
  std::map<std::string, service_entry, std::less<>> Services;
  /** VMs that the first customer may lend to the second. */
  std::map<std::pair<std::string, std::string>, std::uint32_t> Lending;
  /** Newest results, oldest first. */
  std::deque<change_result> Results;

  /** @brief Adds or takes back what one document lends. */
  void countLending(const config::service_file &File, bool Add);
  void keepResult(change_result Result);
  /** @brief Forgets the oldest removals beyond the bound. */
  void boundRemoved();
};

/** @brief Key of a service in configuration::Services. */
[[nodiscard]] inline std::string serviceKey(const std::string &Customer,
                                            const std::string &Service) {
  return Customer + '/' + Service;
}

} // namespace galenalink::fleet

#endif
