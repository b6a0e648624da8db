// Opens HTTP listeners whose backlog is large enough for bursts of new connections.

#pragma once

#include <Loomreach/Core/GlibHandle.h>
#include <Loomreach/Settings/DaemonConfig.h>

#include <libsoup/soup.h>

namespace Loomreach
{

/// Opens a libsoup server on an address; nothing, with bad-config, when the address is not available. `inListenerName` stands in the
/// reason.
ObjectPtr<SoupServer> OpenServer(const Address &inAddress, std::string_view inListenerName);

/// The same, but the server accepts no connections by itself. `outSocket`: the listening socket, which doesn't block.
ObjectPtr<SoupServer> OpenUnacceptingServer(const Address &inAddress, std::string_view inListenerName, ObjectPtr<GSocket> &outSocket);

} // namespace Loomreach
