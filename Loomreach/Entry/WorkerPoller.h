// Polls the workers of the hosts that are assigned to this entry host. A poll renews the worker's lease and carries the order of what it is
// to run; the answer says what runs there. Also reads the host list.

#pragma once

#include <Loomreach/Fleet/Observations.h>
#include <Loomreach/Member/PeerTracker.h>
#include <Loomreach/Platform/PlatformClient.h>
#include <Loomreach/Platform/WorkerClient.h>

namespace Loomreach
{

/// Polls workers and records what they answer.
class WorkerPoller
{
public:
	explicit WorkerPoller(const DaemonConfig &inConfig, PlatformClient &ioPlatform) : config(inConfig), platform(ioPlatform) {}

	/// Polls all hosts that are due, and removes what was seen of hosts that are no longer assigned to this entry host. A host is
	/// due at once when its order has changed; `worker_poll_ms` after its last poll when it is not available, requests to it fail or the
	/// last order may not have arrived; otherwise after Interval().
	void PollWorkers(const FleetState &inState, const PlannerAssignment &inAssignment, Millis inNow);
	/// Reads the host list from the platform.
	void ReadHosts(const FleetState &inState);
	/// Sets the hosts that any entry host has seen to be leaving.
	void SetLeaving(std::set<std::string> inLeaving) { this->seen.leaving = std::move(inLeaving); }
	/// Time between two polls of an available host, ms. It grows with the number of hosts, so that the bytes per second stay bounded.
	Millis Interval() const
	{
		return this->config.worker_poll_ms + static_cast<Millis>(this->seen.hosts.size()) * this->config.worker_pace_ms;
	}
	/// Time without an answer after which a host counts as failed, ms: at least two and a half poll intervals.
	Millis FailedAfter() const { return std::max(this->config.worker_failed_after_ms, this->Interval() * 5 / 2); }
	/// Lease that a poll grants, ms: at least three poll intervals.
	Millis Lease() const { return std::max(this->config.worker_lease_ms, this->Interval() * 3); }
	/// Has a host polled after `worker_poll_ms` instead of Interval(), since requests to it fail or it says that it is leaving. Valid for
	/// one round.
	void PollSoon(const std::string &inHost) { this->poll_soon.insert(inHost); }
	/// Bytes sent to and received from the workers' agents.
	uint64 Bytes() const { return this->worker.Bytes(); }
	/// What has been seen of the hosts.
	const Observations &Seen() const { return this->seen; }

private:
	/// The last poll of a host.
	struct LastPoll
	{
		Millis polled = 0;     ///< Time of the poll.
		uint64 order_hash = 0; ///< Of the order it carried; 0: none has arrived.
	};

	bool IsDue(const Host &inHost, uint64 inOrderHash, Millis inNow);
	void PollOne(const FleetState &inState, const Host &inHost, Millis inNow);
	/// Records since when hosts of the accepted state are missing from the host list.
	void UpdateAbsentHosts(const FleetState &inState, Millis inNow);
	void OnStatus(const std::string &inHost, bool inAccepts, std::optional<WorkerStatus> inStatus);

	const DaemonConfig &config;
	PlatformClient &platform;
	WorkerClient worker;
	Observations seen;
	std::set<std::string> polls_in_progress; ///< Hosts whose last poll has not been answered.
	std::set<std::string> poll_soon;         ///< Arguments of PollSoon() since the last round.
	std::map<std::string, LastPoll> last_polls;
	Millis host_list_read = 0; ///< Time at which the host list was last read; 0: never.
};

/// What a host is to run by the accepted state.
WorkerOrder OrderFor(const FleetState &inState, const Host &inHost, Millis inLease);

} // namespace Loomreach
