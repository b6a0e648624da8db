// Network connections between entry hosts: heartbeats as UDP datagrams, and requests by TCP with one request and one reply per connection.
//
// Rule: a message that is forged, replayed, truncated, too large or of an unknown version changes nothing. It is counted by reason.

#pragma once

#include <Loomreach/Core/GlibHandle.h>
#include <Loomreach/Core/Metrics.h>
#include <Loomreach/Member/PeerMessages.h>

namespace Loomreach
{

/// Sends and receives the messages between entry hosts.
class PeerLink
{
public:
	using ReplyCallback = std::function<void(std::optional<PeerReply>)>;

	PeerLink(Address inAddress, const PeerCodec &inCodec, Metrics &ioMetrics);
	~PeerLink();
	PeerLink(const PeerLink &) = delete;
	PeerLink &operator=(const PeerLink &) = delete;

	/// Binds both sockets. False, with bad-config, when the address is not available.
	bool Open();
	/// Sends a heartbeat. A failure to send is ignored, since any datagram may be lost.
	void SendHeartbeat(const Address &inTo, const HeartbeatMessage &inHeartbeat);
	/// Sends a request; `inDone` is called once, with nothing when no valid reply came in time.
	void SendRequest(const Address &inTo, PeerRequest inRequest, Millis inTimeout, ReplyCallback inDone);

	/// Receives the heartbeats of peers. Must be set before Open().
	std::function<void(HeartbeatMessage)> on_heartbeat;
	/// Answers the requests of peers. Must be set before Open().
	std::function<PeerReply(const PeerRequest &)> on_request;

private:
	struct OutgoingRequest;
	struct IncomingRequest;
	static gboolean OnDatagram(GSocket *inSocket, GIOCondition inCondition, gpointer inSelf);
	static gboolean OnIncoming(GSocketService *inService, GSocketConnection *inConnection, GObject *inSource, gpointer inSelf);
	/// Counts and logs a message that was not accepted, with the last reason of this thread.
	void Reject();

	Address address;
	const PeerCodec &codec;
	Metrics &metrics;
	ObjectPtr<GSocket> udp;
	GSource *udp_source = nullptr;
	ObjectPtr<GSocketService> tcp;
	std::shared_ptr<bool> alive; ///< False once the link is destroyed; calls in progress check it.
	uint64 nonce = 0;            ///< Of the last request sent.
};

} // namespace Loomreach
