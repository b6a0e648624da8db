// Predicts run times of tasks from finished runs. Callers' estimates are wrong by up to 90% but still carry information; how
// much weight they get is learned as well.

#pragma once

#include <Loomreach/Job/JobSpec.h>

namespace Loomreach::Jobs
{

/// Linear regression of run time on the caller's estimate for one kind of task. It works on logarithms, because both vary by factors. Older
/// samples lose weight exponentially. Invariant: all sums use the same weights.
class RunTimeFit
{
public:
	/// Adds a finished run that took `inTook` ms.
	void Learn(Millis inEstimate, Millis inTook);
	/// Predicted mean run time of a task with this estimate, ms. `inEstimate`: 0 if the caller gave none.
	Millis Expect(Millis inEstimate) const;
	bool IsReliable() const { return this->samples >= cMinSamples; }

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->samples, this->weight, this->mean_x, this->mean_y, this->xx, this->xy, this->yy);
	}

private:
	static constexpr uint32 cMinSamples = 5; ///< Samples needed before the fit is used.
	/// Factor on the weight of older samples for each new one: the last 300 tasks or so count, or 40 steps.
	static constexpr double cDecay = 0.997;
	static constexpr double cPriorWeight = 5.0; ///< Weight of the prior that estimates carry no information, in squared logarithms.
	static constexpr double cMaxSlope = 1.0;    ///< At most, twice the estimate means twice the run time.
	/// In squared logarithms. The tasks have 0.2 to 0.28; higher values come from runs on slow workers.
	static constexpr double cMaxVariance = 0.3;

	uint32 samples = 0;
	double weight = 0.0; ///< Sum of the weights of all samples.
	double mean_x = 0.0; ///< Mean logarithm of the estimates.
	double mean_y = 0.0; ///< Mean logarithm of the run times.
	double xx = 0.0;     ///< Sum of squared deviations of the estimates' logarithms.
	double xy = 0.0;     ///< Sum of products of both deviations.
	double yy = 0.0;     ///< Sum of squared deviations of the run times' logarithms.
};

/// Run times by image and by queue. Invariant: the encoding fits into one record of the log; the kinds learned least recently are dropped,
/// and kinds with very long names are not learned. A prediction uses the image if enough of its runs are known, else the queue, else the
/// caller's estimate.
class RunTimes
{
public:
	/// Adds a task of a step that ran to its successful end in `inTook` ms.
	void Learn(const JobSpec &inJob, const StepSpec &inStep, Millis inTook);
	/// Adds the spread of run times within a step: their standard deviation as a share of their mean.
	void LearnSpread(const JobSpec &inJob, double inSpread);
	/// Predicted run time of a task of a step, ms.
	Millis Expect(const JobSpec &inJob, const StepSpec &inStep) const;
	/// Predicted run time of the longest of `inTasks` tasks with mean `inMean`, ms.
	Millis ExpectLongest(const JobSpec &inJob, Millis inMean, size_t inTasks) const;

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->by_image, this->by_queue, this->spreads);
	}

private:
	static constexpr double cInitialSpread = 0.25; ///< Assumed until a step has been seen; the tasks' values are 0.15 to 0.3.
	static constexpr double cSpreadGain = 0.05;    ///< Weight of a new step in the moving average.

	static constexpr size_t cMaxImages = 1000;
	static constexpr size_t cMaxQueues = 200;
	static constexpr size_t cMaxNameBytes = 128;

	/// When each name was last learned, in numbers of `learned`. Names without an entry come from the log.
	using LastUses = std::map<std::string, uint64>;
	/// The value of a name, a new one where there is none. Drops the names learned least recently beyond `inMost`.
	template <class Value>
	Value &Touch(std::map<std::string, Value> &ioValues, LastUses &ioUses, const std::string &inName, size_t inMost);

	std::map<std::string, RunTimeFit> by_image;
	std::map<std::string, RunTimeFit> by_queue;
	std::map<std::string, double> spreads; ///< By queue.
	LastUses image_uses;                   ///< Not serialized, as the next members.
	LastUses queue_uses;
	LastUses spread_uses;
	uint64 learned = 0; ///< Counts what was learned.
};

} // namespace Loomreach::Jobs
