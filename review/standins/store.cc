#include "store.hh"
#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/transform_width.hpp>
#include <nlohmann/json.hpp>

namespace review {

namespace {

using nlohmann::json;

constexpr std::size_t LengthBytes = 4;
constexpr std::size_t PageSize = 500;
/** A page ends with the record that reaches this size. */
constexpr std::size_t PageBytes = 1000000;
constexpr std::size_t KeptResponses = 5;
/** Limits of the platform: `recordBytes` and `callBytes`. */
constexpr std::size_t MaxRecordBytes = 262144;
constexpr std::size_t MaxCallBytes = 2097152;

void appendNumber(std::string &Out, const std::uint64_t Value,
                  const unsigned Bytes) {
  for (unsigned I = Bytes; I-- > 0;)
    Out.push_back(static_cast<char>(Value >> (8 * I)));
}

std::vector<std::string> splitRecords(std::string_view Body) {
  std::vector<std::string> Records;
  while (Body.size() >= LengthBytes) {
    std::size_t Size = 0;
    for (std::size_t I = 0; I < LengthBytes; ++I)
      Size = Size << 8U | static_cast<std::uint8_t>(Body[I]);
    Records.emplace_back(Body.substr(LengthBytes, Size));
    Body.remove_prefix(std::min(LengthBytes + Size, Body.size()));
  }
  return Records;
}

std::string encodeBase64(const std::string &Bytes) {
  namespace iterators = boost::archive::iterators;
  using encoder = iterators::base64_from_binary<
      iterators::transform_width<std::string::const_iterator, 6, 8>>;
  std::string Text{encoder{Bytes.begin()}, encoder{Bytes.end()}};
  Text.append((3 - Bytes.size() % 3) % 3, '=');
  return Text;
}

std::map<std::string, std::pair<std::uint64_t, std::string>>
latestRecords(const std::vector<std::string> &Records) {
  std::map<std::string, std::pair<std::uint64_t, std::string>> Latest;
  for (std::size_t I = 0; I < Records.size(); ++I) {
    const auto Size = static_cast<std::uint8_t>(Records[I].front());
    const std::string Key = Records[I].substr(1, Size);
    const std::string Value = Records[I].substr(1 + Size);
    if (Value.empty())
      Latest.erase(Key);
    else
      Latest[Key] = {I, Value};
  }
  return Latest;
}

std::uint64_t queryNumber(const http::exchange &Exchange, const char *Name) {
  const auto Text = Exchange.query(Name);
  return Text ? std::stoull(*Text) : 0;
}

} // namespace

store::store(http::loop &Loop)
    : Loop{Loop}, Server{Loop, {}, [this](http::exchange Exchange) {
                           handleRequest(std::move(Exchange));
                         }} {
  static_cast<void>(Server.listen("127.0.0.1", 0));
  Timer =
      Loop.every(std::chrono::milliseconds{5}, [this] { respondToReads(); });
}

http::address store::address() const { return {"127.0.0.1", Server.port()}; }

void store::put(const std::string &Topic, const std::string &Key,
                const std::optional<std::string> &Value) {
  std::string Record{static_cast<char>(Key.size())};
  Record += Key;
  Record += Value.value_or("");
  Topics[Topic].Records.push_back(std::move(Record));
}

std::optional<std::string> store::latestValue(const std::string &Topic,
                                              const std::string &Key) const {
  const auto Found = Topics.find(Topic);
  if (Found == Topics.end())
    return std::nullopt;
  const auto Latest = latestRecords(Found->second.Records);
  const auto Each = Latest.find(Key);
  return Each == Latest.end() ? std::nullopt
                              : std::optional{Each->second.second};
}

void store::reply(http::exchange &Exchange, const int Status,
                  const std::string &Body) {
  Exchange.reply(Status, {{"Content-Type", "application/json"}}, Body);
}

void store::handleRequest(http::exchange Exchange) {
  if (ActiveFault == store_fault::Unresponsive) {
    UnansweredExchanges.push_back(std::move(Exchange));
    return;
  }
  if (Exchange.path() == "/log-append")
    append(Exchange);
  else if (failRead(Exchange))
    return;
  else if (Exchange.path() == "/log-read")
    read(std::move(Exchange));
  else if (Exchange.path() == "/log-newest")
    replyLatestPage(Exchange);
  else
    reply(Exchange, 404, "{}");
}

void store::failReads(const std::string &Topic, const read_fault Fault,
                      const duration Duration) {
  TopicFaults[Topic] = {Fault, boot_clock::now() + Duration};
}

bool store::failRead(http::exchange &Exchange) {
  const auto Found = TopicFaults.find(Exchange.query("topic").value_or(""));
  if (Found == TopicFaults.end() || boot_clock::now() >= Found->second.Until)
    return false;
  switch (Found->second.Fault) {
  case read_fault::Reset:
    Exchange.abort();
    break;
  case read_fault::Rejected:
    reply(Exchange, 503, "{}");
    break;
  case read_fault::NoResponse:
    UnansweredExchanges.push_back(std::move(Exchange));
    break;
  }
  return true;
}

std::optional<std::string>
store::checkProducer(http::exchange &Exchange, topic &Topic, const bool Empty) {
  const auto Name = Exchange.query("producer");
  if (!Name)
    return std::nullopt;
  producer &Producer = Topic.Producers[*Name];
  const std::uint64_t Epoch = queryNumber(Exchange, "epoch");
  const std::uint64_t Sequence = queryNumber(Exchange, "seq");
  if (Epoch < Producer.Epoch)
    return R"({"reason":"fenced"})";
  if (Epoch > Producer.Epoch)
    Producer = {Epoch, Sequence, {}};
  if (!Empty && Sequence != Producer.NextSequence)
    return R"({"reason":"seq"})";
  return std::nullopt;
}

void store::append(http::exchange &Exchange) {
  const std::string Name = Exchange.query("topic").value_or("");
  topic &Topic = Topics[Name];
  const auto Records = splitRecords(Exchange.body());
  std::size_t Total = 0;
  std::size_t Largest = 0;
  for (const auto &Each : Records) {
    Total += Each.size();
    Largest = std::max(Largest, Each.size());
  }
  if (Largest > MaxRecordBytes || Total > MaxCallBytes) {
    ++Oversized;
    LargestRefused = std::max(LargestRefused, Largest);
    reply(Exchange, 400, "{}");
    return;
  }
  const auto At = Exchange.query("at");
  const std::size_t End = Topic.Records.size();
  if (At && std::stoull(*At) != End) {
    reply(Exchange, 412, json{{"end", End}}.dump());
    return;
  }
  const auto ProducerName = Exchange.query("producer");
  if (ProducerName) {
    producer &Producer = Topic.Producers[*ProducerName];
    for (const auto &[Sequence, ResponseBody] : Producer.Responses) {
      if (Sequence == queryNumber(Exchange, "seq") &&
          Producer.Epoch == queryNumber(Exchange, "epoch") &&
          !Records.empty()) {
        reply(Exchange, 200, ResponseBody);
        return;
      }
    }
  }
  if (const auto Refusal = checkProducer(Exchange, Topic, Records.empty())) {
    reply(Exchange, 409, *Refusal);
    return;
  }
  Topic.Records.insert(Topic.Records.end(), Records.begin(), Records.end());
  const std::string ResponseBody =
      json{{"offset", End}, {"end", Topic.Records.size()}}.dump();
  if (ProducerName && !Records.empty()) {
    producer &Producer = Topic.Producers[*ProducerName];
    Producer.Responses.emplace_back(Producer.NextSequence++, ResponseBody);
    if (Producer.Responses.size() > KeptResponses)
      Producer.Responses.pop_front();
  }
  if (ActiveFault == store_fault::DropsAppendResponses)
    Exchange.abort();
  else
    reply(Exchange, 200, ResponseBody);
}

void store::read(http::exchange Exchange) {
  pending_read Read{std::move(Exchange), "", 0, {}};
  Read.Topic = Read.Exchange.query("topic").value_or("");
  Read.From = queryNumber(Read.Exchange, "from");
  Read.RespondBy =
      boot_clock::now() +
      std::chrono::milliseconds{queryNumber(Read.Exchange, "waitMs")};
  PendingReads.push_back(std::move(Read));
  respondToReads();
}

void store::respondToRead(pending_read &Read) {
  const auto &Records = Topics[Read.Topic].Records;
  std::string Body;
  appendNumber(Body, Records.size(), 8);
  appendNumber(Body, 0, 8);
  for (std::size_t I = Read.From; I < Records.size(); ++I) {
    appendNumber(Body, Records[I].size(), LengthBytes);
    Body += Records[I];
  }
  Read.Exchange.reply(200, {}, Body);
}

void store::respondToReads() {
  if (ActiveFault == store_fault::Unresponsive)
    return;
  const time_point Now = boot_clock::now();
  std::erase_if(PendingReads, [&](pending_read &Each) {
    if (failRead(Each.Exchange))
      return true;
    const bool IsReady =
        Topics[Each.Topic].Records.size() > Each.From || Now >= Each.RespondBy;
    if (IsReady)
      respondToRead(Each);
    return IsReady;
  });
}

void store::replyLatestPage(http::exchange &Exchange) {
  const auto &Records = Topics[Exchange.query("topic").value_or("")].Records;
  // The page starts after the key that the parameter `dependsOn` names.
  const std::string AfterKey = Exchange.query("dependsOn").value_or("");
  json Items = json::array();
  bool HasMore = false;
  std::size_t Bytes = 0;
  for (const auto &[Key, Each] : latestRecords(Records)) {
    if (!AfterKey.empty() && Key <= AfterKey)
      continue;
    HasMore = Items.size() >= PageSize || Bytes >= PageBytes;
    if (HasMore)
      break;
    Bytes += Each.second.size();
    Items.push_back({{"key", Key},
                     {"value", encodeBase64(Each.second)},
                     {"offset", Each.first}});
  }
  reply(Exchange, 200,
        json{{"items", Items}, {"hasMore", HasMore}, {"end", Records.size()}}
            .dump(-1, ' ', false, json::error_handler_t::replace));
}

} // namespace review
