// Polls the workers that this entry host keeps: renews their leases, tells them what to run, and notes what they answer.

#pragma once

#include <Loomreach/Fleet/Observations.h>
#include <Loomreach/Member/PeerTracker.h>
#include <Loomreach/Platform/PlatformClient.h>
#include <Loomreach/Platform/WorkerClient.h>

namespace Loomreach
{

/// The poller.
class WorkerPoller
{
public:
	explicit WorkerPoller(const DaemonConfig &inConfig, PlatformClient &ioPlatform) : config(inConfig), platform(ioPlatform) {}

	/// One round over all hosts that are kept here; those kept no longer are forgotten. A host whose order has changed, or that is not
	/// at work as usual, is polled at once; the others in their turn, the more seldom the more there are, so that the bytes stay bounded.
	void Round(const FleetState &inState, const StewardPicker &inPicker, Millis inNow);
	/// Reads the host list anew.
	void ReadHosts(const FleetState &inState);
	/// Takes note of hosts that some entry host has seen to be leaving.
	void SetLeaving(std::set<std::string> inLeaving) { this->seen.leaving = std::move(inLeaving); }
	/// Time between two polls of a host that is at work as usual.
	Millis Interval() const
	{
		return this->config.worker_poll_ms + static_cast<Millis>(this->seen.hosts.size()) * this->config.worker_pace_ms;
	}
	/// Silence after which a host counts as failed: no less than two polls and a half.
	Millis FailedAfter() const { return std::max(this->config.worker_failed_after_ms, this->Interval() * 5 / 2); }
	/// Lease that a poll gives: no less than three polls.
	Millis Lease() const { return std::max(this->config.worker_lease_ms, this->Interval() * 3); }
	/// Polls a host in the next round: requests to it fail.
	void Suspect(const std::string &inHost) { this->suspects.insert(inHost); }
	/// Bytes to and from workers' agents.
	uint64 Bytes() const { return this->worker.Bytes(); }
	/// What has been seen.
	const Observations &Seen() const { return this->seen; }

private:
	/// When a host was polled, and with which order.
	struct Turn
	{
		Millis polled = 0;
		uint64 order_hash = 0;
	};

	bool IsDue(const Host &inHost, uint64 inOrderHash, Millis inNow);
	void PollOne(const FleetState &inState, const Host &inHost, Millis inNow);
	void NoteAbsent(const FleetState &inState, Millis inNow);
	void OnStatus(const std::string &inHost, bool inAccepts, std::optional<WorkerStatus> inStatus);

	const DaemonConfig &config;
	PlatformClient &platform;
	WorkerClient worker;
	Observations seen;
	std::set<std::string> under_way;
	std::set<std::string> suspects;
	std::map<std::string, Turn> turns;
	Millis list_read = 0;
};

/// What a host shall run by the accepted state.
WorkerOrder OrderFor(const FleetState &inState, const Host &inHost, Millis inLease);

} // namespace Loomreach
