// Bounds the bodies of requests while they arrive, so that no client can make a process hold more than that.

#pragma once

#include <Loomreach/Loomreach.h>

#include <libsoup/soup.h>

namespace Loomreach
{

/// Answers requests whose body is longer than `inMaxBytes` with 413; no handler of the server sees them. Nothing of such a body is kept.
/// It is read to its end, so that its sender reads the answer, unless it is so long that the connection is closed instead.
void LimitBodies(SoupServer &ioServer, size_t inMaxBytes);

} // namespace Loomreach
