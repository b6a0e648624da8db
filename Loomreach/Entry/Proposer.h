// Appends the proposals of this process to the log, and reports the outcome of each to whoever proposed it.

#pragma once

#include <Loomreach/Core/Metrics.h>
#include <Loomreach/Entry/LogFollower.h>
#include <Loomreach/State/AppendQueue.h>

namespace Loomreach
{

/// Connects the queue of proposals to the platform and to the follower of the log.
class Proposer
{
public:
	/// Called once with the outcome. The error is not-accepted or platform-down when the proposal was not sent, and verdict-lost when it
	/// stands in the log but its outcome was not read.
	using Callback = std::function<void(const ProposalOutcome &)>;

	Proposer(PlatformClient &ioPlatform, LogFollower &ioFollower, Metrics &ioMetrics, uint64 inIncarnation);

	/// Queues a proposal. Without a callback its outcome is only counted and logged.
	void Propose(ProposalBody inBody, Callback inDone = nullptr);
	/// Drops proposals that have waited too long, and appends the next batch if the append rate allows it. Called on a timer and after each
	/// change.
	void SendBatch();
	/// Completes the proposals of this process whose outcomes have been read from the log.
	void OnOutcomes(const std::vector<ProposalOutcome> &inOutcomes);
	/// Completes, with verdict-lost, the proposals that an adopted state already includes: their outcomes will not be read any more.
	void OnAdopted(const FleetState &inState);
	/// Sets this process's share of the append rate, appends per second.
	void SetRate(double inPerSecond) { this->queue.SetRate(inPerSecond); }
	/// Whether the outcomes of all proposals have been read, so that the state shows what they changed.
	bool IsIdle() const { return this->queue.QueuedCount() == 0 && this->queue.UnconfirmedCount() == 0; }
	const AppendQueue &Queue() const { return this->queue; }

private:
	void Complete(Ticket inTicket, const ProposalOutcome &inOutcome);

	PlatformClient &platform;
	LogFollower &follower;
	Metrics &metrics;
	uint64 incarnation;
	AppendQueue queue;
	std::map<Ticket, Callback> callbacks;
};

} // namespace Loomreach
