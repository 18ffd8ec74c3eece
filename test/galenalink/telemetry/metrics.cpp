#include "galenalink/telemetry/metrics.hpp"
#include <boost/test/unit_test.hpp>

using namespace galenalink::telemetry;

BOOST_AUTO_TEST_SUITE(prometheus_metrics)

BOOST_AUTO_TEST_CASE(same_name_and_labels_share_one_series) {
  metrics Metrics;
  Metrics.count("requests_total", "Requests.", {{"outcome", "complete"}})
      .add(2);
  Metrics.count("requests_total", "Requests.", {{"outcome", "complete"}}).add();
  Metrics.times("wait_seconds", "Wait.").observe(0.004);
  const auto Text = Metrics.render();
  BOOST_TEST(Text.find("requests_total{outcome=\"complete\"} 3") !=
             std::string::npos);
  BOOST_TEST(Text.find("wait_seconds_bucket{le=\"0.005\"} 1") !=
             std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
