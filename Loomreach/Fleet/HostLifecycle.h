// Moves single hosts through their life cycle as observed: healthy, failed, drained, out, returned, quarantined; and reports how their
// tasks ended. One entry host of its availability zone runs this for each host. Pure: does no I/O, time is passed in.

#pragma once

#include <Loomreach/Fleet/Observations.h>

namespace Loomreach
{

/// Time limits by which observations are judged, ms.
struct HostLifecycleBounds
{
	Millis failed_after = 5000;   ///< A host without an answer for this long counts as failed.
	Millis quiet_for = 500;       ///< A host must report for this long that nothing is in flight before it counts as drained.
	Millis remove_after = 60'000; ///< A failed host that has been off the host list for this long is removed.
};

/// Number of different jobs that must fail on a host before it is quarantined.
constexpr size_t cQuarantineJobs = 3;

/// Decides the next steps of hosts.
class HostLifecycle
{
public:
	HostLifecycle(const FleetState &inState, const Observations &inSeen, HostLifecycleBounds inBounds, Millis inNow)
		: state(inState), seen(inSeen), bounds(inBounds), now(inNow)
	{
	}

	/// Proposals for one host. `inAcknowledged`: every member that routes to it has applied its drain and has nothing in flight to it.
	std::vector<ProposalBody> Decide(const Host &inHost, bool inAcknowledged) const;
	/// Proposals that follow the host list: adds new hosts, removes failed ones that have been off the list for `remove_after`.
	std::vector<ProposalBody> FollowHostList() const;

private:
	/// The step to propose now, if any: health first, then drain, then quarantine.
	std::optional<StepHost> NextStep(const Host &inHost, const HostObservation &inSeen, bool inAcknowledged) const;
	std::optional<StepHost> HealthStep(const Host &inHost, const HostObservation &inSeen) const;
	std::optional<StepHost> DrainStep(const Host &inHost, const HostObservation &inSeen, bool inAcknowledged) const;
	bool IsLeaving(const Host &inHost, const HostObservation &inSeen) const;
	bool IsUnresponsive(const HostObservation &inSeen, Millis inFor) const;
	/// Proposes to stop the replicas whose tasks have ended.
	void ReportTasks(const Host &inHost, const HostObservation &inSeen, std::vector<ProposalBody> &outProposals) const;

	const FleetState &state;
	const Observations &seen;
	HostLifecycleBounds bounds;
	Millis now;
};

} // namespace Loomreach
