// Load of one inbox as the host that appends to it sees it, and the decisions that follow from it: when the next call may be sent, how long
// it may take, whether the inbox is quick, and how long a new record will wait. Answers the load pattern of a slow store: the partition
// carries out the calls of all hosts one by one, so that a call that is sent before the previous one is answered only lengthens its queue.
// Pure: times and events come in, decisions go out.

#pragma once

#include <Loomreach/Core/Clock.h>
#include <Loomreach/Ownership/LogTypes.h>

namespace Loomreach::Jobs
{

/// Figures of one inbox for log lines and metrics.
struct InboxFigures
{
	size_t in_flight = 0;     ///< Calls without an answer.
	size_t waiting = 0;       ///< Records that are in no call.
	size_t waiting_bytes = 0; ///< Size of these records.
	Millis oldest_ms = 0;     ///< Age of the oldest record without an outcome.
	Millis latency_ms = 0;    ///< Time that a call takes; includes the age of unanswered calls.
	uint64 abandoned = 0;     ///< Calls that ended without an answer.
	uint64 refused = 0;       ///< Calls that the store refused.
	uint64 done_late = 0;     ///< Records whose append was confirmed after they had been given up.
};

/// Load of one inbox.
class InboxLoad
{
public:
	/// Limits of one call, in records and bytes. The latter is a quarter of what a call may contain (2 MB) and of what a link transfers in
	/// a second.
	static constexpr size_t cMaxRecords = 500;
	static constexpr size_t cMaxBytes = size_t{512} * 1024;
	static constexpr size_t cMaxInFlight = 3;         ///< Calls in flight at most.
	static constexpr Millis cMinTimeoutMs = 200;      ///< Lower bound of a call's timeout.
	static constexpr Millis cMaxQuickTimeoutMs = 700; ///< Upper bound of a call's timeout while the store is fast.
	static constexpr Millis cUsualAppendMs = 4;       ///< Time of one append while the store is fast, if it is not configured.
	static constexpr Millis cMinRetryDelayMs = 100;   ///< Least delay after a refused call.

	/// `inUsualAppendMs`: time of one append while the store is fast (setting `store_append_ms`).
	explicit InboxLoad(Millis inUsualAppendMs = cUsualAppendMs) : usual_append_ms(inUsualAppendMs) {}

	/// A new record of this size waits.
	void OnArrived(size_t inBytes, Millis inNow);
	/// Records of a refused call wait again.
	void OnReturned(size_t inRecords, size_t inBytes);
	/// Waiting records were put into a call or given up.
	void OnTaken(size_t inRecords, size_t inBytes);
	/// A call was sent. Returns its number.
	uint64 OnSent(size_t inBytes, Millis inNow);
	/// A call ended.
	void OnEnded(uint64 inCall, EAppend inResult, Millis inNow);
	/// The append of records that had been given up was confirmed.
	void OnDoneLate(size_t inRecords) { this->done_late += inRecords; }

	/// Number of records that are in no call.
	size_t WaitingRecords() const { return this->waiting; }
	/// When the next call may be sent; none: not before a call in flight has ended.
	std::optional<Millis> NextCallAt() const;
	/// Timeout of a call that is sent now. `inLongestMs`: the time that the most patient of its records has left.
	Millis CallTimeout(Millis inLongestMs, Millis inNow) const;
	/// Whether appends are fast, and so few records arrive that hosts which each append their own do not overload the partition.
	bool IsQuick(Millis inNow) const;
	/// Expected time from now until a new record of this size is appended, ms.
	Millis ExpectedWaitMs(size_t inBytes, Millis inNow) const;
	/// Time that a call takes, ms: the last answer or the mean, whichever is longer, or the age of an unanswered call if that is longer.
	Millis LatencyMs(Millis inNow) const;
	/// Whether a log line about the backlog is due, and notes that it is written. At most one in a second; none while calls are fast and
	/// the waiting records fit into one.
	bool TakeReportDue(Millis inNow);
	/// Figures as of now; the age of the oldest record is not known here and left at 0.
	InboxFigures Figures(Millis inNow) const;

private:
	/// A call without an answer.
	struct Call
	{
		uint64 number = 0;
		Millis sent_at = 0;
		size_t bytes = 0;
	};

