// A worker's agent as its published protocol shows it (docs/PLATFORM.md): one call renews the lease, sets the tasks
// that the worker shall run, and brings back what it runs and sees.

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

/// All that a worker shall run. The worker refuses one that was made on an older state than it has seen.
struct WorkerOrder
{
	LogOffset state_offset = 0;
	int64 lease_ms = 0;
	bool accepts = true; ///< Whether it may begin new requests.
	std::vector<WantedTask> tasks;
};

/// What a worker answers.
struct WorkerStatus
{
	uint64 boot = 0;
	bool leaving = false;
	uint32 in_flight = 0;
	std::vector<TaskReport> tasks;
};

/// Calls workers' agents.
class WorkerClient
{
public:
	void Send(const Address &inWorker, const WorkerOrder &inOrder, Millis inTimeout,
			  std::function<void(std::optional<WorkerStatus>)> inDone);
	/// Bytes to and from workers' agents.
	uint64 Bytes() const { return this->http.Bytes(); }

private:
	HttpClient http;
};

/// Reads a status as a worker writes it; nothing when it is not well formed.
std::optional<WorkerStatus> ParseWorkerStatus(const std::string &inBody);

/// Reads "job#index".
std::optional<ReplicaKey> ParseReplica(std::string_view inText);

} // namespace Loomreach
