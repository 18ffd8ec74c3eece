#include "system/judge.hpp"

using namespace galenalink;
using namespace galenalink::system_test;
using std::chrono::seconds;

namespace {

/** @brief Runs that the VM started at or after the time. */
[[nodiscard]] std::size_t runsSince(const json &Report,
                                    const std::int64_t Since) {
  std::size_t Count = 0;
  for (const json &Run : Report["runs"])
    Count += Run["started_ms"] >= Since ? 1 : 0;
  return Count;
}

/** @brief Load with a fault of all backend servers in the middle. */
void spoilAnswers(const json &Fault) {
  cluster Cluster;
  callers Callers{Cluster, {}};
  Callers.start();
  BOOST_TEST(Callers.awaitMore(Enough));
  Cluster.faultAllVms(Fault);
  BOOST_TEST(Callers.awaitMore(2 * Enough));
  judge(Cluster, Callers);
}

} // namespace

BOOST_AUTO_TEST_SUITE(executors)

/** Guards against non-idempotent work that is repeated after a lost answer. */
BOOST_AUTO_TEST_CASE(answers_lost) { spoilAnswers({{"lose_answers", 4}}); }

/** Guards against a part of an answer that is taken for the whole. */
BOOST_AUTO_TEST_CASE(answers_truncated) {
  spoilAnswers({{"truncate_answers", 4}});
}

/** Guards against late answers that reach the wrong caller: the answers of one
 * VM arrive after the callers' limit. */
BOOST_AUTO_TEST_CASE(answers_late) {
  cluster Cluster;
  callers Callers{Cluster, {}};
  Callers.start();
  BOOST_TEST(Callers.awaitMore(Enough));
  Cluster.fault(Cluster.Vms[0].Address, {{"late_ms", 4500}});
  BOOST_TEST(Callers.awaitMore(2 * Enough));
  Cluster.fault(Cluster.Vms[0].Address, {{"late_ms", 0}});
  BOOST_TEST(Callers.awaitMore(Enough));
  judge(Cluster, Callers);
}

/** Guards against a VM that attracts work because it fails it at once. */
BOOST_AUTO_TEST_CASE(fails_everything) {
  cluster Cluster;
  callers Callers{Cluster, {}};
  Callers.start();
  BOOST_TEST(Callers.awaitMore(Enough));
  Cluster.fault(Cluster.Vms[0].Address, {{"fail", true}});
  BOOST_TEST(Callers.awaitMore(2 * Enough));
  const auto Since = wallNow();
  BOOST_TEST(Callers.awaitMore(2 * Enough));
  const auto Reports = reports(Cluster);
  std::size_t Healthy = 0;
  for (std::size_t Each = 1; Each < 6; ++Each)
    Healthy += runsSince(Reports[Each], Since);
  // Once it is known to fail, it gets probes but no equal share.
  BOOST_TEST(runsSince(Reports[0], Since) * 2 < Healthy / 5);
  judge(Cluster, Callers);
}

/** Guards against new work on a VM later than 3 s after it says that it is
 * leaving. */
BOOST_AUTO_TEST_CASE(leaves_under_load) {
  cluster Cluster;
  callers Callers{Cluster, {}};
  Callers.start();
  BOOST_TEST(Callers.awaitMore(2 * Enough));
  Cluster.fault(Cluster.Vms[0].Address, {{"leaving", true}});
  const auto Later = boot_clock::now() + seconds{5};
  static_cast<void>(
      Cluster.await([&] { return boot_clock::now() >= Later; }, seconds{6}));
  BOOST_TEST(Callers.awaitMore(Enough));
  judge(Cluster, Callers);
  const json Report = reports(Cluster).front();
  const auto Since = Report["leaving_since_ms"].get<std::int64_t>();
  BOOST_TEST(Report["runs"].size() > 0U);
  BOOST_TEST(runsSince(Report, Since + 3000) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
