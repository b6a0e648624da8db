// Fake of one worker: its agent, which takes orders and keeps leases and tasks, and its endpoint, which counts every request that it
// begins, so that a test can prove that no request was begun twice.

#pragma once

#include <Loomreach/Platform/WorkerClient.h>
#include <TestSupport/LogStandIn.h>

namespace Loomreach
{

/// Counters over the endpoints of all workers.
struct EndpointCounters
{
	uint64 begun = 0;
	uint64 answered = 0;
	uint64 interrupted = 0;         ///< Requests interrupted by a planned stop or reboot of the worker.
	uint64 interrupted_by_kill = 0; ///< Requests interrupted by a kill of the worker.
	uint64 refused_full = 0;        ///< Not begun: all slots were in use.
	uint64 refused_unwanted = 0;    ///< Not begun: the worker is leaving, or does not run the service.
	uint64 most_in_flight = 0;
	std::map<std::string, uint64> begun_by_id;
};

/// The worker's agent and endpoint on one port.
class WorkerStandIn
{
public:
	WorkerStandIn(HostSpec inSpec, std::string inPool, Millis inRebootMs, EndpointCounters &ioCounters);
	~WorkerStandIn();
	WorkerStandIn(const WorkerStandIn &) = delete;
	WorkerStandIn &operator=(const WorkerStandIn &) = delete;

	/// Starts listening; false if the port is not available.
	bool Start();
	/// Stops at once and closes the connections of requests in flight. `inPlanned`: counted as `cut`, else as `killed`.
	void Stop(bool inPlanned);
	/// Stops, and starts again after the reboot time under the next boot number. Ignored unless `inBoot` is the current boot number.
	void Reboot(uint64 inBoot);
	/// Sets whether the worker reports that it is leaving.
	void SetLeaving(bool inLeaving) { this->leaving = inLeaving; }
	/// Sets whether every batch task that starts here fails.
	void SetFailing(bool inFailing) { this->failing = inFailing; }

	const HostSpec &Spec() const { return this->spec; }
	const std::string &Pool() const { return this->pool; }
	bool IsLeaving() const { return this->leaving; }

private:
	struct Task
	{
		LogPosition generation = 0;
		std::string service; ///< Empty for a batch task.
		ETaskState state = ETaskState::Running;
		Millis finishes_at = 0; ///< When a batch task finishes; 0: never.
	};
	struct BegunRequest;

	static void OnOrder(SoupServer *inServer, SoupServerMessage *inMessage, const char *inPath, GHashTable *inQuery, gpointer inSelf);
	static void OnRequest(SoupServer *inServer, SoupServerMessage *inMessage, const char *inPath, GHashTable *inQuery, gpointer inSelf);
	void HandleOrder(SoupServerMessage *inMessage);
	void AnswerStatus(SoupServerMessage *inMessage);
	void BeginRequest(SoupServerMessage *inMessage, GHashTable *inQuery);
	void RefuseRequest(SoupServerMessage *inMessage, bool inLeaving);
	void RemoveRequest(BegunRequest *inRequest);
	void ExpireTasks();

	HostSpec spec;
	std::string pool;
	Millis reboot_ms;
	EndpointCounters &counters;
	ObjectPtr<SoupServer> server;
	std::map<std::string, Task> tasks;
	std::map<std::string, LogPosition> newest_generation; ///< By replica: the newest generation that any order named.
	std::set<BegunRequest *> in_flight;
	LogOffset order_offset = 0;
	bool accepts = true;
	bool leaving = false;
	bool failing = false;
	uint64 boot = 1;
	Millis lease_until = 0;
	Timer reboot_timer;
};

} // namespace Loomreach
