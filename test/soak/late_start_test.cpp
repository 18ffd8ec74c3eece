#include "soak/single_node_run.hpp"

using namespace galenalink;
using namespace galenalink::soak;

namespace {

/** Longer than a lease that all repeats of a start order have extended. */
constexpr duration Outage = 7 * Second;
constexpr std::int64_t VmCpu = 16000;
constexpr const char *HeldJob = "000000000000000a";

/** A node on a pool whose first VM can be cut off. */
class late_start_run : public single_node_run {
public:
  late_start_run() : single_node_run{"late", 1} {}

  /** @brief Submits a job with a task of a minute until it is accepted. */
  bool submitTask(const std::string &Id, const std::int64_t Cpu) {
    return submit(Id, 1, Cpu, 60000);
  }

  /** @brief Submits the job whose start order gets no response and is held by
   * the network, and waits until its lease has expired. */
  bool submitHeldJob(const std::int64_t Cpu) {
    // Leaves checked connections: an order that needs a new one is not written
    // before the outage ends.
    if (!submit("00000000000000ff", 4, 1000, 100))
      return false;
    pause(Second); // responses to earlier orders arrive
    firstLink().setFault(link_fault::Silent);
    if (!submitTask(HeldJob, Cpu))
      return false;
    pause(Outage);
    return true;
  }

  /** @brief Ends the outage for new connections only. */
  void recoverNewConnections() {
    firstLink().holdConnections();
    firstLink().setFault(link_fault::None);
    Fleet.renewRegistration(0);
  }

  /** @brief Delivers the held orders and checks that they begin no run. */
  void checkLateStarts() {
    const std::size_t Starts = Fleet.History.starts();
    const std::string HeldTask = std::string{HeldJob} + ".0.0.0";
    const std::size_t Orders = Fleet.StartOrders[HeldTask];
    firstLink().releaseConnections();
    pause(2 * Second);
    BOOST_TEST(Fleet.StartOrders[HeldTask] > Orders);
    BOOST_TEST(Fleet.History.starts() == Starts);
    BOOST_TEST(countRunning(HeldJob) == 1);
    BOOST_TEST_MESSAGE("runs:" + Fleet.History.describe(HeldJob));
    checkHistory();
  }

private:
  tcp_proxy &firstLink() { return Fleet.link(0); }
};

} // namespace

BOOST_AUTO_TEST_SUITE(late_start)

// A start order without a response was released when the lease had expired. Its
// bytes arrived after the outage, under a lease that newer orders had extended,
// and its run began beside the newer run on the same backend server.
BOOST_AUTO_TEST_CASE(late_start_begins_no_run_beside_a_newer_one) {
  late_start_run Run;
  BOOST_REQUIRE(Run.submitTask("0000000000000001", 1000));
  BOOST_REQUIRE(Run.runs("0000000000000001"));
  BOOST_REQUIRE(Run.submitHeldJob(1000));
  BOOST_REQUIRE(Run.countRunning(HeldJob) == 0);
  Run.recoverNewConnections();
  BOOST_REQUIRE(Run.submitTask("0000000000000002", 1000));
  BOOST_REQUIRE(Run.runs("0000000000000002"));
  BOOST_REQUIRE(Run.runs(HeldJob));
  Run.checkLateStarts();
}

// The same while the newer run is at work on another backend server.
BOOST_AUTO_TEST_CASE(late_start_begins_no_run_beside_one_elsewhere) {
  late_start_run Run;
  BOOST_REQUIRE(Run.submitTask("0000000000000001", 1000));
  BOOST_REQUIRE(Run.runs("0000000000000001"));
  BOOST_REQUIRE(Run.submitHeldJob(VmCpu - 1000));
  Run.addVm();
  BOOST_REQUIRE(Run.runs(HeldJob));
  Run.recoverNewConnections();
  BOOST_REQUIRE(Run.submitTask("0000000000000002", VmCpu / 2));
  BOOST_REQUIRE(Run.runs("0000000000000002"));
  Run.checkLateStarts();
}

BOOST_AUTO_TEST_SUITE_END()
