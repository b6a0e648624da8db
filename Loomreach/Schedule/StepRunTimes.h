// Observed run times of the tasks of one step. They are kept in memory only; a new owner of the cell starts from predictions again.

#pragma once

#include <Loomreach/Core/Clock.h>

namespace Loomreach::Jobs
{

/// Statistics of one step.
class StepRunTimes
{
public:
	/// A run of a task was planned.
	void NotePlanned(Millis inNow) { this->planned_at = inNow; }
	/// When the last run was planned; -1: this owner has planned none.
	Millis PlannedAt() const { return this->planned_at; }
	/// Adds a task whose complete run took `inTook` ms.
	void Add(Millis inTook);
	/// Number of tasks added.
	size_t Count() const { return this->count; }
	/// Mean run time, ms; requires at least one task.
	Millis Mean() const { return static_cast<Millis>(this->sum / static_cast<double>(this->count)); }
	/// Longest run time, ms.
	Millis Longest() const { return this->longest; }
	/// Standard deviation as a share of the mean; requires at least two tasks.
	double Spread() const;

private:
	size_t count = 0;
	double sum = 0.0;
	double sum_of_squares = 0.0;
	Millis longest = 0;
	Millis planned_at = -1;
};

} // namespace Loomreach::Jobs
