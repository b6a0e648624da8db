// Forecasts the work that comes in.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Schedule/ArrivalRate.h>

#include <cmath>

namespace Loomreach::Jobs
{

void ArrivalRate::Note(Millis inNow, int64 inWork)
{
	this->arrived.push_back(inNow);
	++this->jobs;
	const double share = std::max(cSizeShare, 1.0 / this->jobs);
	this->mean_work += share * (static_cast<double>(inWork) - this->mean_work);
}

size_t ArrivalRate::CountBetween(Millis inFrom, Millis inTo) const
{
	const auto first = std::upper_bound(this->arrived.begin(), this->arrived.end(), inFrom);
	const auto last = std::upper_bound(this->arrived.begin(), this->arrived.end(), inTo);
	return last > first ? static_cast<size_t>(last - first) : 0;
}

int64 ArrivalRate::Forecast(Millis inLead, Millis inNow)
{
	while (!this->arrived.empty() && inNow - this->arrived.front() > 2 * cWindowMs)
		this->arrived.pop_front();
	const auto lately = static_cast<double>(this->CountBetween(inNow - cWindowMs, inNow));
	const auto before = static_cast<double>(this->CountBetween(inNow - 2 * cWindowMs, inNow - cWindowMs));
	const size_t just_now = this->CountBetween(inNow - cSurgeMs, inNow);
	double rate = lately * 1000.0 / cWindowMs;
	// The middle of the window is half a window ago
	const Millis ahead = inLead + cWindowMs / 2;
	const double change = lately - before;
	if (std::abs(change) > cCertain * std::sqrt(lately + before + 1.0))
		rate += change * static_cast<double>(ahead) / cWindowMs;
	const double expected = lately * cSurgeMs / cWindowMs;
	const bool surge = just_now >= cSurgeJobs && static_cast<double>(just_now) > expected + cCertain * std::sqrt(expected + 1.0);
	if (surge)
		rate = std::max(rate, static_cast<double>(just_now) * 1000.0 / cSurgeMs);
	rate = std::clamp(rate, 0.0, std::max(lately, static_cast<double>(just_now) * 1000.0 / cSurgeMs) * cMostGrowth);
	return static_cast<int64>(rate * this->mean_work);
}

} // namespace Loomreach::Jobs
