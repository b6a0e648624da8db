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
	WorkerPoller(PlatformClient &ioPlatform, Millis inLease, Millis inTimeout) : platform(ioPlatform), lease(inLease), timeout(inTimeout) {}

	/// One round over all hosts that are kept here; those kept no longer are forgotten.
	void Round(const FleetState &inState, const StewardPicker &inPicker, Millis inNow);
	/// Reads the host list anew.
	void ReadHosts();
	/// What has been seen.
	const Observations &Seen() const { return this->seen; }

private:
	void PollOne(const FleetState &inState, const Host &inHost, Millis inNow);
	void OnStatus(const std::string &inHost, bool inAccepts, std::optional<WorkerStatus> inStatus);

	PlatformClient &platform;
	WorkerClient worker;
	Millis lease;
	Millis timeout;
	Observations seen;
	std::set<std::string> under_way;
	Millis list_read = 0;
};

/// What a host shall run by the accepted state.
WorkerOrder OrderFor(const FleetState &inState, const Host &inHost, Millis inLease);

} // namespace Loomreach
