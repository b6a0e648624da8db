// Stand-in for one worker: its agent (orders, leases, tasks) and its endpoint, which counts every request that it begins.

#pragma once

#include <Loomreach/Platform/WorkerClient.h>
#include <TestSupport/LogStandIn.h>

namespace Loomreach
{

/// What the endpoints of all workers have counted.
struct EndpointTally
{
	uint64 begun = 0;
	uint64 answered = 0;
	uint64 cut = 0;    ///< Requests that a reboot or stop of the worker cut.
	uint64 killed = 0; ///< Requests that a kill of the worker cut.
	uint64 refused_full = 0;
	uint64 refused_unwanted = 0; ///< Not begun: leaving, or the service's task is not here.
	uint64 most_in_flight = 0;
	std::map<std::string, uint64> begun_by_id;
};

/// The worker.
class WorkerStandIn
{
public:
	WorkerStandIn(HostSpec inSpec, std::string inPool, Millis inRebootMs, EndpointTally &ioTally);
	~WorkerStandIn();
	WorkerStandIn(const WorkerStandIn &) = delete;
	WorkerStandIn &operator=(const WorkerStandIn &) = delete;

	/// Listens; false when the port can't be had.
	bool Up();
	/// Goes down at once; what is in flight is cut.
	void Down(bool inPlanned);
	/// Goes down, and comes up again after the reboot time with another boot. Once for each boot.
	void Reboot(uint64 inBoot);
	/// Shows its own sign that it is leaving.
	void SetLeaving(bool inLeaving) { this->leaving = inLeaving; }
	/// Makes every batch task that starts here fail.
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
		Millis ends = 0; ///< Of a batch task; 0: never.
	};
	struct Running;

	static void OnOrder(SoupServer *inServer, SoupServerMessage *inMessage, const char *inPath, GHashTable *inQuery, gpointer inSelf);
	static void OnRequest(SoupServer *inServer, SoupServerMessage *inMessage, const char *inPath, GHashTable *inQuery, gpointer inSelf);
	void TakeOrder(SoupServerMessage *inMessage);
	void AnswerStatus(SoupServerMessage *inMessage);
	void Begin(SoupServerMessage *inMessage, GHashTable *inQuery);
	void RefuseRequest(SoupServerMessage *inMessage, bool inLeaving);
	void EndRequest(Running *inRunning);
	void ExpireTasks();

	HostSpec spec;
	std::string pool;
	Millis reboot_ms;
	EndpointTally &tally;
	ObjectPtr<SoupServer> server;
	std::map<std::string, Task> tasks;
	std::map<std::string, LogPosition> newest; ///< Newest generation ever seen of each replica.
	std::set<Running *> running;
	LogOffset order_offset = 0;
	bool accepts = true;
	bool leaving = false;
	bool failing = false;
	uint64 boot = 1;
	Millis lease_until = 0;
	Timer reboot_timer;
};

} // namespace Loomreach
