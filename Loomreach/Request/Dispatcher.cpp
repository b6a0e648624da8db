// Admission, queueing, dispatch and retry decisions.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/EnumTable.h>
#include <Loomreach/Core/Invariant.h>
#include <Loomreach/Request/Dispatcher.h>

#include <cmath>

namespace Loomreach
{

static constexpr uint32 cMaxAttempts = 16;
static constexpr double cMaxRetryTokens = 10.0;
static constexpr double cInitialRetryTokens = 3.0;
static constexpr Millis cRateWindowMs = 1000;
static constexpr double cRateSmoothing = 0.5;
static constexpr uint32 cMaxRetryAfterS = 60;
static constexpr uint32 cDefaultRetryAfterS = 1;
static constexpr double cMaxCredit = 2.0;
static constexpr double cDurationGain = 1.0 / 8;
static constexpr double cDeviationGain = 1.0 / 4;

static constexpr std::array<EnumName<ERetry>, static_cast<size_t>(ERetry::Count)> cRetryNames = {{
	{ERetry::EndpointFull, "endpoint-full"},
	{ERetry::ConnectRefused, "connect-refused"},
	{ERetry::AnswerBroke, "answer-broke"},
	{ERetry::AnswerLate, "answer-late"},
	{ERetry::BudgetEmpty, "budget-empty"},
}};

std::string_view NameOfRetry(ERetry inRetry) { return NameOf(cRetryNames, inRetry); }

void Dispatcher::Update(const FleetState &inState, const std::set<std::string> &inLeaving, Millis inNow,
						std::vector<Decision> &outDecisions)
{
	this->endpoints.Update(inState, inLeaving);
	for (const auto &[path, job] : inState.jobs)
	{
		if (!job.is_service)
			continue;
		auto [queue, is_new] = this->queues.try_emplace(path);
		queue->second.policy = {job.priority, job.queue_limit, job.queue_share, job.long_requests, job.retry_budget_percent};
		if (is_new)
			queue->second.retry_tokens = cInitialRetryTokens;
	}
	// Waiting requests of a service that is no longer declared are refused; its queue is removed after its last attempt
	std::vector<RequestId> orphans;
	for (const auto &[path, queue] : this->queues)
		if (auto job = inState.jobs.find(path); job == inState.jobs.end() || !job->second.is_service)
			for (const auto &[key, id] : queue.waiting)
				orphans.push_back(id);
	for (RequestId id : orphans)
		this->Refuse(id, EError::NoSuchService, outDecisions);
	std::erase_if(this->queues,
				  [&inState](const auto &inEntry)
				  {
					  auto job = inState.jobs.find(inEntry.first);
					  const bool declared = job != inState.jobs.end() && job->second.is_service;
					  return !declared && inEntry.second.waiting.empty() && inEntry.second.in_flight == 0;
				  });
	this->StartAll(inNow, outDecisions);
}

void Dispatcher::Enqueue(Request &ioRequest)
{
	Queue &queue = this->queues.find(ioRequest.spec.job)->second;
	queue.waiting.emplace(std::pair(-ioRequest.spec.priority, ioRequest.arrival), ioRequest.spec.id);
	ioRequest.latest_start = this->LatestStart(queue, ioRequest);
	this->deadlines.emplace(ioRequest.latest_start, ioRequest.spec.id);
}

void Dispatcher::Dequeue(const Request &inRequest)
{
	Queue &queue = this->queues.find(inRequest.spec.job)->second;
	queue.waiting.erase({-inRequest.spec.priority, inRequest.arrival});
	this->deadlines.erase({inRequest.latest_start, inRequest.spec.id});
}

Millis Dispatcher::ExpectedWait(const Queue &inQueue, size_t inAhead) const
{
	// Without a rate so far there is no evidence for a refusal
	if (inQueue.starts_per_s <= 0.0)
		return 0;
	return static_cast<Millis>(1000.0 * static_cast<double>(inAhead) / inQueue.starts_per_s);
}

bool Dispatcher::EvictLowerPriority(Queue &ioQueue, const Request &inRequest, std::vector<Decision> &outDecisions)
{
	if (ioQueue.waiting.size() < ioQueue.policy.queue_limit)
		return true;
	if (ioQueue.waiting.empty())
		return false;
	// The youngest request of the lowest priority is evicted, if that priority is lower
	const auto last = std::prev(ioQueue.waiting.end());
	if (-last->first.first >= inRequest.spec.priority)
		return false;
	this->Refuse(last->second, EError::PushedOut, outDecisions);
	return true;
}

void Dispatcher::Arrive(RequestSpec inSpec, Millis inNow, std::vector<Decision> &outDecisions)
{
	const RequestId id = inSpec.id;
	LOOM_INVARIANT(this->requests.count(id) == 0, "a request arrives once");
	auto found = this->queues.find(inSpec.job);
	Request &request = this->requests[id];
	request.spec = std::move(inSpec);
	request.arrival = ++this->arrivals;
	request.arrived = inNow;
	if (found == this->queues.end())
		return this->Refuse(id, EError::NoSuchService, outDecisions);
	Queue &queue = found->second;
	queue.retry_tokens = std::min(cMaxRetryTokens, queue.retry_tokens + queue.policy.retry_budget_percent / 100.0);
	if (!this->endpoints.HasAny(request.spec.job))
		return this->Refuse(id, EError::NoEndpoint, outDecisions);
	// Ahead of it are all waiting requests of the same or a higher priority
	const auto behind = queue.waiting.upper_bound({-request.spec.priority, request.arrival});
	const size_t ahead = static_cast<size_t>(std::distance(queue.waiting.begin(), behind));
	if (ahead > 0 && inNow + this->ExpectedWait(queue, ahead) >= this->LatestStart(queue, request))
		return this->Refuse(id, EError::DeadlineUnmet, outDecisions);
	this->Enqueue(request);
	this->StartAll(inNow, outDecisions);
	// A request that could not start waits only if its queue has a free place
	auto still = this->requests.find(id);
	if (still == this->requests.end() || !still->second.host.empty() || queue.waiting.size() <= queue.policy.queue_limit)
		return;
	this->Dequeue(still->second);
	if (!this->EvictLowerPriority(queue, still->second, outDecisions))
		return this->Refuse(id, EError::QueueFull, outDecisions);
	this->Enqueue(still->second);
}

void Dispatcher::RecordStart(Queue &ioQueue, Millis inNow)
{
	++ioQueue.rate_starts;
	const Millis window = inNow - ioQueue.rate_since;
	if (window < cRateWindowMs)
		return;
	const double rate = 1000.0 * ioQueue.rate_starts / static_cast<double>(window);
	ioQueue.starts_per_s = ioQueue.starts_per_s <= 0.0 ? rate : cRateSmoothing * rate + (1.0 - cRateSmoothing) * ioQueue.starts_per_s;
	ioQueue.rate_since = inNow;
	ioQueue.rate_starts = 0;
}

void Dispatcher::RecordDuration(Queue &ioQueue, Millis inDuration)
{
	const double duration = static_cast<double>(inDuration);
	if (ioQueue.duration_ms <= 0.0)
	{
		ioQueue.duration_ms = duration;
		ioQueue.deviation_ms = duration / 2;
		return;
	}
	// Smoothed mean and deviation, as TCP estimates round-trip times
	ioQueue.deviation_ms += cDeviationGain * (std::abs(duration - ioQueue.duration_ms) - ioQueue.deviation_ms);
	ioQueue.duration_ms += cDurationGain * (duration - ioQueue.duration_ms);
}

Millis Dispatcher::LatestStart(const Queue &inQueue, const Request &inRequest) const
{
	// A request that starts too late to meet its deadline is wasted work. At most half of its time is reserved for running, so that a
	// wrong estimate cannot refuse every request
	const Millis half = (inRequest.spec.deadline - inRequest.arrived) / 2;
	const Millis needed = inQueue.policy.is_long ? 0 : static_cast<Millis>(inQueue.duration_ms + 2 * inQueue.deviation_ms);
	return inRequest.spec.deadline - std::min(needed, half);
}

void Dispatcher::Start(Request &ioRequest, Endpoint &ioEndpoint, Millis inNow, std::vector<Decision> &outDecisions)
{
	Queue &queue = this->queues.find(ioRequest.spec.job)->second;
	LOOM_INVARIANT(ioRequest.host.empty(), "a request has one attempt at a time");
	LOOM_INVARIANT(inNow < ioRequest.spec.deadline, "nothing starts after its deadline");
	this->endpoints.Started(ioEndpoint, queue.policy.is_long);
	ioRequest.host = ioEndpoint.host;
	ioRequest.started = inNow;
	ioRequest.tried.insert(ioEndpoint.host);
	++ioRequest.attempts;
	++queue.in_flight;
	++this->attempts;
	this->RecordStart(queue, inNow);
	Decision decision;
	decision.request = ioRequest.spec.id;
	decision.kind = EDecision::Start;
	decision.host = ioEndpoint.host;
	decision.address = ioEndpoint.address;
	decision.attempt = ioRequest.attempts;
	outDecisions.push_back(std::move(decision));
}

void Dispatcher::PayCredits(const Queue &inStarted, const std::string &inHost)
{
	const Endpoint *endpoint = this->endpoints.Find(inHost);
	for (const std::string &job : endpoint->services)
	{
		auto found = this->queues.find(job);
		if (found == this->queues.end())
			continue;
		Queue &queue = found->second;
		if (queue.waiting.empty() || queue.policy.priority >= inStarted.policy.priority)
			continue;
		const double share = queue.policy.queue_share / 100.0;
		queue.credit = std::min(cMaxCredit, queue.credit + share);
	}
}

bool Dispatcher::StartNext(Millis inNow, std::vector<Decision> &outDecisions)
{
	// Services that are owed a start by their share first, then by the priority of their first request
	std::vector<std::pair<std::pair<int, int64>, Queue *>> order;
	for (auto &[path, queue] : this->queues)
		if (!queue.waiting.empty())
			order.emplace_back(std::pair(queue.credit >= 1.0 ? 0 : 1, queue.waiting.begin()->first.first), &queue);
	std::stable_sort(order.begin(), order.end(), [](const auto &inA, const auto &inB) { return inA.first < inB.first; });
	for (const auto &[rank, queue] : order)
	{
		Request &request = this->requests.find(queue->waiting.begin()->second)->second;
		Endpoint *endpoint = this->endpoints.Choose(request.spec.job, queue->policy.is_long, this->zone, request.tried, inNow);
		if (endpoint == nullptr || inNow >= request.latest_start)
			continue;
		this->Dequeue(request);
		if (rank.first == 0)
			queue->credit -= 1.0;
		this->Start(request, *endpoint, inNow, outDecisions);
		this->PayCredits(*queue, endpoint->host);
		return true;
	}
	return false;
}

void Dispatcher::StartAll(Millis inNow, std::vector<Decision> &outDecisions)
{
	while (this->StartNext(inNow, outDecisions))
	{
	}
}

void Dispatcher::Refuse(RequestId inRequest, EError inError, std::vector<Decision> &outDecisions)
{
	auto found = this->requests.find(inRequest);
	LOOM_INVARIANT(found != this->requests.end() && found->second.host.empty(), "what is refused is not in flight");
	Decision decision;
	decision.request = inRequest;
	decision.error = inError;
	if (auto queue = this->queues.find(found->second.spec.job); queue != this->queues.end())
	{
		this->Dequeue(found->second);
		if (AnswerOf(inError).retryable)
		{
			// The caller should retry when the requests that wait now have been started
			const Millis wait = this->ExpectedWait(queue->second, queue->second.waiting.size());
			const uint32 seconds = static_cast<uint32>((wait + 999) / 1000);
			decision.retry_after_s = std::clamp(seconds, cDefaultRetryAfterS, cMaxRetryAfterS);
		}
	}
	if (found->second.may_have_run)
		decision.error = EError::EndpointBroke;
	const bool answer = !found->second.abandoned;
	this->requests.erase(found);
	if (answer)
		outDecisions.push_back(std::move(decision));
}

bool Dispatcher::SpendRetryToken(Queue &ioQueue)
{
	if (ioQueue.retry_tokens < 1.0)
	{
		++this->retries[static_cast<size_t>(ERetry::BudgetEmpty)];
		return false;
	}
	ioQueue.retry_tokens -= 1.0;
	return true;
}

bool Dispatcher::MayRetry(Request &ioRequest, EAttempt inResult, bool inRelayed, Millis inNow)
{
	if (inRelayed || ioRequest.abandoned || ioRequest.attempts >= cMaxAttempts || inNow >= ioRequest.spec.deadline)
		return false;
	auto found = this->queues.find(ioRequest.spec.job);
	ERetry reason = ERetry::Count;
	switch (inResult)
	{
	case EAttempt::NotBegun:
		// An endpoint without a free slot is a reason to wait, not a failure: the retry costs no budget
		reason = ERetry::EndpointFull;
		ioRequest.tried.clear();
		break;
	case EAttempt::Refused: reason = ERetry::ConnectRefused; break;
	case EAttempt::Broke: reason = ERetry::AnswerBroke; break;
	case EAttempt::TimedOut: reason = ERetry::AnswerLate; break;
	case EAttempt::Answered:
	case EAttempt::Abandoned: return false;
	}
	const bool may_have_run = inResult == EAttempt::Broke || inResult == EAttempt::TimedOut;
	if (may_have_run && !ioRequest.spec.repeatable)
		return false;
	if (inResult != EAttempt::NotBegun && !this->SpendRetryToken(found->second))
		return false;
	++this->retries[static_cast<size_t>(reason)];
	return true;
}

void Dispatcher::Ended(RequestId inRequest, EAttempt inResult, bool inRelayed, Millis inNow, std::vector<Decision> &outDecisions)
{
	auto found = this->requests.find(inRequest);
	LOOM_INVARIANT(found != this->requests.end() && !found->second.host.empty(), "an attempt that ends belongs to a request in flight");
	Request &request = found->second;
	Queue &queue = this->queues.find(request.spec.job)->second;
	this->endpoints.Ended(request.host, queue.policy.is_long, inResult, inNow);
	request.host.clear();
	--queue.in_flight;
	if (inResult == EAttempt::Answered)
		this->RecordDuration(queue, inNow - request.started);
	if (inResult == EAttempt::Broke || inResult == EAttempt::TimedOut)
		request.may_have_run = true;
	if (this->MayRetry(request, inResult, inRelayed, inNow))
	{
		// It keeps its place by arrival, so a retry does not go to the end of the queue
		this->Enqueue(request);
		return this->StartAll(inNow, outDecisions);
	}
	Decision decision;
	decision.request = inRequest;
	decision.kind = inResult == EAttempt::Answered || inRelayed ? EDecision::Finish : EDecision::Refuse;
	switch (inResult)
	{
	case EAttempt::Answered:
	case EAttempt::Abandoned: break;
	case EAttempt::NotBegun:
	case EAttempt::Refused:
		decision.error = request.may_have_run ? EError::EndpointBroke : EError::EndpointNotBegun;
		decision.retry_after_s = request.may_have_run ? 0 : cDefaultRetryAfterS;
		break;
	case EAttempt::Broke: decision.error = EError::EndpointBroke; break;
	case EAttempt::TimedOut: decision.error = EError::EndpointTimeout; break;
	}
	const bool answer = !request.abandoned && inResult != EAttempt::Abandoned;
	this->requests.erase(found);
	if (answer)
		outDecisions.push_back(std::move(decision));
	this->StartAll(inNow, outDecisions);
}

void Dispatcher::Abandon(RequestId inRequest)
{
	auto found = this->requests.find(inRequest);
	if (found == this->requests.end())
		return;
	if (!found->second.host.empty())
	{
		found->second.abandoned = true;
		return;
	}
	this->Dequeue(found->second);
	this->requests.erase(found);
}

void Dispatcher::Tick(Millis inNow, std::vector<Decision> &outDecisions)
{
	while (!this->deadlines.empty() && this->deadlines.begin()->first <= inNow)
		this->Refuse(this->deadlines.begin()->second, EError::DeadlineUnmet, outDecisions);
	this->StartAll(inNow, outDecisions);
}

uint32 Dispatcher::Demand(const std::string &inJob) const
{
	auto queue = this->queues.find(inJob);
	return queue == this->queues.end() ? 0 : queue->second.in_flight + static_cast<uint32>(queue->second.waiting.size());
}

size_t Dispatcher::Waiting() const
{
	size_t waiting = 0;
	for (const auto &[path, queue] : this->queues)
		waiting += queue.waiting.size();
	return waiting;
}

} // namespace Loomreach
