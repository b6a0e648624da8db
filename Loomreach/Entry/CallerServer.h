// HTTP listener for callers: requests to services, issuing of ids, and health checks.
//
// Rule: a request with an id that is not repeatable begins at most once. An issued id names the incarnation of the entry host that issued
// it, and only that one dispatches it. An id that a caller chose is first claimed at every member of its claim group. Any other entry host
// forwards the request, once, to the one that may dispatch it.

#pragma once

#include <Loomreach/Entry/ControlLoop.h>
#include <Loomreach/Entry/HttpListener.h>
#include <Loomreach/Entry/Relay.h>

namespace Loomreach
{

/// Reads and checks the requests of callers and passes them to the relay.
class CallerServer
{
public:
	CallerServer(const DaemonConfig &inConfig, uint64 inIncarnation, LogFollower &ioFollower, ControlLoop &ioControl, Relay &ioRelay,
				 IdWindow &ioIds, const PeerCodec &inCodec, Metrics &ioMetrics);

	/// Binds the listener. False, with bad-config, when the address is not available.
	bool Open();
	/// Whether this entry host should receive new requests; `outWhy` says why not.
	bool IsReady(std::string &outWhy) const;

private:
	/// The parts of an issued id.
	struct IssuedId
	{
		uint64 incarnation = 0;
		uint64 sequence = 0;
	};

	/// Refuses a request by its headers, before its body is read.
	static void OnRequestHead(SoupServer *inServer, SoupServerMessage *inMessage, const char *inPath, GHashTable *inQuery, gpointer inSelf);
	static void OnService(SoupServer *inServer, SoupServerMessage *inMessage, const char *inPath, GHashTable *inQuery, gpointer inSelf);
	static void OnIds(SoupServer *inServer, SoupServerMessage *inMessage, const char *inPath, GHashTable *inQuery, gpointer inSelf);
	static void OnHealth(SoupServer *inServer, SoupServerMessage *inMessage, const char *inPath, GHashTable *inQuery, gpointer inSelf);
	static void OnUnknownPath(SoupServer *inServer, SoupServerMessage *inMessage, const char *inPath, GHashTable *inQuery, gpointer inSelf);

	void HandleService(SoupServerMessage *inMessage, const char *inPath);
	/// The request as an exchange, or nothing if it has been refused.
	std::optional<std::shared_ptr<Exchange>> ReadRequest(SoupServerMessage *inMessage, const char *inPath);
	bool ReadHeaders(Exchange &ioExchange, const JobSpec &inJob, SoupServerMessage *inMessage);
	void HandleId(const std::shared_ptr<Exchange> &inExchange, const std::string &inId, bool inForwarded);
	void HandleIssued(const std::shared_ptr<Exchange> &inExchange, const IssuedId &inId, bool inForwarded);
	void HandleCallerId(const std::shared_ptr<Exchange> &inExchange, const std::string &inId, bool inForwarded);
	void OnClaimed(const std::shared_ptr<Exchange> &inExchange, const std::string &inKey, bool inForwarded, EError inError,
				   uint64 inHolder);
	/// Submits the request, answers with the kept answer, or refuses it, by what is known of its id.
	void HandleIdState(const std::shared_ptr<Exchange> &inExchange, const std::string &inKey, const IdUseResult &inState);
	/// Forwards a request to the member with an incarnation, unless it was forwarded before.
	void ForwardTo(const std::shared_ptr<Exchange> &inExchange, uint64 inIncarnation, bool inForwarded);
	void Refuse(const std::shared_ptr<Exchange> &inExchange, EError inError, std::string_view inDetail);
	std::string IssueId();
	/// The parts of an issued id, or nothing, with the reason, if it is malformed or its authentication code is wrong.
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
