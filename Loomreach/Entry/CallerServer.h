// The listener for callers: requests for services, ids, health and nothing else.

#pragma once

#include <Loomreach/Entry/ControlLoop.h>
#include <Loomreach/Entry/HttpListener.h>
#include <Loomreach/Entry/Relay.h>

namespace Loomreach
{

/// The callers' side of one entry host.
class CallerServer
{
public:
	CallerServer(const DaemonConfig &inConfig, uint64 inIncarnation, LogFollower &ioFollower, ControlLoop &ioControl, Relay &ioRelay,
				 IdWindow &ioIds, const PeerCodec &inCodec, Metrics &ioMetrics);

	/// Binds the listener.
	bool Open();
	/// Whether this entry host should be sent new requests, and why not.
	bool IsReady(std::string &outWhy) const;

private:
	/// An issued id taken apart.
	struct IssuedId
	{
		uint64 incarnation = 0;
		uint64 sequence = 0;
	};

	static void OnEarly(SoupServer *inServer, SoupServerMessage *inMessage, const char *inPath, GHashTable *inQuery, gpointer inSelf);
	static void OnService(SoupServer *inServer, SoupServerMessage *inMessage, const char *inPath, GHashTable *inQuery, gpointer inSelf);
	static void OnIds(SoupServer *inServer, SoupServerMessage *inMessage, const char *inPath, GHashTable *inQuery, gpointer inSelf);
	static void OnHealth(SoupServer *inServer, SoupServerMessage *inMessage, const char *inPath, GHashTable *inQuery, gpointer inSelf);
	static void OnOther(SoupServer *inServer, SoupServerMessage *inMessage, const char *inPath, GHashTable *inQuery, gpointer inSelf);

	void HandleService(SoupServerMessage *inMessage, const char *inPath);
	std::optional<std::shared_ptr<Exchange>> ReadRequest(SoupServerMessage *inMessage, const char *inPath);
	bool ReadHeaders(Exchange &ioExchange, const JobSpec &inJob, SoupServerMessage *inMessage);
	void HandleId(const std::shared_ptr<Exchange> &inExchange, const std::string &inId, bool inForwarded);
	void HandleIssued(const std::shared_ptr<Exchange> &inExchange, const IssuedId &inId, bool inForwarded);
	void HandleOwn(const std::shared_ptr<Exchange> &inExchange, const std::string &inId, bool inForwarded);
	void OnClaimed(const std::shared_ptr<Exchange> &inExchange, const std::string &inKey, bool inForwarded, EError inError,
				   uint64 inHolder);
	void UseVerdict(const std::shared_ptr<Exchange> &inExchange, const std::string &inKey, const IdVerdict &inVerdict);
	void ForwardTo(const std::shared_ptr<Exchange> &inExchange, uint64 inIncarnation, bool inForwarded);
	void Refuse(const std::shared_ptr<Exchange> &inExchange, EError inError, std::string_view inDetail);
	std::string MakeId();
	std::optional<IssuedId> ParseId(const std::string &inId) const;

	const DaemonConfig &config;
	uint64 incarnation;
	LogFollower &follower;
	ControlLoop &control;
	Relay &relay;
	IdWindow &ids;
	const PeerCodec &codec;
	Metrics &metrics;
	ObjectPtr<SoupServer> server;
};

} // namespace Loomreach
