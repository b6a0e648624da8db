// What the tasks of one step have told of their run times. Kept in memory only: a successor goes by expectations again.

#pragma once

#include <Loomreach/Core/Clock.h>

namespace Loomreach::Jobs
{

/// See the head of the file.
class StepSeen
{
public:
	/// A run of a task was planned.
	void NotePlanned(Millis inNow) { this->planned_at = inNow; }
	/// When the last run was planned; -1: none was, or by an earlier owner.
	Millis PlannedAt() const { return this->planned_at; }
	/// A task's whole run took this long.
	void Add(Millis inTook);
	/// Tasks whose whole run was seen.
	size_t Count() const { return this->count; }
	/// Of those seen; there must be one.
	Millis Mean() const { return static_cast<Millis>(this->sum / static_cast<double>(this->count)); }
	Millis Longest() const { return this->longest; }
	/// The tasks' standard deviation as a share of their mean; there must be two.
	double Spread() const;

private:
	size_t count = 0;
	double sum = 0.0;
	double sum_of_squares = 0.0;
	Millis longest = 0;
	Millis planned_at = -1;
};

} // namespace Loomreach::Jobs
