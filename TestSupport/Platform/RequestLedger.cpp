// Applies the three parts of the rule against unrequested work, and their excuses.

#include <Loomreach/Loomreach.h>

#include <TestSupport/Platform/RequestLedger.h>

namespace Loomreach
{

void RequestLedger::OnSubmitted(const std::string &inId, const std::string &inPayload) { this->payloads[inId].insert(inPayload); }

std::string RequestLedger::Describe(const OrderedRun &inRun, Millis inSinceCancel, Millis inCalm)
{
	return inRun.run.Text() + ", token " + std::to_string(inRun.token) + (inRun.is_late ? ", carried out late" : "") + ", " +
		   std::to_string(inSinceCancel) + " ms after the cancel, calm for " + std::to_string(inCalm) + " ms";
}

std::vector<UnaskedRun> RequestLedger::OnStarted(const OrderedRun &inRun, const TroubleWatch &inTroubles) const
{
	if (this->payloads.empty())
		return {};
	const std::string job = JobOf(inRun.run.task);
	const auto sent = this->payloads.find(job);
	const std::string order = inRun.run.Text() + ", token " + std::to_string(inRun.token);
	std::vector<UnaskedRun> found;
	if (sent == this->payloads.end())
		found.push_back({EUnasked::Unsent, "no caller sent its job: " + order, ""});
	else if (!sent->second.contains(inRun.payload))
		found.push_back({EUnasked::Unsent, "another payload, \"" + inRun.payload + "\": " + order, ""});
	const auto saved = this->checkpoints.find(inRun.run.task);
	if (!inRun.checkpoint.empty() && (saved == this->checkpoints.end() || !saved->second.contains(inRun.checkpoint)))
		found.push_back({EUnasked::Unsent, "checkpoint \"" + inRun.checkpoint + "\", which is not its own: " + order, ""});
	const auto canceled = this->canceled_at.find(job);
	if (canceled == this->canceled_at.end() || inRun.run.at <= canceled->second + cCancelMs)
		return found;
	const Millis calm = inTroubles.CalmFor({EScope::Store, EScope::Entry}, inRun.run.at);
	const char *excuse = inRun.is_late ? "order carried out late" : (calm < cContactMs ? "hosts not in contact" : "");
	found.push_back(
		{EUnasked::StartAfterCancel, "started after its cancel: " + Describe(inRun, inRun.run.at - canceled->second, calm), excuse});
	return found;
}

std::vector<UnaskedRun> RequestLedger::OnRunning(const OrderedRun &inRun, const TroubleWatch &inTroubles, Millis inNow)
{
	const auto canceled = this->canceled_at.find(JobOf(inRun.run.task));
	if (canceled == this->canceled_at.end())
		return {};
	const Millis bound = std::max(canceled->second + cCancelMs, inRun.is_late ? inRun.run.at + cContactMs : 0) + cStopMs;
	if (inNow <= bound)
		return {};
	const Millis calm = inTroubles.CalmFor({EScope::Store, EScope::Entry, EScope::Workers, EScope::Config}, inNow);
	const bool is_excused = calm <= cCancelMs + cStopMs;
	if (!this->reported_runs.emplace(inRun.run.Text(), is_excused).second)
		return {};
	return {{EUnasked::RunAfterCancel, "runs after its cancel: " + Describe(inRun, inNow - canceled->second, calm),
			 is_excused ? "faults nearby" : ""}};
}

} // namespace Loomreach
