// Backs off jobs that fail on many hosts, so that a broken job is not restarted all over the fleet. Local to the assigned planner: the
// failures are part of the accepted state, the wait is measured by the planner's own clock. Pure: does no I/O, time is passed in.

#pragma once

#include <Loomreach/State/FleetState.h>

namespace Loomreach
{

/// Number of different hosts on which a job must have failed before it backs off.
constexpr size_t cBackoffHosts = 3;

/// The back-off of all jobs.
class JobBackoff
{
public:
	/// Records the failures in the state, and returns the jobs that back off now.
	std::set<std::string> Waiting(const FleetState &inState, Millis inNow);

private:
	/// One job's back-off.
	struct Entry
	{
		LogPosition last_failure = 0;
		uint32 failures = 0; ///< Counted since it began to back off; each doubles the wait.
		Millis until = 0;
	};

	std::map<std::string, Entry> entries;
};

} // namespace Loomreach