	static constexpr Millis cMinGapMs = 40;     ///< About ten appends. While a call has no answer, the next one is sent after this long,
	static constexpr Millis cGapPerLatency = 2; ///< or after this many times the latency if that is longer.
	/// A call without an answer counts as at most this latency when the next call is put off. The slowest store answers in this time; a
	/// call that takes longer is probably lost, and must not hold up the records behind it.
	static constexpr Millis cMaxUnansweredMs = 400;
	static constexpr Millis cTimeoutPerLatency =
		4;                                        ///< Upper bound of a call's timeout, times the latency, but at least cMaxQuickTimeoutMs.
	static constexpr Millis cMaxTimeoutMs = 2500; ///< The store refuses calls that would wait longer than 2 s.
	static constexpr Millis cSlowPerUsual = 5;    ///< A call is slow from this many times the usual time on.
	static constexpr uint32 cQuickCalls = 3;      ///< So many calls in a row must not be slow for the inbox to be quick.
	static constexpr double cMaxQuickOccupancy = 0.5; ///< Part of the time in which single appends would occupy the partition.
	static constexpr double cLatencyWeight = 0.4;     ///< Weight of a new answer in the mean latency.
	static constexpr double cBytesPerMs = 20'000;     ///< 20 MB/s of one partition.
	static constexpr Millis cRateSlotMs = 100;        ///< Arrivals are counted in slots of this length,
	static constexpr size_t cRateSlots = 10;          ///< of which so many are kept.
	static constexpr Millis cReportIntervalMs = 1000; ///< Least time between two log lines.

	/// The last answer or the mean, whichever is longer.
	double AnsweredLatency() const { return std::max(this->last_ms, this->mean_ms); }
	/// Latency by which the next call is put off. `inAge`: age of an unanswered call.
	Millis PacingLatency(Millis inAge) const;
	/// Whether the last calls were fast, and no call in flight is already slow.
	bool IsFast(Millis inNow) const;
	/// Time for which the oldest unanswered call has been in flight; 0: there is none.
	Millis OldestCallAge(Millis inNow) const { return this->calls.empty() ? 0 : inNow - this->calls.front().sent_at; }
	/// Time that the partition needs for one call.
	double ServiceMs(Millis inNow) const;
	/// Records that arrive in a millisecond.
	double ArrivalsPerMs(Millis inNow) const;

	Millis usual_append_ms;
	std::deque<Call> calls; ///< Calls in flight, in the order in which they were sent; at most cMaxInFlight.
	uint64 next_number = 0;
	size_t waiting = 0;
	size_t waiting_bytes = 0;
	Millis last_sent_at = 0;
	Millis age_at_last_sent = 0; ///< Age of the oldest call in flight when the last one was sent.
	Millis retry_at = 0;         ///< Not before this is a call sent again after one was refused.
	double last_ms = 0.0;        ///< Latency of the last answered call.
	double mean_ms = 0.0;        ///< Decaying mean of the answered calls' latency.
	/// Time that the partition took for one call: between two answers while calls were in flight. Decaying mean.
	double service_ms = 0.0;
	Millis abandoned_after_ms = 0;                            ///< Time after which a call ended without an answer since the last answer.
	Millis ended_at = std::numeric_limits<Millis>::min() / 2; ///< When a call last ended.
	uint32 quick_calls = cQuickCalls;                         ///< Number of calls since the last slow one, at most cQuickCalls.
	uint64 abandoned = 0;
	uint64 refused = 0;
	uint64 done_late = 0;
	uint64 unreported = 0; ///< Calls abandoned or refused since the last log line.
	Millis reported_at = std::numeric_limits<Millis>::min() / 2;
	std::array<uint32, cRateSlots> arrivals{};
	Millis rate_slot = 0; ///< Number of the newest slot: time divided by its length.
};

} // namespace Loomreach::Jobs
