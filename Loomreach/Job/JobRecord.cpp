// Creates the record of an accepted job and checks submissions.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Error.h>
#include <Loomreach/Job/JobRecord.h>
#include <Loomreach/Ownership/RecordLimit.h>

namespace Loomreach::Jobs
{

/// Bounds against damaged submissions, not policy: far above the usual size of a job (32 tasks per step, 5 steps, 8 rounds).
static constexpr uint32 cMaxTasksPerStep = 10'000;
static constexpr size_t cMaxSteps = 256;
static constexpr uint32 cMaxRoundsPerJob = 10'000;
static constexpr uint64 cMaxTasks = 100'000;

// Sizes of what the records of a job hold apart from its texts. Tests compare them with the encoding.
static constexpr size_t cSpecBytes = 512; ///< With the key, and with the names that the queue adds.
static constexpr size_t cStepSpecBytes = 160;
static constexpr size_t cDependencyBytes = 4;
static constexpr size_t cRecordBytes = 64; ///< With the key.
static constexpr size_t cStepBytes = 8;
static constexpr size_t cTaskBytes = 29;
static constexpr size_t cRunBytes = 12; ///< Without the worker's id.
static constexpr size_t cMaxWorkerIdBytes = 64;
/// Room that a new job leaves for its runs. A job that needs more for all its tasks at once runs fewer at a time.
static constexpr size_t cMinRunRoomBytes = 4096;

/// An upper bound of the size of the record that holds the specification.
static size_t SpecBytes(const JobSpec &inSpec)
{
	size_t bytes = cSpecBytes + inSpec.id.size() + inSpec.payload.size();
	for (const StepSpec &step : inSpec.steps)
		bytes +=
			cStepSpecBytes + cDependencyBytes * step.after.size() + step.needs_label.size() + step.data_rack.size() + step.image.size();
	return bytes;
}

JobRecord NewRecord(const JobSpec &inSpec)
{
	JobRecord record;
	for (uint32 round = 0; round < inSpec.Rounds(); ++round)
		for (const StepSpec &step : inSpec.steps)
		{
			StepRecord fresh;
			fresh.tasks.resize(step.count);
			record.steps.push_back(std::move(fresh));
		}
	return record;
}

size_t StateBytes(const JobRecord &inRecord)
{
	size_t bytes = cRecordBytes;
	for (const StepRecord &step : inRecord.steps)
	{
		bytes += cStepBytes + cTaskBytes * step.tasks.size();
		for (const TaskRecord &task : step.tasks)
		{
			bytes += task.checkpoint.size();
			for (const RunRecord &run : task.runs)
				bytes += cRunBytes + run.worker.size();
		}
	}
	return bytes;
}

static bool HasRuns(const JobRecord &inRecord)
{
	const auto has_runs = [](const StepRecord &inStep)
	{ return std::any_of(inStep.tasks.begin(), inStep.tasks.end(), [](const TaskRecord &inTask) { return !inTask.runs.empty(); }); };
	return std::any_of(inRecord.steps.begin(), inRecord.steps.end(), has_runs);
}

size_t RoomForRuns(const JobSpec &inSpec, const JobRecord &inRecord)
{
	// Decided without a look at each task for all but very large jobs: this is called in each planning pass
	size_t tasks = 0;
	for (const StepSpec &step : inSpec.steps)
		tasks += static_cast<size_t>(step.count) * inSpec.Rounds();
	const size_t most_bytes = cRecordBytes + cStepBytes * inRecord.steps.size() + tasks * (cTaskBytes + cRunBytes + cMaxWorkerIdBytes);
	if (most_bytes <= cMaxRecordBytes)
		return tasks;
	const size_t bytes = StateBytes(inRecord);
	const size_t room = bytes >= cMaxRecordBytes ? 0 : (cMaxRecordBytes - bytes) / (cRunBytes + cMaxWorkerIdBytes);
	// A job without runs would wait for ever
	return room == 0 && !HasRuns(inRecord) ? 1 : room;
}

static bool CheckStep(const StepSpec &inStep, size_t inNumber)
{
	const std::string name = "step " + std::to_string(inNumber);
	if (inStep.count == 0 || inStep.count > cMaxTasksPerStep)
		return FailFalse(EError::BadRequest, name + ": count must be from 1 to " + std::to_string(cMaxTasksPerStep));
	if (inStep.requested.cpu_milli < 0 || inStep.requested.memory_mb < 0 || inStep.requested.accelerators < 0)
		return FailFalse(EError::BadRequest, name + ": resources must not be negative");
	for (uint32 before : inStep.after)
		if (before >= inNumber)
			return FailFalse(EError::BadRequest, name + ": may only run after earlier steps");
	return true;
}

bool CheckSpec(const JobSpec &inSpec)
{
	if (inSpec.id.empty())
		return FailFalse(EError::BadRequest, "the job has no id");
	if (inSpec.steps.empty() || inSpec.steps.size() > cMaxSteps)
		return FailFalse(EError::BadRequest, "a job has from 1 to " + std::to_string(cMaxSteps) + " steps");
	if (inSpec.Rounds() > cMaxRoundsPerJob || inSpec.interval_ms < 0)
		return FailFalse(EError::BadRequest, "times or interval out of range");
	uint64 tasks = 0;
	for (size_t i = 0; i < inSpec.steps.size(); ++i)
	{
		if (!CheckStep(inSpec.steps[i], i))
			return false;
		tasks += static_cast<uint64>(inSpec.steps[i].count) * inSpec.Rounds();
	}
	if (tasks > cMaxTasks)
		return FailFalse(EError::BadRequest, "the job has too many tasks in all its steps and rounds");
	// The state of a job only grows from here
	const size_t record_bytes = cMinRunRoomBytes + cRecordBytes + cStepBytes * inSpec.steps.size() * inSpec.Rounds() + cTaskBytes * tasks;
	if (record_bytes > cMaxRecordBytes || SpecBytes(inSpec) > cMaxRecordBytes)
		return FailFalse(EError::TooLarge, "the records of the job would be longer than " + std::to_string(cMaxRecordBytes) + " bytes");
	return true;
}

} // namespace Loomreach::Jobs
