// Learned run times of tasks. A caller's own estimate is off by up to nine tenths, and yet it tells something: how much is learned as well.

#pragma once

#include <Loomreach/Job/JobSpec.h>

namespace Loomreach::Jobs
{

/// How the run times of one kind of task follow from the callers' estimates: a line through their logarithms, since both are off by
/// factors. Forgets slowly. Invariant: the sums are weighted by the same shares.
class RunTimeFit
{
public:
	void Learn(Millis inEstimate, Millis inTook);
	/// The mean run time of a task with this estimate, ms.
	Millis Expect(Millis inEstimate) const;
	bool IsKnown() const { return this->samples >= cEnough; }

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->samples, this->weight, this->mean_x, this->mean_y, this->xx, this->xy, this->yy);
	}

private:
	static constexpr uint32 cEnough = 5;       ///< Samples before a fit is believed.
	static constexpr double cForget = 0.997;   ///< Weight of what is known at each new sample: some 300 tasks, or 40 steps, count.
	static constexpr double cDoubt = 5.0;      ///< Weight of the assumption that estimates tell nothing, in squared logarithms.
	static constexpr double cMostSlope = 1.0;  ///< An estimate twice as long means at most twice the time.
	static constexpr double cMostSpread = 0.3; ///< Squared logarithms: the users' tasks have 0.2 to 0.28; beyond are runs on slow workers.

	uint32 samples = 0;
	double weight = 0.0; ///< Of all samples.
	double mean_x = 0.0; ///< Of the logarithms of estimates.
	double mean_y = 0.0; ///< Of the logarithms of run times.
	double xx = 0.0;     ///< Sum of squares of the estimates' deviations, xy of the products, yy of the run times'.
	double xy = 0.0;
	double yy = 0.0;
};

/// Run times by image and by queue.
class RunTimes
{
public:
	/// A task of a step ended well after running this long, ms.
	void Learn(const JobSpec &inJob, const StepSpec &inStep, Millis inTook);
	/// Tasks of one step took `inSpread` times their mean longer or shorter (a standard deviation).
	void LearnSpread(const JobSpec &inJob, double inSpread);
	/// What a task of a step is likely to take, ms.
	Millis Expect(const JobSpec &inJob, const StepSpec &inStep) const;
	/// What the longest of `inTasks` tasks is likely to take whose mean is `inMean`, ms.
	Millis Longest(const JobSpec &inJob, Millis inMean, size_t inTasks) const;

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->by_image, this->by_queue, this->spreads);
	}

private:
	static constexpr double cFirstSpread = 0.25; ///< Before any step has told: the users' tasks differ by 0.15 to 0.3 of their mean.
	static constexpr double cSpreadShare = 0.05; ///< Weight of one step's spread.

	std::map<std::string, RunTimeFit> by_image;
	std::map<std::string, RunTimeFit> by_queue;
	std::map<std::string, double> spreads; ///< By queue.
};

} // namespace Loomreach::Jobs
