// What this entry host has seen of workers and the host list: facts that change every second and never enter the log.

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
	Resources usage; ///< As seen, with the platform's lag.
};

/// What the host list says of a host.
struct ListedHost
{
	HostSpec spec;
	std::string pool;     ///< Pool that the platform names for a new host.
	bool leaving = false; ///< The platform is about to take it away.
};

/// What has been seen of one worker.
struct HostObservation
{
	Millis first_polled = 0;           ///< When this entry host began to poll it.
	std::optional<Millis> last_answer; ///< When it last answered a poll.
	uint64 boot = 0;                   ///< Changes with each reboot.
	bool leaving = false;              ///< Its own sign that it takes no new work.
	uint32 in_flight = 0;              ///< Requests and tasks that it has not ended.
	Millis quiet_since = 0; ///< Since when it has answered, begin-nothing orders in force, that nothing is in flight; 0: not quiet.
	std::vector<TaskReport> tasks;
};

/// All that this entry host has seen.
struct Observations
{
	std::map<std::string, ListedHost> listed;
	bool list_is_fresh = false;                 ///< The host list was read lately, by this entry host.
	std::map<std::string, Millis> absent_since; ///< Known hosts that the list no longer holds.
	std::set<std::string> leaving;              ///< Hosts that some entry host has seen to be leaving, by their own sign or the list.
	std::map<std::string, HostObservation> hosts;
};

} // namespace Loomreach
