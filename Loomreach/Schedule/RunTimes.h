// Learned run times of tasks. Callers' own estimates are off by up to nine tenths, so they count only until something is known.

#pragma once

#include <Loomreach/Job/JobSpec.h>

namespace Loomreach::Jobs
{

/// Means of run times by image and by queue.
class RunTimes
{
public:
	/// A task of a step ended well after running this long, ms.
	void Learn(const JobSpec &inJob, const StepSpec &inStep, Millis inTook)
	{
		if (!inStep.image.empty())
			this->by_image[inStep.image].Add(inTook);
		this->by_queue[inJob.queue].Add(inTook);
	}

	/// What a task of a step is likely to take, ms.
	Millis Expect(const JobSpec &inJob, const StepSpec &inStep) const
	{
		auto image = this->by_image.find(inStep.image);
		if (image != this->by_image.end() && image->second.count >= cEnough)
			return static_cast<Millis>(image->second.mean);
		auto queue = this->by_queue.find(inJob.queue);
		if (queue != this->by_queue.end() && queue->second.count >= cEnough)
			return static_cast<Millis>(queue->second.mean);
		return std::max<Millis>(inStep.estimate_ms, 1);
	}

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->by_image, this->by_queue);
	}

private:
	static constexpr uint32 cEnough = 5;   ///< Samples before a mean is believed: the spread of run times is half their mean.
	static constexpr double cShare = 0.05; ///< Weight of a new sample once there are many.

	/// A mean that forgets slowly.
	struct Mean
	{
		double mean = 0.0;
		uint32 count = 0;

		void Add(Millis inValue)
		{
			++this->count;
			const double share = std::max(cShare, 1.0 / this->count);
			this->mean += share * (static_cast<double>(inValue) - this->mean);
		}
		template <class Archive>
		void serialize(Archive &ioArchive)
		{
			ioArchive(this->mean, this->count);
		}
	};

	std::map<std::string, Mean> by_image;
	std::map<std::string, Mean> by_queue;
};

} // namespace Loomreach::Jobs
