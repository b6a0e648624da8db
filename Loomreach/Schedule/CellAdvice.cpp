// Adviser decisions on which workers may run the steps of queues with a policy: questions and tickets.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/LogEvent.h>
#include <Loomreach/Schedule/Cell.h>

namespace Loomreach::Jobs
{

/// Remaining validity that a ticket needs to cover the append and the order: two slow answers of the store.
static constexpr Millis cTicketSlackMs = 500;
static constexpr size_t cMaxWorkersPerRequest = 10; ///< Each worker in a request takes the adviser time.
static constexpr Millis cAdviceRetryMs = 250;       ///< Delay after an unanswered request.

bool Cell::HasTicket(const CellJob &inJob, size_t inUnit, const std::string &inWorker, Millis inNow)
{
	auto advice = inJob.advice.find(inUnit);
	if (advice == inJob.advice.end())
		return false;
	auto ticket = advice->second.tickets.find(inWorker);
	return ticket != advice->second.tickets.end() && inNow + cTicketSlackMs < ticket->second.valid_until;
}

void Cell::AskAdvice(CellJob &ioJob, size_t inUnit, Millis inNow)
{
	if (!ioJob.spec.advised)
		return;
	StepAdvice &advice = ioJob.advice[inUnit];
	if (advice.asked || inNow < advice.ask_after)
		return;
	std::vector<std::pair<double, std::string>> candidates;
	for (const auto &[id, worker] : this->workers)
	{
		const bool possible = worker.entry.pool == ioJob.spec.pool && this->CanAcceptRuns(worker, inNow) && !advice.refused.contains(id);
		if (possible && !HasTicket(ioJob, inUnit, id, inNow))
			candidates.emplace_back(-this->ScoreOf(worker, ioJob, inUnit), id);
	}
	if (candidates.empty())
		return;
	std::sort(candidates.begin(), candidates.end());
	AdviceRequest request;
	request.job = ioJob.spec.id;
	request.round = static_cast<uint32>(inUnit / ioJob.spec.steps.size());
	request.step = static_cast<uint32>(inUnit % ioJob.spec.steps.size());
	for (const auto &[score, id] : candidates)
		if (request.workers.size() < cMaxWorkersPerRequest)
		{
			request.workers.push_back(id);
			request.incarnations.push_back(this->workers.at(id).incarnation_number);
		}
	const Queue *queue = nullptr;
	if (this->catalogue != nullptr)
		for (const Queue &candidate : this->catalogue->queues)
			if (candidate.name == ioJob.spec.queue)
				queue = &candidate;
	if (queue != nullptr && queue->advice.has_value())
		request.expect_ms = queue->advice->base_ms + queue->advice->per_worker_ms * static_cast<Millis>(request.workers.size());
	advice.asked = true;
	LogEvent(ELogLevel::Info, "advice_asked")
		.Field("request", request.job)
		.Field("step", request.step)
		.Field("workers", request.workers.size());
	this->advice_requests.push_back(std::move(request));
}

void Cell::OnAdvice(const AdviceRequest &inRequest, const AdviceAnswer &inAnswer, Millis inNow)
{
	CellJob *job = this->FindJob(inRequest.job);
	if (job == nullptr)
		return;
	StepAdvice &advice = job->advice[job->Unit(inRequest.round, inRequest.step)];
	advice.asked = false;
	LogEvent(ELogLevel::Info, "advice")
		.Field("request", inRequest.job)
		.Field("step", inRequest.step)
		.Field("answered", inAnswer.answered ? 1 : 0)
		.Field("good", inAnswer.tickets.size())
		.Field("named", inRequest.workers.size());
	if (!inAnswer.answered)
	{
		advice.ask_after = inNow + cAdviceRetryMs;
		return;
	}
	for (size_t i = 0; i < inRequest.workers.size(); ++i)
	{
		const std::string &worker = inRequest.workers[i];
		// A worker that has started again since is asked about anew
		auto known = this->workers.find(worker);
		if (known == this->workers.end() || known->second.incarnation_number != inRequest.incarnations[i])
			continue;
		auto ticket = inAnswer.tickets.find(worker);
		if (ticket == inAnswer.tickets.end())
			advice.refused.insert(worker);
		else
			advice.tickets[worker] = {ticket->second, inNow + inAnswer.valid_ms};
	}
}

} // namespace Loomreach::Jobs
