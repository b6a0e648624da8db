// Text form of task ids in log lines.

#pragma once

#include <Loomreach/Job/JobRecord.h>

namespace Loomreach::Jobs
{

/// Formats a task id as "job.round.step.index".
inline std::string TaskText(const TaskId &inTask)
{
	return inTask.job + '.' + std::to_string(inTask.round) + '.' + std::to_string(inTask.step) + '.' + std::to_string(inTask.index);
}

} // namespace Loomreach::Jobs
