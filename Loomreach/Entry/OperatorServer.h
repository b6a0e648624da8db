// The listener for operators: what the command-line tool reads and asks for. It wants the operators' token on every call.

#pragma once

#include <Loomreach/Entry/CallerServer.h>

#include <nlohmann/json_fwd.hpp>

namespace Loomreach
{

/// The operators' side of one entry host.
class OperatorServer
{
public:
	OperatorServer(const DaemonConfig &inConfig, LogFollower &ioFollower, ControlLoop &ioControl, Proposer &ioProposer,
				   const PlatformClient &inPlatform, Dispatcher &ioDispatcher, Relay &ioRelay, Metrics &ioMetrics);

	/// Binds the listener.
	bool Open();

private:
	using Query = std::map<std::string, std::string>;

	/// One operators' call.
	struct Call
	{
		SoupServerMessage *message = nullptr;
		std::string method;
		std::vector<std::string> parts; ///< Path below /v1, unescaped.
		Query query;
		std::string Get(const std::string &inKey) const;
	};

	static void OnCall(SoupServer *inServer, SoupServerMessage *inMessage, const char *inPath, GHashTable *inQuery, gpointer inSelf);
	bool IsAuthorized(SoupServerMessage *inMessage) const;
	void Route(const Call &inCall);
	void RoutePost(const Call &inCall);

	void Status(const Call &inCall);
	void Settings(const Call &inCall);
	void Explain(const Call &inCall);
	void Apply(const Call &inCall);
	void Pools(const Call &inCall);
	void Jobs(const Call &inCall);
	void WhyJob(const Call &inCall);
	void Hosts(const Call &inCall);
	void Waves(const Call &inCall);
	void InForce(const Call &inCall);
	void StepHostCall(const Call &inCall, const Host &inHost);
	void StartWaveCall(const Call &inCall);

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
