// One entry host: everything of the system in one process, wired together.

#pragma once

#include <Loomreach/Entry/OperatorServer.h>

namespace Loomreach
{

/// The process. Lives from its start to the end of its planned stop.
class EntryHost
{
public:
	explicit EntryHost(DaemonConfig inConfig);

	/// Binds all listeners and starts to follow the log. False, with the reason, when an address can't be had.
	bool Start();
	/// Begins the planned stop: not ready at once, stewardships handed over, `inDone` after the last request has ended.
	void Stop(std::function<void()> inDone);

private:
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
	std::function<void()> stopped;
	bool finishing = false;
	Timer grace;
};

} // namespace Loomreach
