// Answers a request before its body has arrived, and closes its connection. libsoup reads a body to its end before it writes an answer.

#pragma once

#include <Loomreach/Core/Error.h>

#include <libsoup/soup.h>

namespace Loomreach
{

/// Refuses a request that is still being received, which has not run, with the row of an error; the server's handlers don't see it. The
/// connection is closed once its client has read the answer, or after a short time. Must be called from `got-headers` or `got-chunk`.
void RefuseEarly(SoupServerMessage &ioMessage, EError inError, std::string_view inDetail);

/// Whether a request's head announces a body of more than `inBytes`, or one of unknown length.
bool AnnouncesBodyOver(SoupServerMessage &inMessage, uint64 inBytes);

} // namespace Loomreach
