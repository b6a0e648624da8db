// HTTP listener for operators: answers the calls of the command-line tool. Every call must carry the operators' token, if one is
// configured.

#pragma once

#include <Loomreach/Entry/CallerServer.h>

#include <nlohmann/json_fwd.hpp>

namespace Loomreach
{

/// Reports the accepted state to operators and proposes the changes they ask for.
class OperatorServer
{
public:
	OperatorServer(const DaemonConfig &inConfig, LogFollower &ioFollower, ControlLoop &ioControl, Proposer &ioProposer,
				   const PlatformClient &inPlatform, Dispatcher &ioDispatcher, Relay &ioRelay, Metrics &ioMetrics);

	/// Binds the listener. False, with bad-config, when the address is not available.
	bool Open();

private:
	using Query = std::map<std::string, std::string>;

	/// One call of an operator.
	struct Call
	{
		SoupServerMessage *message = nullptr;
		std::string method;
		std::vector<std::string> path_segments; ///< Path below /v1, unescaped.
		Query query;
		/// A parameter of the query, or an empty text.
		std::string Get(const std::string &inKey) const;
	};

	static void OnCall(SoupServer *inServer, SoupServerMessage *inMessage, const char *inPath, GHashTable *inQuery, gpointer inSelf);
	bool IsAuthorized(SoupServerMessage *inMessage) const;
	void Route(const Call &inCall);
	void RoutePost(const Call &inCall);

	void Status(const Call &inCall);
	void Settings(const Call &inCall);
	void ExplainSettings(const Call &inCall);
	void ApplyNewSettings(const Call &inCall);
	void Pools(const Call &inCall);
	void Jobs(const Call &inCall);
	void ExplainJob(const Call &inCall);
	void Hosts(const Call &inCall);
	void Waves(const Call &inCall);
	/// How many members have read past a position of the log, and which have not.
	void ReportProgress(const Call &inCall);
	void HandleHostStep(const Call &inCall, const Host &inHost);
	void HandleStartWave(const Call &inCall);

	/// Proposes a change and answers the call with its outcome. A conflict of settings lists what was changed in between.
	void Propose(const Call &inCall, ProposalBody inBody);
	void Reply(SoupServerMessage *inMessage, const nlohmann::json &inBody) const;
	void ReplyError(SoupServerMessage *inMessage, EError inError, const std::string &inDetail) const;

	const DaemonConfig &config;
	LogFollower &follower;
	ControlLoop &control;
	Proposer &proposer;
	const PlatformClient &platform;
	Dispatcher &dispatcher;
	Relay &relay;
	Metrics &metrics;
	ObjectPtr<SoupServer> server;
};

} // namespace Loomreach
