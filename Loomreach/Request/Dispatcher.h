// Admission, queues, routing and retries of one entry host. Pure: events and time in, decisions out.
// Every request ends in exactly one final decision: Finish or Refuse.

#pragma once

#include <Loomreach/Core/Error.h>
#include <Loomreach/Request/EndpointTable.h>

namespace Loomreach
{

/// Names a request within its entry host.
using RequestId = uint64;

/// A request as it arrives.
struct RequestSpec
{
	RequestId id = 0;
	std::string job;         ///< Path of the service's job.
	int64 priority = 0;      ///< The service's own, or lower by the caller's wish.
	Millis deadline = 0;     ///< Time by which it must have ended.
	bool repeatable = false; ///< May be sent again although it may have run.
};

/// What to do about a request.
enum class EDecision : uint8
{
	Start,  ///< Send it to the endpoint named.
	Finish, ///< Its answer is final.
	Refuse  ///< Answer with the error named.
};

/// One decision.
struct Decision
{
	RequestId request = 0;
	EDecision kind = EDecision::Refuse;
	std::string host;            ///< With Start.
	Address address;             ///< With Start.
	uint32 attempt = 0;          ///< With Start: 1 for the first.
	EError error = EError::None; ///< With Refuse.
	uint32 retry_after_s = 0;    ///< With Refuse, where the table says to come back.
};

/// Why an attempt was repeated, for counters.
enum class ERetry : uint8
{
	EndpointFull,
	ConnectRefused,
	AnswerBroke,
	AnswerLate,
	BudgetEmpty, ///< A retry that was due and not made.
	Count
};

std::string_view NameOfRetry(ERetry inRetry);

/// What the settings say of a service, as the dispatcher needs it.
struct ServicePolicy
{
	int64 priority = 0;
	uint32 queue_limit = 0;
	uint32 queue_share = 0; ///< Percent of starts kept for it while higher priorities are waiting.
	bool is_long = false;
	uint32 retry_budget_percent = 0;
};

/// Admission and dispatch.
class Dispatcher
{
public:
	explicit Dispatcher(std::string inZone) : zone(std::move(inZone)) {}

	/// Takes over services and endpoints from the accepted state.
	void Update(const FleetState &inState, const std::set<std::string> &inLeaving, Millis inNow, std::vector<Decision> &outDecisions);
	/// A request arrives.
	void Arrive(RequestSpec inSpec, Millis inNow, std::vector<Decision> &outDecisions);
	/// An attempt has ended. `inRelayed`: part of the answer has already gone to the caller, so no other attempt may follow.
	void Ended(RequestId inRequest, EAttempt inResult, bool inRelayed, Millis inNow, std::vector<Decision> &outDecisions);
	/// The caller went away. An attempt in flight still has to be reported by Ended.
	void Abandon(RequestId inRequest);
	/// Time passes: queued requests whose deadline has come are refused.
	void Tick(Millis inNow, std::vector<Decision> &outDecisions);

	EndpointTable &Endpoints() { return this->endpoints; }
	const EndpointTable &Endpoints() const { return this->endpoints; }
	/// Requests of a job that wait or are in flight: the demand that is reported to other entry hosts.
	uint32 Demand(const std::string &inJob) const;
	/// Requests that wait, over all services.
	size_t Waiting() const;
	/// Requests that wait or are in flight.
	size_t Open() const { return this->requests.size(); }
	/// Retries by reason.
	const std::array<uint64, static_cast<size_t>(ERetry::Count)> &Retries() const { return this->retries; }
	/// Attempts started, first ones and retries.
	uint64 Attempts() const { return this->attempts; }

private:
	/// A request that is waiting or in flight. Invariant: it waits in exactly one queue, or `host` names its attempt, never both.
	struct Request
	{
		RequestSpec spec;
		uint64 arrival = 0;
		Millis arrived = 0;
		Millis latest_start = 0; ///< While it waits: after this time it could not end in time.
		Millis started = 0;      ///< Of the attempt in flight.
		std::string host;        ///< Endpoint of the attempt in flight; empty: waiting.
		uint32 attempts = 0;
		std::set<std::string> tried;
		bool abandoned = false;
		bool may_have_run = false; ///< An earlier attempt broke off: "not run" can no longer be said.
	};
	/// One service's queue. Greater priority first, then older first.
	struct Queue
	{
		ServicePolicy policy;
		std::map<std::pair<int64, uint64>, RequestId> waiting;
		double credit = 0.0; ///< Starts owed to it by its queue share.
		double retry_tokens = 0.0;
		double starts_per_s = 0.0; ///< Smoothed rate at which it empties.
		Millis rate_since = 0;
		uint32 rate_starts = 0;
		uint32 in_flight = 0;
		double duration_ms = 0.0;  ///< Smoothed time of an answered attempt; 0: none yet.
		double deviation_ms = 0.0; ///< Smoothed distance from it.
	};

	void Enqueue(Request &ioRequest);
	void Dequeue(const Request &inRequest);
	bool MakePlace(Queue &ioQueue, const Request &inRequest, std::vector<Decision> &outDecisions);
	bool StartNext(Millis inNow, std::vector<Decision> &outDecisions);
	void StartAll(Millis inNow, std::vector<Decision> &outDecisions);
	void Start(Request &ioRequest, Endpoint &ioEndpoint, Millis inNow, std::vector<Decision> &outDecisions);
	void Refuse(RequestId inRequest, EError inError, std::vector<Decision> &outDecisions);
	void PayCredits(const Queue &inStarted, const std::string &inHost);
	bool MayRetry(Request &ioRequest, EAttempt inResult, bool inRelayed, Millis inNow);
	Millis ExpectedWait(const Queue &inQueue, size_t inAhead) const;
	void NoteStart(Queue &ioQueue, Millis inNow);
	void NoteDuration(Queue &ioQueue, Millis inDuration);
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
