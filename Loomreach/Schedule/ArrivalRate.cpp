// Forecasts the rate of arriving work.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Schedule/ArrivalRate.h>

#include <cmath>

namespace Loomreach::Jobs
{

void ArrivalRate::AddJob(Millis inNow, int64 inWork)
{
	this->arrived.push_back(inNow);
	++this->jobs;
	const double gain = std::max(cSizeGain, 1.0 / this->jobs);
	this->mean_work += gain * (static_cast<double>(inWork) - this->mean_work);
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
	const auto recent = static_cast<double>(this->CountBetween(inNow - cWindowMs, inNow));
	const auto earlier = static_cast<double>(this->CountBetween(inNow - 2 * cWindowMs, inNow - cWindowMs));
	const size_t burst = this->CountBetween(inNow - cSurgeMs, inNow);
	double rate = recent * 1000.0 / cWindowMs;
	// The rate is a mean over the window, so it is that of half a window ago
	const Millis ahead = inLead + cWindowMs / 2;
	const double trend = recent - earlier;
	if (std::abs(trend) > cSignificantDeviations * std::sqrt(recent + earlier + 1.0))
		rate += trend * static_cast<double>(ahead) / cWindowMs;
	const double expected = recent * cSurgeMs / cWindowMs;
	const bool is_surge = burst >= cSurgeJobs && static_cast<double>(burst) > expected + cSignificantDeviations * std::sqrt(expected + 1.0);
	if (is_surge)
		rate = std::max(rate, static_cast<double>(burst) * 1000.0 / cSurgeMs);
	rate = std::clamp(rate, 0.0, std::max(recent, static_cast<double>(burst) * 1000.0 / cSurgeMs) * cMaxGrowth);
	return static_cast<int64>(rate * this->mean_work);
}

} // namespace Loomreach::Jobs
