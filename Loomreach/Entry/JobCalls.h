// Interface of an entry host for callers' requests about jobs, independent of the protocol.

#pragma once

#include <Loomreach/Core/Error.h>
#include <Loomreach/Job/JobRecord.h>
#include <Loomreach/Schedule/Catalogue.h>

namespace Loomreach::Jobs
{

/// One caller's request about a queue or one of its jobs.
struct JobCall
{
	Admission admission;    ///< The queue, and the team that is asking.
	std::string id;         ///< Id of the job; empty: the request is about the queue itself.
	Millis deadline_ms = 0; ///< Time that the caller waits for the answer.
};

/// The answer. Without an error: the request was accepted, or `phase` or `waiting` is set.
struct JobOutcome
{
	EError error = EError::None;
	int retry_after_s = 1; ///< Seconds after which to retry, with an error that may pass.
	std::optional<EJobPhase> phase;
	std::optional<uint32> waiting;
	bool close_connection = false; ///< The host is stopping: the caller should reconnect to another host.
};

/// Called once for each request.
using JobReply = std::function<void(const JobOutcome &)>;

/// Interface that the listener for callers uses.
class JobCalls
{
public:
	virtual ~JobCalls() = default;

	/// Checks whether a caller may use a queue, and returns the queue. `inKey`: the caller's key, empty if it sent none. Otherwise
	/// `outError` says why not.
	virtual std::optional<Admission> Admit(std::string_view inHost, std::string_view inPath, std::string_view inKey, EError &outError) = 0;
	/// Accepts a job into the queue.
	virtual void Submit(const JobCall &inCall, JobSpec inSpec, JobReply inReply) = 0;
	/// Answers with the phase of a job.
	virtual void Show(const JobCall &inCall, JobReply inReply) = 0;
	/// Accepts the cancellation of a job; also of one that does not exist.
	virtual void Cancel(const JobCall &inCall, JobReply inReply) = 0;
	/// Answers with the number of the queue's jobs that have not begun.
	virtual void Count(const JobCall &inCall, JobReply inReply) = 0;
	/// Whether the load balancer should send new callers to this host.
	virtual bool IsReady() = 0;
	virtual std::string MetricsText() = 0;
};

} // namespace Loomreach::Jobs
