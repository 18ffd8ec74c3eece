// A link from a node to the store. While it is slow, a share of the answers
// takes longer; all others take 4 ms.
#ifndef REVIEW_2_SLOW_LINK_HH
#define REVIEW_2_SLOW_LINK_HH

#include "galenalink/http/address.hpp"
#include "galenalink/http/loop.hpp"
#include <list>
#include <memory>
#include <random>

struct bufferevent;
struct event;

namespace review {

class slow_link {
public:
  slow_link(galenalink::http::loop &Loop, galenalink::http::address Target,
            std::uint64_t Seed);
  ~slow_link();
  slow_link(const slow_link &) = delete;
  slow_link &operator=(const slow_link &) = delete;

  [[nodiscard]] galenalink::http::address address() const;
  // From now on that share of the answers takes so long; 0 for none.
  void setSlow(double Share, galenalink::duration Answer) {
    SlowShare = Share;
    SlowAnswer = Answer;
  }

private:
  struct connection;
  struct callbacks;
  void accept(int Socket);
  void forward();

  galenalink::http::loop &Loop;
  galenalink::http::address Target;
  int Listener{-1};
  std::uint16_t Port{0};
  double SlowShare{0};
  galenalink::duration SlowAnswer{0};
  std::mt19937_64 Random;
  ::event *Accepting{nullptr};
  std::list<std::unique_ptr<connection>> Connections;
  galenalink::http::timer Timer;
};

} // namespace review

#endif
