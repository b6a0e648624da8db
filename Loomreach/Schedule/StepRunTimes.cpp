// Statistics of the run times within one step.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Schedule/StepRunTimes.h>

#include <cmath>

namespace Loomreach::Jobs
{

void StepRunTimes::Add(Millis inTook)
{
	const auto took = static_cast<double>(inTook);
	++this->count;
	this->sum += took;
	this->sum_of_squares += took * took;
	this->longest = std::max(this->longest, inTook);
}

double StepRunTimes::Spread() const
{
	const auto tasks = static_cast<double>(this->count);
	const double mean = this->sum / tasks;
	const double variance = std::max(0.0, (this->sum_of_squares - tasks * mean * mean) / (tasks - 1.0));
	return std::sqrt(variance) / std::max(mean, 1.0);
}

} // namespace Loomreach::Jobs
