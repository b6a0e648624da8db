// Opens HTTP listeners with room for bursts of new connections.

#pragma once

#include <Loomreach/Core/GlibHandle.h>
#include <Loomreach/Settings/DaemonConfig.h>

#include <libsoup/soup.h>

namespace Loomreach
{

/// Opens a libsoup server on an address; nothing, with bad-config, when the address can't be had. `inWhat` names it in the reason.
ObjectPtr<SoupServer> OpenServer(const Address &inAddress, std::string_view inWhat);

} // namespace Loomreach
