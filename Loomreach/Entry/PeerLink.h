// Sockets between entry hosts: UDP datagrams with digests, TCP connections with one question and one reply each.

#pragma once

#include <Loomreach/Core/GlibHandle.h>
#include <Loomreach/Core/Metrics.h>
#include <Loomreach/Member/PeerMessages.h>

namespace Loomreach
{

/// The link. Whatever is forged, cut short, oversized or of an unknown version changes nothing and is counted by reason.
class PeerLink
{
public:
	using ReplyCallback = std::function<void(std::optional<PeerReply>)>;

	PeerLink(Address inAddress, const PeerCodec &inCodec, Metrics &ioMetrics);
	~PeerLink();
	PeerLink(const PeerLink &) = delete;
	PeerLink &operator=(const PeerLink &) = delete;

	/// Binds both sockets; false, with bad-config, when the address can't be had.
	bool Open();
	/// Sends a digest; a datagram that can't be sent is lost, as any may be.
	void Send(const Address &inTo, const Digest &inDigest);
	/// Asks a peer; `inDone` is called once, with nothing when no reply came in time.
	void Ask(const Address &inTo, PeerAsk inAsk, Millis inTimeout, ReplyCallback inDone);

	std::function<void(Digest)> on_digest;
	std::function<PeerReply(const PeerAsk &)> on_ask;

private:
	struct Question;
	struct Answering;
	static gboolean OnDatagram(GSocket *inSocket, GIOCondition inCondition, gpointer inSelf);
	static gboolean OnIncoming(GSocketService *inService, GSocketConnection *inConnection, GObject *inSource, gpointer inSelf);
	void Reject();

	Address address;
	const PeerCodec &codec;
	Metrics &metrics;
	ObjectPtr<GSocket> udp;
	GSource *udp_source = nullptr;
	ObjectPtr<GSocketService> tcp;
	std::shared_ptr<bool> alive;
	uint64 nonce = 0;
};

} // namespace Loomreach
