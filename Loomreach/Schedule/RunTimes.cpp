// Regression of run times on the callers' estimates.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Schedule/RunTimes.h>

#include <cmath>

namespace Loomreach::Jobs
{

/// Logarithm of a time, which is taken as at least 1 ms.
static double LogOf(Millis inTime) { return std::log(static_cast<double>(std::max<Millis>(inTime, 1))); }

void RunTimeFit::Learn(Millis inEstimate, Millis inTook)
{
	const double x = LogOf(inEstimate);
	const double y = LogOf(inTook);
	++this->samples;
	this->weight = this->weight * cDecay + 1.0;
	// Welford's method: each sum grows by the deviation from the old mean times the deviation from the new one
	const double delta_x = x - this->mean_x;
	const double delta_y = y - this->mean_y;
	this->mean_x += delta_x / this->weight;
	this->mean_y += delta_y / this->weight;
	this->xx = this->xx * cDecay + delta_x * (x - this->mean_x);
	this->xy = this->xy * cDecay + delta_x * (y - this->mean_y);
	this->yy = this->yy * cDecay + delta_y * (y - this->mean_y);
}

Millis RunTimeFit::Expect(Millis inEstimate) const
{
	const double slope = std::clamp(this->xy / (this->xx + cPriorWeight), 0.0, cMaxSlope);
	// Without an estimate, the mean of all samples is used
	const double delta_x = inEstimate > 0 ? LogOf(inEstimate) - this->mean_x : 0.0;
	const double variance = std::max(0.0, this->yy - slope * this->xy) / std::max(this->weight, 1.0);
	// The mean of a log-normal distribution lies above its median by a factor of exp(variance / 2)
	const double mean = this->mean_y + slope * delta_x + std::min(variance, cMaxVariance) / 2.0;
	return std::max<Millis>(1, static_cast<Millis>(std::exp(mean)));
}

template <class Value>
Value &RunTimes::Touch(std::map<std::string, Value> &ioValues, LastUses &ioUses, const std::string &inName, size_t inMost)
{
	const auto last_use = [&ioUses](const std::string &inOther)
	{
		auto use = ioUses.find(inOther);
		return use == ioUses.end() ? 0 : use->second;
	};
	Value &value = ioValues[inName];
	ioUses[inName] = ++this->learned;
	while (ioValues.size() > inMost)
	{
		auto oldest = std::min_element(ioValues.begin(), ioValues.end(),
									   [&last_use](const auto &inLeft, const auto &inRight)
									   { return last_use(inLeft.first) < last_use(inRight.first); });
		ioUses.erase(oldest->first);
		ioValues.erase(oldest);
	}
	return value;
}

void RunTimes::Learn(const JobSpec &inJob, const StepSpec &inStep, Millis inTook)
{
	if (!inStep.image.empty() && inStep.image.size() <= cMaxNameBytes)
		this->Touch(this->by_image, this->image_uses, inStep.image, cMaxImages).Learn(inStep.estimate_ms, inTook);
	if (inJob.queue.size() <= cMaxNameBytes)
		this->Touch(this->by_queue, this->queue_uses, inJob.queue, cMaxQueues).Learn(inStep.estimate_ms, inTook);
}

void RunTimes::LearnSpread(const JobSpec &inJob, double inSpread)
{
	if (inJob.queue.size() > cMaxNameBytes)
		return;
	this->spreads.try_emplace(inJob.queue, cInitialSpread);
	double &spread = this->Touch(this->spreads, this->spread_uses, inJob.queue, cMaxQueues);
	spread += cSpreadGain * (std::min(inSpread, 1.0) - spread);
}

Millis RunTimes::Expect(const JobSpec &inJob, const StepSpec &inStep) const
{
	auto image = this->by_image.find(inStep.image);
	if (image != this->by_image.end() && image->second.IsReliable())
		return image->second.Expect(inStep.estimate_ms);
	auto queue = this->by_queue.find(inJob.queue);
	if (queue != this->by_queue.end() && queue->second.IsReliable())
		return queue->second.Expect(inStep.estimate_ms);
	return std::max<Millis>(inStep.estimate_ms, 1);
}

Millis RunTimes::ExpectLongest(const JobSpec &inJob, Millis inMean, size_t inTasks) const
{
	auto spread = this->spreads.find(inJob.queue);
	const double spread_of_queue = spread == this->spreads.end() ? cInitialSpread : spread->second;
	// The longest of n tasks lies about this many standard deviations above the mean; for 2 to 30 tasks the error is below 10%
	const double deviations = std::sqrt(std::log(static_cast<double>(std::max<size_t>(inTasks, 1))));
	return static_cast<Millis>(static_cast<double>(inMean) * (1.0 + spread_of_queue * deviations));
}

} // namespace Loomreach::Jobs
