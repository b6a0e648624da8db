// Bounds the bodies of requests while they arrive, so that no client can make a process hold more than that.

#pragma once

#include <Loomreach/Loomreach.h>

#include <libsoup/soup.h>

namespace Loomreach
{

/// Answers requests whose body is longer than `inMaxBytes` with 413; no handler of the server sees them. Nothing of such a body is kept.
/// It is read to its end, so that its sender reads the answer, unless it is so long that the connection is closed instead. A body in very
/// many very small chunks is refused with 400 at once. Handlers get the body by ViewBody or TakeBody; libsoup keeps none.
void LimitBodies(SoupServer &ioServer, size_t inMaxBytes);
/// The body of a request to a server with LimitBodies, as far as it has arrived. Valid while the message exists and its body is not taken.
std::string_view ViewBody(SoupServerMessage &inMessage);
/// The same, which then is no longer kept with the message.
std::string TakeBody(SoupServerMessage &ioMessage);
/// Bytes of a body that have arrived, also of one that is refused.
uint64 ReceivedBytes(SoupServerMessage &inMessage);

} // namespace Loomreach
