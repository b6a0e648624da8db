// Keep-alive options of every TCP socket that this software opens, at both ends. A peer may become unresponsive for good without a reset;
// then only the system's own probes free the memory and the descriptor of the connection. Sockets that a listener accepts inherit the
// options.

#pragma once

#include <Loomreach/Loomreach.h>

namespace Loomreach
{

/// Makes the system probe the connection when it is idle, and close it when sent data or probes stay unacknowledged.
void SetKeepAliveOptions(int inSocket);

} // namespace Loomreach
