// What this entry host has observed of workers and of the host list: facts that change every second and never enter the log.

#pragma once

#include <Loomreach/State/FleetState.h>

namespace Loomreach
{

/// State of a task as its worker reports it.
enum class ETaskState : uint8
{
	Running,
	Finished,
	Failed
};

/// One task as its worker reports it.
struct TaskReport
{
	ReplicaKey replica;
	LogPosition generation = 0;
	ETaskState state = ETaskState::Running;
	uint32 in_flight = 0;
	Resources usage; ///< As observed; the platform reports it with a delay.
};

/// A host as the host list shows it.
struct ListedHost
{
	HostSpec spec;
	std::string pool;     ///< Pool to which the platform assigns a new host.
	bool leaving = false; ///< The platform is about to remove it.
};

/// What has been observed of one worker.
struct HostObservation
{
	Millis first_polled = 0;           ///< When this entry host began to poll it.
	std::optional<Millis> last_answer; ///< When it last answered a poll.
	uint64 boot = 0;                   ///< Changes with each reboot.
	bool leaving = false;              ///< It reports itself that it takes no new work.
	uint32 in_flight = 0;              ///< Requests and tasks that have not ended on it.
	/// Since when it has reported that nothing is in flight, while ordered to start nothing; 0: something is in flight.
	Millis quiet_since = 0;
	std::vector<TaskReport> tasks;
};

/// All observations of this entry host.
struct Observations
{
	std::map<std::string, ListedHost> listed;
	bool list_is_fresh = false;                 ///< Whether this entry host read the host list recently.
	std::map<std::string, Millis> absent_since; ///< Known hosts that are no longer on the list, and since when.
	std::set<std::string> leaving;              ///< Hosts that any entry host has seen leaving, by their own report or by the list.
	std::map<std::string, HostObservation> hosts;
};

} // namespace Loomreach
