// The stream of an accepted connection, which tells an observer how many bytes pass and when the other end takes no more.

#pragma once

#include <Loomreach/Core/GlibHandle.h>

namespace Loomreach
{

/// Told what passes through a stream. Must not call the stream.
class StreamObserver
{
public:
	virtual ~StreamObserver() = default;
	/// Bytes were read. False: the read fails, and its reader closes the stream.
	virtual bool OnRead(size_t inBytes) = 0;
	virtual void OnWritten(size_t inBytes) = 0;
	/// The send buffer is full.
	virtual void OnWriteBlocked() = 0;
	/// The other end sends no more, or the connection has failed. True: nothing is owed to it, so the socket is closed.
	virtual bool OnInputEnded() = 0;
	/// The stream and its socket are closed.
	virtual void OnClosed() = 0;
};

/// A stream on a connected socket, which it closes with itself.
ObjectPtr<GIOStream> NewCountedStream(GSocket &inSocket, std::shared_ptr<StreamObserver> inObserver);

} // namespace Loomreach
