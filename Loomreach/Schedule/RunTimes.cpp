// Fits run times.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Schedule/RunTimes.h>

#include <cmath>

namespace Loomreach::Jobs
{

/// The logarithm of a time, of 1 ms at least.
static double LogOf(Millis inTime) { return std::log(static_cast<double>(std::max<Millis>(inTime, 1))); }

void RunTimeFit::Learn(Millis inEstimate, Millis inTook)
{
	const double x = LogOf(inEstimate);
	const double y = LogOf(inTook);
	++this->samples;
	this->weight = this->weight * cForget + 1.0;
	// Deviations from the old mean times those from the new one: the usual way to keep such sums up to date
	const double off_x = x - this->mean_x;
	const double off_y = y - this->mean_y;
	this->mean_x += off_x / this->weight;
	this->mean_y += off_y / this->weight;
	this->xx = this->xx * cForget + off_x * (x - this->mean_x);
	this->xy = this->xy * cForget + off_x * (y - this->mean_y);
	this->yy = this->yy * cForget + off_y * (y - this->mean_y);
}

Millis RunTimeFit::Expect(Millis inEstimate) const
{
	const double slope = std::clamp(this->xy / (this->xx + cDoubt), 0.0, cMostSlope);
	// Without an estimate the mean of all is the best guess
	const double off_x = inEstimate > 0 ? LogOf(inEstimate) - this->mean_x : 0.0;
	const double unexplained = std::max(0.0, this->yy - slope * this->xy) / std::max(this->weight, 1.0);
	// The mean of what a logarithm spreads around lies above its middle
	const double mean = this->mean_y + slope * off_x + std::min(unexplained, cMostSpread) / 2.0;
	return std::max<Millis>(1, static_cast<Millis>(std::exp(mean)));
}

void RunTimes::Learn(const JobSpec &inJob, const StepSpec &inStep, Millis inTook)
{
	if (!inStep.image.empty())
		this->by_image[inStep.image].Learn(inStep.estimate_ms, inTook);
	this->by_queue[inJob.queue].Learn(inStep.estimate_ms, inTook);
}

void RunTimes::LearnSpread(const JobSpec &inJob, double inSpread)
{
	double &spread = this->spreads.try_emplace(inJob.queue, cFirstSpread).first->second;
	spread += cSpreadShare * (std::min(inSpread, 1.0) - spread);
}

Millis RunTimes::Expect(const JobSpec &inJob, const StepSpec &inStep) const
{
	auto image = this->by_image.find(inStep.image);
	if (image != this->by_image.end() && image->second.IsKnown())
		return image->second.Expect(inStep.estimate_ms);
	auto queue = this->by_queue.find(inJob.queue);
	if (queue != this->by_queue.end() && queue->second.IsKnown())
		return queue->second.Expect(inStep.estimate_ms);
	return std::max<Millis>(inStep.estimate_ms, 1);
}

Millis RunTimes::Longest(const JobSpec &inJob, Millis inMean, size_t inTasks) const
{
	auto spread = this->spreads.find(inJob.queue);
	const double each = spread == this->spreads.end() ? cFirstSpread : spread->second;
	// The longest of n lies about this many deviations above their mean, for 2 to 30 tasks to within a tenth
	const double above = std::sqrt(std::log(static_cast<double>(std::max<size_t>(inTasks, 1))));
	return static_cast<Millis>(static_cast<double>(inMean) * (1.0 + each * above));
}

} // namespace Loomreach::Jobs
