#include "galenalink/job_node/listener_limits.hpp"
#include <boost/test/unit_test.hpp>

using namespace galenalink::job_node;

BOOST_AUTO_TEST_SUITE(listener_limits)

// Listeners that accept more connections than the process may open leave it
// without descriptors for the store and the backend servers.
BOOST_AUTO_TEST_CASE(connections_leave_descriptors_for_calls) {
  for (const std::uint32_t Descriptors : {256U, 4100U, 8192U, 65536U}) {
    settings Settings;
    Settings.MaxDescriptors = Descriptors;
    const std::size_t Accepted = callersLimits(Settings).MaxConnections +
                                 peersLimits(Settings).MaxConnections +
                                 readinessLimits(Settings).MaxConnections;
    const std::size_t IdleToServers = Descriptors / 4;
    BOOST_TEST(Accepted + IdleToServers <= Descriptors * 9 / 10);
    BOOST_TEST(readinessLimits(Settings).MaxConnections > 0U);
  }
}

BOOST_AUTO_TEST_CASE(memory_of_the_smallest_machine_suffices) {
  settings Settings;
  Settings.MemoryMb = 160;
  std::size_t Bytes = 0;
  for (const auto &Options : {callersLimits(Settings), peersLimits(Settings),
                              readinessLimits(Settings)}) {
    // One large request may exceed the bound by its size.
    Bytes += Options.MaxBufferedBytes + Options.MaxLargeRequestBytes +
             Options.MaxBodyBytes;
    // A largest request alone is within the bounds.
    BOOST_TEST(Options.MaxBufferedBytes > 4 * Options.MaxHeaderBytes);
  }
  BOOST_TEST(Bytes < std::size_t{160} * 1024 * 1024 * 4 / 10);
}

BOOST_AUTO_TEST_CASE(limits_of_callers_are_those_of_the_platform) {
  const auto Options = callersLimits({});
  BOOST_TEST(Options.MaxHeaderBytes == 16384U);
  BOOST_TEST(Options.MaxBodyBytes == 262144U);
}

BOOST_AUTO_TEST_SUITE_END()
