// Matches starts against done ends, whichever of a start and the end's acknowledgement comes first.

#include <Loomreach/Loomreach.h>

#include <TestSupport/Platform/EndLedger.h>

namespace Loomreach
{

std::string ObservedRun::Text() const
{
	return this->task + " run " + std::to_string(this->run) + " on " + this->worker + " at " + std::to_string(this->at);
}

std::string EndLedger::DescribeViolation(const ObservedRun &inStart, const AcknowledgedEnd &inEnd)
{
	return "started after it was done: " + inStart.Text() + "; done: " + inEnd.run.Text() + " as end " + std::to_string(inEnd.number) +
		   ", taken note of at " + std::to_string(inEnd.acknowledged_at);
}

std::vector<std::string> EndLedger::OnStarted(const ObservedRun &inRun)
{
	// An end that is still unacknowledged may be acknowledged later: the start is checked then
	for (auto &[worker, ends] : this->unacknowledged)
		for (UnacknowledgedEnd &end : ends)
			if (end.run.task == inRun.task)
				end.starts.push_back(inRun);
	const auto end = this->acknowledged.find(inRun.task);
	if (end != this->acknowledged.end())
		return {DescribeViolation(inRun, end->second)};
	const auto unacknowledged_end = this->never_acknowledged.find(inRun.task);
	if (unacknowledged_end != this->never_acknowledged.end())
		this->AddExcused(inRun, unacknowledged_end->second);
	return {};
}

void EndLedger::OnDone(const ObservedRun &inRun, uint64 inNumber) { this->unacknowledged[inRun.worker].push_back({inRun, inNumber, {}}); }

std::vector<std::string> EndLedger::OnAcknowledged(const std::string &inWorker, uint64 inNumber, Millis inNow)
{
	std::vector<std::string> lines;
	std::vector<UnacknowledgedEnd> remaining;
	for (UnacknowledgedEnd &end : this->unacknowledged[inWorker])
	{
		if (end.number > inNumber)
		{
			remaining.push_back(std::move(end));
			continue;
		}
		const AcknowledgedEnd acknowledged_end{end.run, end.number, inNow};
		for (const ObservedRun &start : end.starts)
			lines.push_back(DescribeViolation(start, acknowledged_end));
		this->acknowledged.emplace(end.run.task, acknowledged_end);
	}
	this->unacknowledged[inWorker] = std::move(remaining);
	return lines;
}

void EndLedger::OnLeaseExpired(const std::string &inWorker)
{
	const auto ends = this->unacknowledged.find(inWorker);
	if (ends == this->unacknowledged.end())
		return;
	for (const UnacknowledgedEnd &end : ends->second)
	{
		for (const ObservedRun &start : end.starts)
			this->AddExcused(start, end.run);
		this->never_acknowledged.emplace(end.run.task, end.run);
	}
	this->unacknowledged.erase(ends);
}

size_t EndLedger::UnacknowledgedCount(const std::string &inWorker) const
{
	const auto ends = this->unacknowledged.find(inWorker);
	return ends == this->unacknowledged.end() ? 0 : ends->second.size();
}

void EndLedger::AddExcused(const ObservedRun &inStart, const ObservedRun &inEnd)
{
	this->excused.push_back(inStart.Text() + "; done, never taken note of: " + inEnd.Text());
}

} // namespace Loomreach
