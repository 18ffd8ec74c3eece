#ifndef REVIEW_STORE_HPP
#define REVIEW_STORE_HPP

#include "galenalink/http/address.hpp"
#include "galenalink/http/loop.hpp"
#include "galenalink/http/server.hpp"
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace review {

using galenalink::boot_clock;
using galenalink::duration;
using galenalink::NoDeadline;
using galenalink::time_point;
namespace http = galenalink::http;

/** @brief Injected fault of the store. */
enum class store_fault : std::uint8_t {
  None,
  /** Requests are not carried out and get no response. */
  Unresponsive,
  /** Appends are carried out, but the connection is closed without a response.
   */
  DropsAppendResponses,
};

/** @brief How reads of a topic fail while the store serves the others. */
enum class read_fault : std::uint8_t { Reset, Rejected, NoResponse };

/**
 * @brief Stand-in of the platform's store; each topic has one partition. It is
 * the one of test/soak with the limits of a record (`recordBytes`) and of a
 * call (`callBytes`) added.
 */
class store {
public:
  explicit store(http::loop &Loop);

  [[nodiscard]] http::address address() const;
  /** @brief Appends a record to a keyed topic; no value removes the key. */
  void put(const std::string &Topic, const std::string &Key,
           const std::optional<std::string> &Value);
  /** @brief Appends a record to a topic without keys. */
  void append(const std::string &Topic, const std::string &Record) {
    Topics[Topic].Records.push_back(Record);
  }
  /** @return Latest value of a key. */
  [[nodiscard]] std::optional<std::string>
  latestValue(const std::string &Topic, const std::string &Key) const;
  void setFault(store_fault Fault) { ActiveFault = Fault; }
  /** Appends refused because a record or a call was too large. */
  std::size_t Oversized{0};
  /** Size of the largest record that was refused. */
  std::size_t LargestRefused{0};
  /** @brief Makes reads of one topic fail for the duration. */
  void failReads(const std::string &Topic, read_fault Fault, duration Duration);

private:
  struct producer {
    std::uint64_t Epoch{0};
    std::uint64_t NextSequence{0};
    /** Responses to the latest appends, by sequence number; sent again if an
     * append is repeated. */
    std::deque<std::pair<std::uint64_t, std::string>> Responses;
  };
  struct topic {
    std::vector<std::string> Records;
    std::map<std::string, producer> Producers;
  };
  struct pending_read {
    http::exchange Exchange;
    std::string Topic;
    std::uint64_t From{0};
    time_point RespondBy;
  };

  struct topic_fault {
    read_fault Fault{read_fault::Reset};
    time_point Until{NoDeadline};
  };

  void handleRequest(http::exchange Exchange);
  /** @return Whether the topic's fault has taken the exchange. */
  [[nodiscard]] bool failRead(http::exchange &Exchange);
  void append(http::exchange &Exchange);
  [[nodiscard]] std::optional<std::string>
  checkProducer(http::exchange &Exchange, topic &Topic, bool Empty);
  void read(http::exchange Exchange);
  void replyLatestPage(http::exchange &Exchange);
  void respondToRead(pending_read &Read);
  void respondToReads();
  void reply(http::exchange &Exchange, int Status, const std::string &Body);

  http::loop &Loop;
  http::server Server;
  http::timer Timer;
  std::map<std::string, topic> Topics;
  std::map<std::string, topic_fault> TopicFaults;
  std::vector<pending_read> PendingReads;
  /** Requests that get no response; kept, since destroying an exchange sends
   * status 500. */
  std::vector<http::exchange> UnansweredExchanges;
  store_fault ActiveFault{store_fault::None};
};

} // namespace review

#endif
