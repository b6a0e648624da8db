// One accepted connection of a listener: how far its present request is, and what that takes.

#pragma once

#include <Loomreach/Entry/ConnectionLimits.h>
#include <Loomreach/Entry/CountedStream.h>

#include <libsoup/soup.h>

namespace Loomreach
{

class ConnectionGuard;

/// How far the present request of a connection is.
enum class EConnectionPhase : uint8
{
	Idle,      ///< Between requests: nothing of the next one has arrived.
	Receiving, ///< Its head or body is arriving.
	Serving    ///< It is complete, and its answer is not written.
};

/// A connection, as its stream and its requests report on it. Invariant: everything counted is 0 while the phase is Idle.
class Connection final : public StreamObserver
{
public:
	Connection(ConnectionGuard &ioGuard, uint64 inId, std::string_view inListener, ObjectPtr<GSocket> inSocket);

	bool OnRead(size_t inBytes) override;
	void OnWritten(size_t inBytes) override;
	void OnWriteBlocked() override;
	bool OnInputEnded() override;
	void OnClosed() override;

	/// Follows a request, which arrives on this connection.
	void Follow(SoupServerMessage &inMessage);
	/// Closes the socket; libsoup finds that out by itself.
	void CloseSocket();
	/// The guard is no longer there.
	void Detach() { this->guard = nullptr; }
	/// Notes the bytes that the body of the request takes. False: that is more than the limits allow.
	bool SetBodyBytes(size_t inBytes);
	/// Notes what the system holds, and what the answer takes while its reader doesn't read.
	void Measure();

	uint64 Id() const { return this->id; }
	std::string_view Listener() const { return this->listener; }
	GSocket *Socket() const { return this->socket.get(); }
	EConnectionPhase Phase() const { return this->phase; }
	size_t HeldBytes() const { return this->request_bytes + this->body_bytes + this->system_bytes + this->answer_bytes; }
	/// Whether it waits for its client: for more of the request, or until the client reads.
	bool AwaitsClient() const { return this->phase == EConnectionPhase::Receiving || this->write_blocked; }
	/// Time since bytes last passed, ms.
	Millis SinceProgress(Millis inNow) const { return inNow - this->progress_at; }
	/// Time since the first byte of the request that is arriving, ms.
	Millis SinceRequest(Millis inNow) const { return this->phase == EConnectionPhase::Receiving ? inNow - this->request_at : 0; }
	/// Whether the client has closed both directions or reset the connection.
	bool IsClientGone() const;

private:
	static void OnHead(SoupServerMessage *inMessage, gpointer inSelf);
	static void OnBody(SoupServerMessage *inMessage, gpointer inSelf);
	static void OnFinished(SoupServerMessage *inMessage, gpointer inSelf);
	void BeginRequest();
	void EndRequest();
	/// Whether the limit in bytes is kept, if need be after other connections were closed.
	bool HasRoom();
	/// Tells the guard of a change of HeldBytes.
	void Account(size_t inBefore);

	ConnectionGuard *guard;
	uint64 id;
	std::string_view listener;
	ObjectPtr<GSocket> socket;
	SoupServerMessage *message = nullptr; ///< The request that is followed, whose end resets this.
	EConnectionPhase phase = EConnectionPhase::Idle;
	bool has_head = false; ///< Its head is complete.
	bool write_blocked = false;
	Millis progress_at;
	Millis request_at = 0;
	size_t request_bytes = 0; ///< Read of the head.
	size_t body_bytes = 0;
	size_t system_bytes = 0; ///< Arrived, but not read yet.
	size_t answer_bytes = 0;
};

} // namespace Loomreach
