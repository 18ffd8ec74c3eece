#ifndef GALENALINK_HTTP_FWD_HPP
#define GALENALINK_HTTP_FWD_HPP

#include <cstdint>

namespace galenalink::http {

struct address;
struct header;
struct request;
struct response;
struct failure;
struct client_options;
struct server_options;

class loop;
class timer;
class exchange;
class server;
class client;
class call;

enum class method : std::uint8_t;
enum class delivery : std::uint8_t;

} // namespace galenalink::http

#endif
