// Decides the steps of single hosts from what has been seen of them: healthy, failed, drained, out, returned, quarantine,
// and reports how their tasks ended. Run for each host by one entry host of its availability zone. Pure.

#pragma once

#include <Loomreach/Fleet/Observations.h>

namespace Loomreach
{

/// Bounds by which observations are judged, ms.
struct KeeperBounds
{
	Millis failed_after = 5000;   ///< Silence after which a host counts as failed.
	Millis quiet_for = 500;       ///< How long a host must say that nothing is in flight.
	Millis remove_after = 60'000; ///< Silence after which a failed host that the list no longer holds is removed.
};

/// Different jobs that must fail on a host before it is quarantined.
constexpr size_t cQuarantineJobs = 3;

/// What the keeper decides for one host.
class HostKeeper
{
public:
	HostKeeper(const FleetState &inState, const Observations &inSeen, KeeperBounds inBounds, Millis inNow)
		: state(inState), seen(inSeen), bounds(inBounds), now(inNow)
	{
	}

	/// Proposals for one host. `inAcknowledged`: every member that routes to it has taken note of its drain and has nothing in flight to
	/// it.
	std::vector<ProposalBody> Decide(const Host &inHost, bool inAcknowledged) const;
	/// Hosts on the list that are not known yet, and known ones that have failed and been gone from the list for long.
	std::vector<ProposalBody> FollowList() const;

private:
	std::optional<StepHost> NextStep(const Host &inHost, const HostObservation &inSeen, bool inAcknowledged) const;
	std::optional<StepHost> HealthStep(const Host &inHost, const HostObservation &inSeen) const;
	std::optional<StepHost> DrainStep(const Host &inHost, const HostObservation &inSeen, bool inAcknowledged) const;
	bool IsLeaving(const Host &inHost, const HostObservation &inSeen) const;
	bool IsSilent(const HostObservation &inSeen, Millis inFor) const;
	void ReportTasks(const Host &inHost, const HostObservation &inSeen, std::vector<ProposalBody> &outProposals) const;

	const FleetState &state;
	const Observations &seen;
	KeeperBounds bounds;
	Millis now;
};

} // namespace Loomreach
