#include "galenalink/peer/frame.hpp"
#include <boost/test/unit_test.hpp>
#include <random>
#include <vector>

using namespace galenalink::peer;

namespace {

struct outcome {
  std::vector<std::string> Payloads;
  bool Failed{false};

  [[nodiscard]] bool operator==(const outcome &) const = default;
};

/** @brief Looks at the whole stream at once. */
outcome parseWhole(const std::string &Stream, const std::size_t Limit) {
  outcome Outcome;
  std::size_t At = 0;
  while (Stream.size() - At >= 4) {
    std::size_t Size = 0;
    for (std::size_t Each = 0; Each < 4; ++Each)
      Size = Size * 256 + static_cast<unsigned char>(Stream[At + Each]);
    if (Size > Limit) {
      Outcome.Failed = true;
      break;
    }
    if (Stream.size() - At - 4 < Size)
      break;
    Outcome.Payloads.push_back(Stream.substr(At + 4, Size));
    At += 4 + Size;
  }
  return Outcome;
}

outcome parseInPieces(const std::string &Stream, const std::size_t Limit,
                      std::mt19937 &Random) {
  outcome Outcome;
  frame_parser Parser{Limit};
  std::size_t At = 0;
  while (At < Stream.size()) {
    const std::size_t Piece =
        std::min<std::size_t>(Stream.size() - At, 1 + Random() % 20);
    if (!Parser.feed(std::string_view{Stream}.substr(At, Piece),
                     [&](const std::string_view Payload) {
                       Outcome.Payloads.emplace_back(Payload);
                       return true;
                     }))
      Outcome.Failed = true;
    BOOST_REQUIRE(Parser.held() <= Limit + FrameHeaderBytes);
    At += Piece;
  }
  return Outcome;
}

} // namespace

BOOST_AUTO_TEST_SUITE(frame)

// Pieces of any size must give the same frames as the whole stream, and bytes
// of any value must neither crash the parser nor make it hold more than one
// frame.
BOOST_AUTO_TEST_CASE(pieces_give_the_same_frames_as_the_whole) {
  constexpr std::size_t Limit = 50;
  std::size_t Failures = 0;
  for (unsigned Seed = 1; Seed <= 2000; ++Seed) {
    std::mt19937 Random{Seed};
    std::string Stream;
    for (std::size_t Each = Random() % 12; Each > 0; --Each) {
      const std::size_t Kind = Random() % 20;
      std::string Payload(Random() % (Limit + 1), '\0');
      for (char &Byte : Payload)
        Byte = static_cast<char>(Random());
      if (Kind == 0)
        Stream += Payload;
      else if (Kind == 1)
        Stream += frameHeader(Limit + 1 + Random() % 1000);
      else
        Stream += frameHeader(Payload.size()) + Payload;
    }
    const outcome Whole = parseWhole(Stream, Limit);
    Failures += Whole.Failed ? 1 : 0;
    BOOST_TEST_CONTEXT("seed " << Seed) {
      BOOST_TEST((parseInPieces(Stream, Limit, Random) == Whole));
    }
  }
  BOOST_TEST(Failures > 100U);
}

BOOST_AUTO_TEST_CASE(receiver_may_stop_the_parser) {
  frame_parser Parser{10};
  int Calls = 0;
  const std::string Two = frameHeader(1) + "a" + frameHeader(1) + "b";
  const auto Stop = [&](std::string_view) { return ++Calls < 1; };
  BOOST_TEST(!Parser.feed(Two, Stop));
  BOOST_TEST(!Parser.feed(Two, Stop));
  BOOST_TEST(Calls == 1);
  BOOST_TEST(Parser.held() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
