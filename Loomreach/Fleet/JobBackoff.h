// Backs off jobs that fail on many hosts, so that a broken job does not churn through the fleet. Local to the steward: the failures are in
// the accepted state, the waiting is by its own clock. Pure.

#pragma once

#include <Loomreach/State/FleetState.h>

namespace Loomreach
{

/// Different hosts on which a job must have failed before it waits.
constexpr size_t cBackoffHosts = 3;

/// The back-off of all jobs.
class JobBackoff
{
public:
	/// Takes note of failures in the state, and returns the jobs that wait now.
	std::set<std::string> Waiting(const FleetState &inState, Millis inNow);

private:
	/// One job's back-off.
	struct Entry
	{
		LogPosition last_failure = 0;
		uint32 failures = 0; ///< Seen since it began to back off; doubles the wait.
		Millis until = 0;
	};

	std::map<std::string, Entry> entries;
};

} // namespace Loomreach
