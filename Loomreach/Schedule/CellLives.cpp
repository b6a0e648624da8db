// Worker incarnations. A worker process may end and start again under the same id. The new incarnation starts with empty lists and
// counters, and it may carry out orders that were meant for the previous one.
//
// Only a poll determines the current incarnation: its answer contains the incarnation's start time. A list entry, or an answer with an
// implausible clock, merely suggests a restart and triggers an immediate poll. Until that is answered, nothing is started on the worker and
// no ends are acknowledged to it.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/LogEvent.h>
#include <Loomreach/Schedule/Cell.h>
#include <Loomreach/Schedule/TaskText.h>

namespace Loomreach::Jobs
{

/// Tolerance for clock values, which are in whole milliseconds and are read some time before they are sent.
static constexpr Millis cClockToleranceMs = 250;

bool WorkerIncarnation::FitsClock(Millis inClock, Millis inSentAt, Millis inNow) const
{
	// Lower bound of the worker's clock when the order was sent; it never runs faster than the owner's
	const Millis since = inSentAt - this->clock_read_at;
	const Millis min_clock = this->clock_ms + (since > 0 ? since * (1000 - cClockSlackPerMille) / 1000 : since);
	if (inClock < min_clock - cClockToleranceMs)
		return false;
	return this->clock_order_sent_at < 0 || inClock <= this->clock_ms + (inNow - this->clock_order_sent_at) + cClockToleranceMs;
}

void Cell::SuspectRestart(CellWorker &ioWorker, std::string_view inWhy, Millis inNow)
{
	if (std::exchange(ioWorker.restart_suspected, true))
		return;
	// Even if another poll is pending
	ioWorker.poll_in_flight = false;
	ioWorker.last_poll_at = inNow - this->tuning.min_poll_gap_ms;
	ioWorker.next_poll_at = inNow;
	LogEvent(ELogLevel::Info, "worker_doubted")
		.Field("worker", ioWorker.entry.id)
		.Field("why", inWhy)
		.Field("born_ms", ioWorker.started_ms)
		.Field("runs", ioWorker.runs.size())
		.Field("cell", this->run_events.Cell())
		.Field("epoch", this->epoch);
}

bool Cell::UpdateIncarnation(CellWorker &ioWorker, const WorkerEntry &inEntry, Millis inNow)
{
	if (IsStartedAfter(ioWorker.started_ms, inEntry.started_ms))
		return false;
	const bool is_later = IsStartedAfter(inEntry.started_ms, ioWorker.started_ms);
	if (is_later && !ioWorker.ended)
	{
		// The later incarnation may carry out a start that is still under way, and grant its lease by a clock of its own. Of inherited runs
		// it is not known whether their starts were answered, and by which incarnation
		const auto may_start = [&ioWorker, inNow](const auto &inRun)
		{ return inRun.second.state == ERunState::Inherited || Cell::MayStartLater(ioWorker, inRun.second, inNow); };
		if (std::any_of(ioWorker.runs.begin(), ioWorker.runs.end(), may_start))
			this->AssumeMaxLease(ioWorker, ELongestLease::Listed, inNow);
		this->SuspectRestart(ioWorker, "the worker list shows a later life", inNow);
		return true;
	}
	if (is_later)
		this->BeginIncarnation(ioWorker, inEntry.started_ms, {}, inNow, inNow);
	if (ioWorker.started_ms == cStartTimeUnknown)
		ioWorker.started_ms = inEntry.started_ms;
	ioWorker.leave_announced = ioWorker.leave_announced || inEntry.draining;
	// The list entry is some time old, so the worker's clock is at least at this value
	if (inEntry.clock_ms >= 0 && (ioWorker.clock_ms < 0 || inEntry.clock_ms > ioWorker.ClockAt(inNow)))
	{
		ioWorker.clock_ms = inEntry.clock_ms;
		ioWorker.clock_read_at = inNow;
		ioWorker.clock_order_sent_at = -1;
	}
	return true;
}

bool Cell::DetectNewIncarnation(CellWorker &ioWorker, const Order &inOrder, const OrderAnswer &inAnswer, Millis inSentAt, Millis inNow)
{
	const bool answered = inAnswer.result != EOrderResult::Unknown && inAnswer.result != EOrderResult::NotSent;
	if (!answered || inAnswer.result == EOrderResult::OtherIncarnation)
		return false;
	if (IsStartedAfter(inAnswer.started_ms, ioWorker.started_ms))
	{
		this->BeginIncarnation(ioWorker, inAnswer.started_ms, inAnswer, inSentAt, inNow);
		return true;
	}
	if (IsStartedAfter(ioWorker.started_ms, inAnswer.started_ms))
		return true;
	const bool polled = inOrder.kind == EOrder::Poll && inAnswer.result == EOrderResult::Done;
	if (polled)
	{
		ioWorker.restart_suspected = false;
		ioWorker.started_ms = std::max(ioWorker.started_ms, inAnswer.started_ms);
	}
	else if (ioWorker.started_ms != cStartTimeUnknown && inAnswer.clock_ms >= 0 && ioWorker.clock_ms >= 0 &&
			 !ioWorker.FitsClock(inAnswer.clock_ms, inSentAt, inNow))
	{
		this->AssumeMaxLease(ioWorker, ELongestLease::Clock, inNow);
		this->SuspectRestart(ioWorker, "the clock in an answer does not fit the incarnation", inNow);
	}
	return false;
}

void Cell::BeginIncarnation(CellWorker &ioWorker, int64 inStartedMs, const OrderAnswer &inAnswer, Millis inSentAt, Millis inNow)
{
	LogEvent(ELogLevel::Warning, "worker_started_again")
		.Field("worker", ioWorker.entry.id)
		.Field("born_ms", inStartedMs)
		.Field("was_born_ms", ioWorker.started_ms)
		.Field("seen_by", inAnswer.result == EOrderResult::Done ? "look" : "list")
		.Field("runs", ioWorker.runs.size())
		.Field("last_seen", ioWorker.logged_seq)
		.Field("closed_ms_ago", ioWorker.connections_closed_at < 0 ? -1 : inNow - ioWorker.connections_closed_at)
		.Field("token", TokenOf(this->epoch, this->incarnations_begun + 1))
		.Field("cell", this->run_events.Cell())
		.Field("epoch", this->epoch);
	this->EndPreviousRuns(ioWorker, inAnswer, inSentAt, inNow);
	this->VerifyRuns(ioWorker, inNow);
	this->DropAdvice(ioWorker.entry.id);
	// Only this owner knows the previous incarnation's ends that are not in the log yet
	std::vector<EndedRun> &previous = ioWorker.previous_ends.rows;
	previous.insert(previous.end(), ioWorker.unlogged_ends.begin(), ioWorker.unlogged_ends.end());
	WorkerIncarnation &incarnation = ioWorker;
	incarnation = WorkerIncarnation{};
	incarnation.started_ms = inStartedMs;
	incarnation.incarnation_number = ++this->incarnations_begun;
	incarnation.replaced = true;
	// Once the incarnation has seen its own token, it refuses orders for the previous one
	incarnation.poll_once = true;
	incarnation.next_poll_at = inNow;
	incarnation.reachable = inAnswer.result == EOrderResult::Done;
	incarnation.last_answer_at = incarnation.reachable ? inNow : -1;
	incarnation.clock_ms = inAnswer.clock_ms;
	incarnation.clock_read_at = inNow;
	incarnation.clock_order_sent_at = inSentAt;
	// The host has returned
	ioWorker.removed_until = 0;
}

/// Whether a previous owner placed the run and may have received its end, of which this owner has heard nothing.
static bool MayBeReportedByPredecessor(const Run &inRun)
{
	return inRun.state == ERunState::Inherited && inRun.inherited && !inRun.long_running;
}

/// Marks the runs that the new incarnation lists as running or ended.
template <class Row>
static void MarkListed(CellWorker &ioWorker, const std::vector<Row> &inRows)
{
	for (const Row &row : inRows)
		if (auto run = ioWorker.runs.find({row.task, row.run}); run != ioWorker.runs.end())
			run->second.in_new_incarnation = true;
}

void Cell::EndPreviousRuns(CellWorker &ioWorker, const OrderAnswer &inAnswer, Millis inSentAt, Millis inNow)
{
	MarkListed(ioWorker, inAnswer.running);
	MarkListed(ioWorker, inAnswer.ended);
	// For runs whose end a previous owner may still submit, the crash is counted after the wait for it
	for (auto &[id, run] : ioWorker.runs)
		run.crash_counted = run.crash_counted || MayBeReportedByPredecessor(run);
	if (!std::exchange(ioWorker.ended, true))
		this->AttributeCrash(ioWorker, inNow);
	std::vector<RunId> ended_runs;
	for (auto &[id, run] : ioWorker.runs)
	{
		// Confirmed before the poll was sent but missing from its answer: the run was on the previous incarnation
		const bool was_there = run.confirmed_at >= 0 && run.confirmed_at < inSentAt && !inAnswer.partial;
		run.crash_counted = IsDispatched(run.state) && !run.in_new_incarnation;
		if (!std::exchange(run.in_new_incarnation, false) && was_there && IsDispatched(run.state))
			ended_runs.push_back(id);
	}
	for (const RunId &id : ended_runs)
		this->EndRun(ioWorker, id, ERunEnd::LeaseExpired, "", "worker started again", inNow);
}

void Cell::VerifyRuns(CellWorker &ioWorker, Millis inNow)
{
	for (auto &[id, run] : ioWorker.runs)
	{
		if (!IsDispatched(run.state))
			continue;
		if (run.state == ERunState::Stopping || (run.state == ERunState::Fenced && run.stop_acked_at >= 0))
		{
			run.state = ERunState::Stopping;
			run.stop_sent = false;
			run.stop_acked_at = -1;
			run.next_stop_at = inNow;
			continue;
		}
		// A previous owner submits its ends within the wait for its lease
		if (MayBeReportedByPredecessor(run) && run.predecessor_wait_until == 0)
			run.predecessor_wait_until = ioWorker.lease_expires_at;
		run.state = ERunState::Inherited;
		run.since = inNow;
		run.confirmed_at = -1;
		run.percent = 0;
		run.throttle_in_flight = false;
		// It starts at full speed
		run.throttle_percent = cFullSpeedPercent;
	}
	// An order for the previous incarnation may still arrive, or has been answered by this one, with a lease end computed for that
	// incarnation's clock
	this->AssumeMaxLease(ioWorker, ELongestLease::Restarted, inNow);
}

void Cell::AssumeMaxLease(CellWorker &ioWorker, ELongestLease inCause, Millis inNow)
{
	ioWorker.longest_lease_cause = inCause;
	ioWorker.longest_lease_until = std::max(ioWorker.longest_lease_until, inNow + LongestLease(this->tuning.worker_lease_cap_ms));
	ioWorker.lease_expires_at = std::max(ioWorker.lease_expires_at, ioWorker.longest_lease_until);
	// A successor that takes over before the next record would wait for the usual lease only
	if (ioWorker.logged_longest_lease_ms == 0 && !ioWorker.runs.empty())
		this->unwritten_changes = true;
}

void Cell::NoteTokenSeen(CellWorker &ioWorker, Millis inNow)
{
	if (std::exchange(ioWorker.token_seen, true) || !ioWorker.replaced)
		return;
	// Orders for earlier incarnations have been carried out until now
	this->AssumeMaxLease(ioWorker, ELongestLease::TokenSeen, inNow);
}

Millis Cell::LongestLeaseOn(const CellWorker &inWorker, Millis inNow) const
{
	const Millis granted = this->leases.LongestGranted(inNow);
	return inNow < inWorker.longest_lease_until ? std::max(granted, this->tuning.worker_lease_cap_ms) : granted;
}

void Cell::OnPreviousIncarnationAnswer(CellWorker &ioWorker, const Order &inOrder, const OrderAnswer &inAnswer, Millis inNow)
{
	if (inAnswer.result == EOrderResult::Unknown && !inAnswer.connection_closed)
		this->AssumeMaxLease(ioWorker, ELongestLease::Unanswered, inNow);
	if (inOrder.kind == EOrder::Poll)
		return this->ApplyPolledEnds(ioWorker, inAnswer.ended, inNow);
	if (inOrder.kind != EOrder::Start)
		return;
	const RunId id{inOrder.task, inOrder.run};
	auto run = ioWorker.runs.find(id);
	const bool is_unverified = run != ioWorker.runs.end() && run->second.state == ERunState::Inherited;
	const bool may_run =
		inAnswer.result == EOrderResult::Done || inAnswer.result == EOrderResult::StaleRun || inAnswer.result == EOrderResult::Unknown;
	if (run != ioWorker.runs.end() && inAnswer.result != EOrderResult::Unknown)
		run->second.start_pending_until = 0;
	// Neither incarnation has accepted the run
	if (is_unverified && !may_run)
		this->EndRun(ioWorker, id, ERunEnd::Stopped, "", NameOf(cOrderResultNames, inAnswer.result), inNow);
}

void Cell::CountPreviousCrash(const RunId &inRun)
{
	CellJob *job = this->OpenJobOf(inRun.task);
	if (job == nullptr)
		return;
	TaskCrashes &crashes = job->crashes[Cell::CrashKey(*job, inRun.task)];
	++crashes.bystander;
	this->MarkChanged(*job);
	// Blamed before, so it was on a trial run there
	if (crashes.blamed > 0 && ExceedsCrashLimit(crashes))
		this->FailCrashingJob(*job, crashes, this->now);
}

void Cell::ForgetCountedCrash(const CellWorker &inWorker, const RunId &inId, Run &ioRun)
{
	if (!ioRun.counted_crash.has_value() || ioRun.counted_crash == inWorker.started_ms)
		return;
	ioRun.counted_crash.reset();
	// A successor would take the next crash for the counted one
	if (CellJob *job = this->OpenJobOf(inId.task); job != nullptr)
		this->MarkChanged(*job);
}

void Cell::DropAdvice(const std::string &inWorker)
{
	for (auto &[id, job] : this->jobs)
		for (auto &[unit, advice] : job.advice)
		{
			advice.tickets.erase(inWorker);
			advice.refused.erase(inWorker);
		}
}

void Cell::LogRelistedEnds(const CellWorker &inWorker, const OrderAnswer &inAnswer)
{
	std::string ends;
	size_t count = 0;
	for (const EndedRun &row : inAnswer.ended)
	{
		if (row.sequence > inWorker.acked_seq)
			break;
		ends += (count++ == 0 ? "" : " ") + TaskText(row.task) + '.' + std::to_string(row.run) + '#' + std::to_string(row.sequence);
	}
	if (count == 0)
		return;
	LogEvent(ELogLevel::Warning, "ends_passed_over")
		.Field("worker", inWorker.entry.id)
		.Field("born_ms", inAnswer.started_ms)
		.Field("count", count)
		.Field("ends", ends)
		.Field("last_seen", inWorker.logged_seq)
		.Field("noted", inWorker.recorded_seq)
		.Field("cell", this->run_events.Cell())
		.Field("epoch", this->epoch);
}

} // namespace Loomreach::Jobs
