// Estimates the typical response time, and computes when expected answers become overdue.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Platform/PeerTrust.h>

namespace Loomreach
{

/// Minimum time until an answer is overdue, ms: the store typically answers in 4 ms and a worker in a few, and an entry host with a quarter
/// of a core has scheduling gaps of up to 75 ms.
static constexpr Millis cMinAnswerTimeoutMs = 100;
static constexpr double cAnswerTimeoutFactor = 10.0; ///< Multiple of the typical response time after which an answer is overdue.
static constexpr double cBackoff = 2.0;              ///< Growth of the answer timeout when it was exceeded.
static constexpr Millis cMaxBackoffMs = 2000;        ///< Limit of that growth, ms: calls have timed out by then.
static constexpr double cSlowerWeight = 0.5;         ///< Weight of a slower answer in the average: it must adapt to a slow server soon.
static constexpr double cFasterWeight = 0.1;         ///< Weight of a faster answer.

Millis ResponseTimeTracker::AnswerTimeout() const
{
	return std::max(cMinAnswerTimeoutMs, static_cast<Millis>(this->typical_ms * cAnswerTimeoutFactor));
}

void ResponseTimeTracker::OnSent(Key inCall, Millis inWaitMs, Millis inNow)
{
	this->OnFinished(inCall);
	this->expected.emplace_back(inNow + inWaitMs + this->AnswerTimeout(), inCall);
}

void ResponseTimeTracker::OnAnswered(Millis inTookMs)
{
	const double difference = static_cast<double>(inTookMs) - this->typical_ms;
	this->typical_ms += difference * (difference > 0 ? cSlowerWeight : cFasterWeight);
}

void ResponseTimeTracker::OnFinished(Key inCall)
{
	std::erase_if(this->expected, [inCall](const auto &inExpected) { return inExpected.second == inCall; });
}

void ResponseTimeTracker::OnConnectionsClosed()
{
	this->expected.clear();
	const double increased = std::min(static_cast<double>(this->AnswerTimeout()) * cBackoff, static_cast<double>(cMaxBackoffMs));
	this->typical_ms = std::max(this->typical_ms, increased / cAnswerTimeoutFactor);
}

bool ResponseTimeTracker::IsExpected(Key inCall) const
{
	return std::any_of(this->expected.begin(), this->expected.end(),
					   [inCall](const auto &inExpected) { return inExpected.second == inCall; });
}

std::optional<Millis> ResponseTimeTracker::OverdueAt() const
{
	std::optional<Millis> first;
	for (const auto &[at, call] : this->expected)
		first = std::min(first.value_or(at), at);
	return first;
}

} // namespace Loomreach
