// Accepts the connections of HTTP listeners and holds them within limits, so that clients can't make the process run out of memory or
// descriptors.
//
// libsoup's own listener stops accepting for good when a descriptor is lacking, and notices nothing of a client while a request is being
// served or its answer waits to be read. So connections are accepted here, and given to libsoup with a stream that reports on them. Where
// something is lacking, the connection goes that has waited longest for its client.

#pragma once

#include <Loomreach/Core/GlibHandle.h>
#include <Loomreach/Entry/Connection.h>
#include <Loomreach/Settings/DaemonConfig.h>

#include <libsoup/soup.h>

namespace Loomreach
{

/// The connections of all listeners that are opened with it.
class ConnectionGuard
{
public:
	explicit ConnectionGuard(const ConnectionLimits &inLimits = {});
	~ConnectionGuard();
	ConnectionGuard(const ConnectionGuard &) = delete;
	ConnectionGuard &operator=(const ConnectionGuard &) = delete;

	/// Opens a libsoup server on an address; nothing, with bad-config, when the address is not available. `inListenerName` must outlive
	/// the guard, and the guard must outlive the use of the server.
	ObjectPtr<SoupServer> Open(const Address &inAddress, std::string_view inListenerName);
	void SetLimits(const ConnectionLimits &inLimits);
	/// Counters and gauges in Prometheus' text format.
	std::string Prometheus() const;
	size_t OpenConnections() const { return this->connections.size(); }
	/// Bytes of all requests that are not complete or not answered.
	size_t HeldBytes() const { return this->held_bytes; }

	// For Connection
	void Account(size_t inBefore, size_t inAfter) { this->held_bytes += inAfter - inBefore; }
	/// Closes stalled connections until the limit in bytes is kept. False: that is not enough, and `inFor` has to give way itself.
	bool MakeRoom(const Connection &inFor);
	/// The connection is closed.
	void Forget(Connection &ioConnection);
	/// Counts what a limit cost, and logs it, but one line a second at most.
	void Report(ELimit inLimit, std::string_view inListener, Millis inWaitedMs);
	/// A request has begun: from now on connections are looked at from time to time.
	void Watch();

private:
	/// A listening socket, and the server of its connections.
	struct Door
	{
		ConnectionGuard *guard = nullptr;
		std::string_view name;
		ObjectPtr<GSocket> socket;
		SoupServer *server = nullptr;
		GSource *source = nullptr;
		Timer pause; ///< Runs while nothing is accepted.
	};

	static gboolean OnConnection(GSocket *inSocket, GIOCondition inCondition, gpointer inDoor);
	static void OnRequest(SoupServer *inServer, SoupServerMessage *inMessage, gpointer inSelf);
	void StartAccepting(Door &ioDoor);
	void StopAccepting(Door &ioDoor);
	bool Accept(Door &ioDoor);
	void Admit(Door &ioDoor, ObjectPtr<GSocket> inSocket);
	/// Closes the connection that has waited longest for its client, or else the one that is idle for longest. False: there is none.
	bool CloseLongestWaiting(ELimit inLimit);
	void Close(const std::shared_ptr<Connection> &inConnection, ELimit inLimit);
	void Sweep();
	void CheckConnection(const std::shared_ptr<Connection> &inConnection, Millis inNow);

	ConnectionLimits limits;
	size_t max_open = 0; ///< Connections, as the limits and the process's descriptors allow.
	std::vector<std::unique_ptr<Door>> doors;
	std::map<uint64, std::shared_ptr<Connection>> connections; ///< By id; the ids ascend.
	uint64 next_id = 1;
	size_t held_bytes = 0; ///< Sum over all connections.
	std::array<uint64, static_cast<size_t>(ELimit::Count)> counts{};
	Millis logged_at = 0;
	uint64 unlogged = 0;
	Timer sweep;
};

/// The connection of a request to a listener of a guard; nothing for other listeners.
Connection *ConnectionOf(SoupServerMessage &inMessage);
/// The socket of a request's connection, on any listener.
GSocket *SocketOf(SoupServerMessage &inMessage);

} // namespace Loomreach
