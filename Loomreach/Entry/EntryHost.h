// The process of an entry host: owns all its parts and connects them.

#pragma once

#include <Loomreach/Entry/OperatorServer.h>

namespace Loomreach
{

/// One entry host, from the start of the process to the end of its graceful shutdown.
class EntryHost
{
public:
	explicit EntryHost(DaemonConfig inConfig);

	/// Binds all listeners and starts to follow the log. False, with bad-config, when an address is not available.
	bool Start();
	/// Begins a graceful shutdown: the process reports itself as not ready, plans nothing any more, and still serves requests for a grace
	/// period. `inDone` is called after the last request has ended and the process has left the membership view, or could not
	/// leave it.
	void Stop(std::function<void()> inDone);

private:
	/// Leaves the view once the grace period is over and no request is open.
	void TryFinish();

	DaemonConfig config;
	uint64 incarnation;
	PeerCodec codec;
	Metrics metrics;
	PlatformClient platform;
	PeerLink link;
	LogFollower follower;
	Proposer proposer;
	WorkerPoller poller;
	Dispatcher dispatcher;
	IdWindow ids;
	Relay relay;
	ControlLoop control;
	CallerServer callers;
	OperatorServer operators;
	std::function<void()> on_stopped;
	bool may_finish = false; ///< The grace period is over, and the view has not been left yet.
	Timer grace_timer;
};

} // namespace Loomreach
