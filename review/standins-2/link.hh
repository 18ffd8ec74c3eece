// A link to one machine that is cut off silently while its backend server
// crashes and starts again. Meanwhile the machine takes no connection and answers
// nothing; nobody is told. When it is back, a connection of before is reset as
// soon as its peer has sent something on it.
#ifndef REVIEW_2_LINK_HH
#define REVIEW_2_LINK_HH

#include "galenalink/http/address.hpp"
#include "galenalink/http/loop.hpp"
#include <list>
#include <memory>
#include <string>
#include <vector>

struct bufferevent;
struct event;

namespace review {

class power_link {
public:
  power_link(galenalink::http::loop &Loop, galenalink::http::address Target);
  ~power_link();
  power_link(const power_link &) = delete;
  power_link &operator=(const power_link &) = delete;

  [[nodiscard]] galenalink::http::address address() const;
  void powerOff();
  void powerOn();

private:
  struct connection;
  struct callbacks;
  void accept(int Socket);
  void sweep();
  void end(connection &Connection, bool Reset);

  galenalink::http::loop &Loop;
  galenalink::http::address Target;
  int Listener{-1};
  std::uint16_t Port{0};
  bool Powered{true};
  ::event *Accepting{nullptr};
  // They fill the queue of the listener, which then drops further connections.
  std::vector<int> Fillers;
  std::list<std::unique_ptr<connection>> Connections;
  galenalink::http::timer Timer;
};

} // namespace review

#endif
