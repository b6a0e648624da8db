// Takes proposals to the log and brings their verdicts back to whoever proposed them.

#pragma once

#include <Loomreach/Core/Metrics.h>
#include <Loomreach/Entry/LogFollower.h>
#include <Loomreach/State/AppendQueue.h>

namespace Loomreach
{

/// The proposer of one process.
class Proposer
{
public:
	/// Called once with the verdict, or with not-accepted when the proposal certainly was not sent.
	using Callback = std::function<void(const Verdict &)>;

	Proposer(PlatformClient &ioPlatform, LogFollower &ioFollower, Metrics &ioMetrics, uint64 inIncarnation);

	/// Proposes. Without a callback the verdict is only counted.
	void Propose(ProposalBody inBody, Callback inDone = nullptr);
	/// Sends what may be sent now; called on a timer and after each change.
	void Pump();
	/// Takes note of verdicts read from the log.
	void OnVerdicts(const std::vector<Verdict> &inVerdicts);
	/// Takes note of a state that was adopted whole: verdicts of what it already holds are not to be read any more.
	void OnAdopted(const FleetState &inState);
	/// Sets this process's share of the append budget.
	void SetRate(double inPerSecond) { this->queue.SetRate(inPerSecond); }
	/// Whether everything proposed has been read back: a good time to plan anew.
	bool IsIdle() const { return this->queue.Waiting() == 0 && this->queue.Unseen() == 0; }
	const AppendQueue &Queue() const { return this->queue; }

private:
	void Answer(Ticket inTicket, const Verdict &inVerdict);

	PlatformClient &platform;
	LogFollower &follower;
	Metrics &metrics;
	uint64 incarnation;
	AppendQueue queue;
	std::map<Ticket, Callback> callbacks;
};

} // namespace Loomreach
