#include "galenalink/http/detail/response.hpp"
#include <charconv>
#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

namespace galenalink::http::detail {

bool isComplete(const response &Response) noexcept {
  if (Response.Status == 204 || Response.Status == 304)
    return Response.Body.empty();
  if (findHeader(Response.Headers, "Transfer-Encoding"))
    return true; // evhttp fails a chunked body without its last chunk
  const auto Announced = findHeader(Response.Headers, "Content-Length");
  if (!Announced)
    return false;
  std::size_t Length = 0;
  const char *Last = Announced->data() + Announced->size();
  const auto [End, Code] = std::from_chars(Announced->data(), Last, Length);
  return Code == std::errc{} && End == Last && Length == Response.Body.size();
}

response toResponse(evhttp_request *Request) {
  response Response;
  Response.Status = evhttp_request_get_response_code(Request);
  const evkeyvalq *Input = evhttp_request_get_input_headers(Request);
  for (const evkeyval *Each = Input->tqh_first; Each != nullptr;
       Each = Each->next.tqe_next)
    Response.Headers.push_back({Each->key, Each->value});
  evbuffer *Buffer = evhttp_request_get_input_buffer(Request);
  Response.Body.resize(evbuffer_get_length(Buffer));
  evbuffer_remove(Buffer, Response.Body.data(), Response.Body.size());
  return Response;
}

} // namespace galenalink::http::detail
