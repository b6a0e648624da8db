// Client of a worker's agent by its published protocol (docs/PLATFORM.md): one call renews the worker's lease, sets the tasks that it shall
// run, and returns its status.

#pragma once

#include <Loomreach/Fleet/Observations.h>
#include <Loomreach/Platform/HttpClient.h>

namespace Loomreach
{

/// A task that a worker shall run.
struct WantedTask
{
	ReplicaKey replica;
	LogPosition generation = 0;
	bool is_service = true;
	int64 run_time_s = 0;
};

/// The complete set of tasks that a worker shall run. A worker refuses an order that is based on an older state than an earlier one.
struct WorkerOrder
{
	LogOffset state_offset = 0;
	int64 lease_ms = 0;
	bool accepts = true; ///< Whether the worker may start new requests.
	std::vector<WantedTask> tasks;
};

/// Status that a worker returns.
struct WorkerStatus
{
	uint64 boot = 0;
	bool leaving = false;
	uint32 in_flight = 0;
	std::vector<TaskReport> tasks;
};

/// Calls the agents of workers.
class WorkerClient
{
public:
	/// Sends an order; `inDone` gets the worker's status, or nothing if no valid answer arrived.
	void Send(const Address &inWorker, const WorkerOrder &inOrder, Millis inTimeout,
			  std::function<void(std::optional<WorkerStatus>)> inDone);
	/// HTTP bytes to and from workers' agents.
	uint64 Bytes() const { return this->http.Bytes(); }

private:
	HttpClient http;
};

/// Decodes a worker's status; fails with `EError::Corrupt` if it is malformed.
std::optional<WorkerStatus> ParseWorkerStatus(const std::string &inBody);

/// Parses "job#index"; fails with `EError::Corrupt` for anything else.
std::optional<ReplicaKey> ParseReplica(std::string_view inText);

} // namespace Loomreach
