// What callers can ask of an entry host about jobs, whatever they speak.

#pragma once

#include <Loomreach/Core/Error.h>
#include <Loomreach/Job/JobRecord.h>
#include <Loomreach/Schedule/Catalogue.h>

namespace Loomreach::Jobs
{

/// One caller's request about one queue.
struct JobCall
{
	Admission admission;    ///< The queue, and who asks.
	std::string id;         ///< Empty: about the queue itself.
	Millis deadline_ms = 0; ///< The caller waits this long for the answer.
};

/// The answer. With no error: the call was accepted, or the phase or the count is given.
struct JobOutcome
{
	EError error = EError::None;
	int come_back_s = 1; ///< With an error that may pass.
	std::optional<EJobPhase> phase;
	std::optional<uint32> waiting;
	bool close_connection = false; ///< The host is stopping: the caller should come back elsewhere.
};

/// Called once for each request.
using JobReply = std::function<void(const JobOutcome &)>;

/// An entry host as its door sees it.
class JobCalls
{
public:
	virtual ~JobCalls() = default;

	/// Whether a caller may call, and which queue it is for; `inKey`: empty if it has shown none. Otherwise the error says why not.
	virtual std::optional<Admission> Admit(std::string_view inHost, std::string_view inPath, std::string_view inKey, EError &outError) = 0;
	virtual void Submit(const JobCall &inCall, JobSpec inSpec, JobReply inReply) = 0;
	virtual void Show(const JobCall &inCall, JobReply inReply) = 0;
	virtual void Cancel(const JobCall &inCall, JobReply inReply) = 0;
	virtual void Count(const JobCall &inCall, JobReply inReply) = 0;
	/// Whether new callers should be sent here.
	virtual bool IsReady() = 0;
	virtual std::string MetricsText() = 0;
};

} // namespace Loomreach::Jobs
