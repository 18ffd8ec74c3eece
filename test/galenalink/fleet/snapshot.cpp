#include "galenalink/core/hash.hpp"
#include "galenalink/fleet/apply.hpp"
#include "galenalink/fleet/assembly.hpp"
#include "galenalink/fleet/documents.hpp"
#include <boost/test/unit_test.hpp>
#include <random>

using namespace galenalink;
using namespace galenalink::fleet;
using namespace galenalink::fleet::test;

namespace {

/** @brief A state with a document that does not compress into one chunk. */
state bigState(const log_offset Records) {
  state State{parseWords};
  wire::record Record;
  auto &Document = *Record.mutable_config()->add_documents();
  Document.set_name("d");
  Document.set_text("m" + std::string(3 * ChunkBytes, ' '));
  Record.set_id(1);
  apply(State, 1, Record);
  Record.mutable_work();
  for (log_offset Offset = 2; Offset <= Records; ++Offset) {
    Record.set_id(Offset);
    apply(State, Offset, Record);
  }
  return State;
}

std::vector<wire::snapshot_chunk> chunksOf(const log_offset Through) {
  return makeChunks(serialize(bigState(Through)), Through, Through);
}

void addAll(assembly &Assembly, const std::vector<wire::snapshot_chunk> &All) {
  for (const auto &Chunk : All)
    Assembly.add(Chunk);
}

} // namespace

BOOST_AUTO_TEST_SUITE(snapshot)

BOOST_AUTO_TEST_CASE(chunks_may_arrive_in_any_order_and_twice) {
  auto Chunks = chunksOf(5);
  BOOST_TEST(Chunks.size() == 4U);
  Chunks.push_back(Chunks[1]);
  std::mt19937 Random{1};
  for (int Round = 0; Round < 20; ++Round) {
    std::shuffle(Chunks.begin(), Chunks.end(), Random);
    assembly Assembly;
    addAll(Assembly, Chunks);
    const auto Found = Assembly.take(6, parseWords);
    BOOST_REQUIRE(Found.has_value());
    BOOST_TEST((serialize(Found->State) == serialize(bigState(5))));
  }
}

// A writer that died in the middle must not hide the snapshot before.
BOOST_AUTO_TEST_CASE(torn_snapshot_is_skipped) {
  const auto Torn = chunksOf(9);
  for (std::size_t Missing = 0; Missing < Torn.size(); ++Missing) {
    assembly Assembly;
    addAll(Assembly, chunksOf(5));
    for (std::size_t Index = 0; Index < Torn.size(); ++Index) {
      if (Index != Missing)
        Assembly.add(Torn[Index]);
    }
    const auto Found = Assembly.take(1, parseWords);
    BOOST_REQUIRE(Found.has_value());
    BOOST_TEST(Found->State.Offset == 5U);
    BOOST_TEST(Assembly.skipped().Torn == 1U);
  }
}

BOOST_AUTO_TEST_CASE(corrupt_snapshot_is_skipped) {
  auto Chunks = chunksOf(9);
  std::string Data = Chunks[2].data();
  Data[77] = static_cast<char>(Data[77] ^ 1);
  Chunks[2].set_data(Data);
  // Damage behind a right checksum, and an offset that the state denies.
  auto Garbage = makeChunks("not a state", 70, 70);
  auto Lying = makeChunks(serialize(bigState(6)), 60, 60);
  assembly Assembly;
  addAll(Assembly, chunksOf(5));
  addAll(Assembly, Chunks);
  addAll(Assembly, Garbage);
  addAll(Assembly, Lying);
  const auto Found = Assembly.take(1, parseWords);
  BOOST_REQUIRE(Found.has_value());
  BOOST_TEST(Found->State.Offset == 5U);
  BOOST_TEST(Assembly.skipped().Corrupt == 3U);
}

// Folding over expired records would make this node differ from the others.
BOOST_AUTO_TEST_CASE(stale_snapshot_is_skipped) {
  assembly Assembly;
  addAll(Assembly, chunksOf(5));
  BOOST_TEST(Assembly.take(6, parseWords).has_value());
  BOOST_TEST(!Assembly.take(7, parseWords).has_value());
  BOOST_TEST(Assembly.skipped().Stale == 1U);
  BOOST_TEST(mayResume(5, 6));
  BOOST_TEST(!mayResume(5, 7));
}

// Many torn snapshots must neither use up memory nor push out a whole one.
BOOST_AUTO_TEST_CASE(whole_snapshot_outlives_torn_ones) {
  assembly Assembly;
  addAll(Assembly, chunksOf(5));
  const auto Other = chunksOf(9);
  for (std::uint64_t Id = 100; Id < 200; ++Id) {
    auto Chunk = Other[0];
    Chunk.set_id(Id);
    Assembly.add(Chunk);
  }
  const auto Found = Assembly.take(1, parseWords);
  BOOST_REQUIRE(Found.has_value());
  BOOST_TEST(Found->State.Offset == 5U);
}

// The duty holder needs to know which snapshot in the log is complete.
BOOST_AUTO_TEST_CASE(fold_follows_the_chunks_in_the_log) {
  auto State = bigState(9);
  const snapshot_schedule Schedule{6, 1'000'000};
  BOOST_TEST(Schedule.due(State));
  wire::record Record;
  const auto Chunks = chunksOf(7);
  for (const auto &Chunk : Chunks) {
    BOOST_TEST(State.Snapshot.Through == 0U);
    Record.set_id(State.Offset + 1);
    *Record.mutable_snapshot() = Chunk;
    BOOST_TEST(apply(State, State.Offset + 1, Record).accepted());
  }
  BOOST_TEST(State.Snapshot.Through == 7U);
  BOOST_TEST(State.Snapshot.WrittenAt == State.Offset);
  BOOST_TEST(Schedule.due(State));
  BOOST_TEST((!snapshot_schedule{7, 1'000'000}.due(State)));
}

BOOST_AUTO_TEST_SUITE_END()
