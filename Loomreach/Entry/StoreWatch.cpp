// Detection of an unresponsive store.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Entry/StoreWatch.h>

namespace Loomreach::Jobs
{

void StoreWatch::OnSent(Millis inNow)
{
	if (this->unanswered_since < 0)
		this->unanswered_since = inNow;
}

void StoreWatch::OnAnswered(Millis inSentAt, Millis inNow)
{
	const auto took = static_cast<double>(inNow - inSentAt);
	// Rises immediately and falls slowly: a store that has become slow must not be taken for unresponsive
	this->latency_ms = std::max(took, this->latency_ms + cLatencyWeight * (took - this->latency_ms));
	this->unanswered_since = -1;
}

Millis StoreWatch::AnswerTimeout() const
{
	return std::clamp(static_cast<Millis>(this->latency_ms * cTimeoutPerLatency), cMinAnswerTimeoutMs, cMaxAnswerTimeoutMs);
}

bool StoreWatch::IsLate(Millis inNow) const
{
	return this->unanswered_since >= 0 && inNow - this->unanswered_since > this->AnswerTimeout() / cLateDivisor;
}

bool StoreWatch::IsUnresponsive(Millis inNow) const
{
	return this->unanswered_since >= 0 && inNow - this->unanswered_since > this->AnswerTimeout();
}

bool StoreIsolationWatch::Update(bool inSilent, bool inOthersReach, Millis inNow)
{
	if (!inSilent || !inOthersReach)
	{
		this->since = -1;
		return false;
	}
	if (this->since < 0)
		this->since = inNow;
	return inNow - this->since >= cConfirmMs;
}

} // namespace Loomreach::Jobs
