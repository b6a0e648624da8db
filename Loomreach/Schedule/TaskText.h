// A task's name as text, for logs: job.round.step.index.

#pragma once

#include <Loomreach/Job/JobRecord.h>

namespace Loomreach::Jobs
{

/// "job.round.step.index".
inline std::string TaskText(const TaskId &inTask)
{
	return inTask.job + '.' + std::to_string(inTask.round) + '.' + std::to_string(inTask.step) + '.' + std::to_string(inTask.index);
}

} // namespace Loomreach::Jobs
