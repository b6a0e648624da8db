// Admission, queueing, routing and retries of the requests of one entry host. Pure: events and time in, decisions out. Every request ends
// in exactly one final decision: Finish or Refuse.

#pragma once

#include <Loomreach/Core/Error.h>
#include <Loomreach/Request/EndpointTable.h>

namespace Loomreach
{

/// Identifies a request within its entry host.
using RequestId = uint64;

/// A request as it arrives.
struct RequestSpec
{
	RequestId id = 0;
	std::string job;         ///< Path of the service's job.
	int64 priority = 0;      ///< The service's priority, or a lower one that the caller asked for.
	Millis deadline = 0;     ///< Time by which the request must have ended.
	bool repeatable = false; ///< May be sent again even if an earlier attempt may have run.
};

/// What to do with a request.
enum class EDecision : uint8
{
	Start,  ///< Send it to the given endpoint.
	Finish, ///< Its answer is final.
	Refuse  ///< Answer with the given error.
};

/// One decision.
struct Decision
{
	RequestId request = 0;
	EDecision kind = EDecision::Refuse;
	std::string host;            ///< With Start.
	Address address;             ///< With Start.
	uint32 attempt = 0;          ///< With Start: number of the attempt, from 1.
	EError error = EError::None; ///< With Refuse.
	uint32 retry_after_s = 0;    ///< With Refuse, for errors after which the caller should retry.
};

/// Reason for a retry, for counters.
enum class ERetry : uint8
{
	EndpointFull,
	ConnectRefused,
	AnswerBroke,
	AnswerLate,
	BudgetEmpty, ///< A retry was due, but the retry budget was used up.
	Count
};

/// Name of a reason in metrics.
std::string_view NameOfRetry(ERetry inRetry);

/// Settings of a service that the dispatcher needs.
struct ServicePolicy
{
	int64 priority = 0;
	uint32 queue_limit = 0;
	uint32 queue_share = 0; ///< Percent of starts reserved for it while higher priorities are waiting.
	bool is_long = false;
	uint32 retry_budget_percent = 0;
};

/// Decides about requests; see the head of the file.
class Dispatcher
{
public:
	explicit Dispatcher(std::string inZone) : zone(std::move(inZone)) {}

	/// Applies services and endpoints of the accepted state. Requests of services that are no longer declared are refused.
	void Update(const FleetState &inState, const std::set<std::string> &inLeaving, Millis inNow, std::vector<Decision> &outDecisions);
	/// Call when a request arrives.
	void Arrive(RequestSpec inSpec, Millis inNow, std::vector<Decision> &outDecisions);
	/// Call when an attempt has ended. `inRelayed`: part of the answer has already gone to the caller, so no other attempt may follow.
	void Ended(RequestId inRequest, EAttempt inResult, bool inRelayed, Millis inNow, std::vector<Decision> &outDecisions);
	/// Call when the caller has disconnected. The end of an attempt in flight must still be reported by Ended.
	void Abandon(RequestId inRequest);
	/// Refuses waiting requests that can no longer start in time, and starts what can start.
	void Tick(Millis inNow, std::vector<Decision> &outDecisions);

	EndpointTable &Endpoints() { return this->endpoints; }
	const EndpointTable &Endpoints() const { return this->endpoints; }
	/// Requests of a job that are waiting or in flight: the demand reported to other entry hosts.
	uint32 Demand(const std::string &inJob) const;
	/// Number of waiting requests over all services.
	size_t Waiting() const;
	/// Number of requests that are waiting or in flight.
	size_t Open() const { return this->requests.size(); }
	/// Retries by reason.
	const std::array<uint64, static_cast<size_t>(ERetry::Count)> &Retries() const { return this->retries; }
	/// Attempts started, first ones and retries.
	uint64 Attempts() const { return this->attempts; }

private:
	/// A request that is waiting or in flight. Invariant: either it waits in exactly one queue, or `host` names the endpoint of its
	/// attempt.
	struct Request
	{
		RequestSpec spec;
		uint64 arrival = 0; ///< Sequence number of its arrival.
		Millis arrived = 0;
		Millis latest_start = 0; ///< While it waits: a later start could not meet its deadline.
		Millis started = 0;      ///< Start of the attempt in flight.
		std::string host;        ///< Endpoint of the attempt in flight; empty: waiting.
		uint32 attempts = 0;
		std::set<std::string> tried; ///< Hosts of earlier attempts; cleared when an endpoint had no free slot.
		bool abandoned = false;      ///< The caller has disconnected.
		bool may_have_run = false;   ///< An earlier attempt broke off or timed out, so the request can no longer be reported as not run.
	};
	/// The queue of one service. Higher priority first, then older first.
	struct Queue
	{
		ServicePolicy policy;
		std::map<std::pair<int64, uint64>, RequestId> waiting;
		double credit = 0.0;       ///< Starts that it is owed by its queue share.
		double retry_tokens = 0.0; ///< Retries that it may still make; each request adds a part.
		double starts_per_s = 0.0; ///< Smoothed rate at which its requests start; 0: none yet.
		Millis rate_since = 0;
		uint32 rate_starts = 0;
		uint32 in_flight = 0;
		double duration_ms = 0.0;  ///< Smoothed duration of answered attempts; 0: none yet.
		double deviation_ms = 0.0; ///< Smoothed deviation from it.
	};

	void Enqueue(Request &ioRequest);
	void Dequeue(const Request &inRequest);
	/// Makes a place in the queue: if it is full, refuses the youngest waiting request of the lowest priority. False: none has a lower
	/// priority.
	bool EvictLowerPriority(Queue &ioQueue, const Request &inRequest, std::vector<Decision> &outDecisions);
	/// Starts one waiting request; false if none can start.
	bool StartNext(Millis inNow, std::vector<Decision> &outDecisions);
	void StartAll(Millis inNow, std::vector<Decision> &outDecisions);
	void Start(Request &ioRequest, Endpoint &ioEndpoint, Millis inNow, std::vector<Decision> &outDecisions);
	void Refuse(RequestId inRequest, EError inError, std::vector<Decision> &outDecisions);
	/// Adds to the credit of the lower-priority services on the host for a start of another service.
	void PayCredits(const Queue &inStarted, const std::string &inHost);
	/// Decides whether another attempt follows, and spends a retry token if it costs one.
	bool MayRetry(Request &ioRequest, EAttempt inResult, bool inRelayed, Millis inNow);
	/// Time until `inAhead` requests have been started, ms; 0 if the rate is unknown.
	Millis ExpectedWait(const Queue &inQueue, size_t inAhead) const;
	void RecordStart(Queue &ioQueue, Millis inNow);
	void RecordDuration(Queue &ioQueue, Millis inDuration);
	/// Latest time at which the request can start and still meet its deadline.
	Millis LatestStart(const Queue &inQueue, const Request &inRequest) const;
	bool SpendRetryToken(Queue &ioQueue);

	std::string zone;
	EndpointTable endpoints;
	std::map<std::string, Queue> queues; ///< By job path.
	std::unordered_map<RequestId, Request> requests;
	std::set<std::pair<Millis, RequestId>> deadlines; ///< Latest starts of waiting requests.
	uint64 arrivals = 0;
	uint64 attempts = 0;
	std::array<uint64, static_cast<size_t>(ERetry::Count)> retries{};
};

} // namespace Loomreach
