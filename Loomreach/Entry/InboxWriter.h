// Appends records to one cell's inbox in batches. A partition handles its appends one by one, in some milliseconds each: with one call per
// record all entry hosts together could append only a few hundred records per second, and callers that time out and retry would lengthen
// the queue. InboxLoad decides when calls are sent, also while the store is slow.

#pragma once

#include <Loomreach/Admission/InboxLoad.h>
#include <Loomreach/Core/Guarded.h>
#include <Loomreach/Core/TimeSource.h>
#include <Loomreach/Ownership/LogTypes.h>

namespace Loomreach::Jobs
{

/// Order in which the records of an inbox are sent. Records of one priority are sent in the order in which they arrived.
enum class EInboxPriority : uint8
{
	Control, ///< Cancellations and run ends: they free capacity.
	Bulk,    ///< Submissions.
	Count
};

/// A record that no call has carried yet, with what its caller gave. It is certainly not appended.
struct UnsentRecord
{
	std::string record;
	Millis left_ms = 0; ///< Time until it was to be given up.
	EInboxPriority priority = EInboxPriority::Bulk;
	std::function<void(const AppendAnswer &)> done; ///< Not called yet; the receiver must call it.
};

/// Writer of one inbox. A record that arrives while no call is in flight is sent immediately; others wait until that call ends or should
/// have ended. Every record gets exactly one outcome, unless it is taken back (TakeUnsent) or the writer is destroyed.
template <class Store, TimeSource Time = GlibTime>
class InboxWriter : private Guarded
{
public:
	/// Receives the outcome of a record. Refused: certainly not appended; also used for a record that was not sent in time. Unknown: a call
	/// with the record has had no answer.
	using OnOutcome = std::function<void(const AppendAnswer &)>;

	InboxWriter(Store &inStore, LogName inInbox, InboxLoad inLoad = InboxLoad(), Time inTime = Time())
		: store(inStore), inbox(std::move(inInbox)), load(std::move(inLoad)), time(std::move(inTime)), flush_timer(time), check_timer(time)
	{
	}

	/// Appends a record, or gives up `inTimeoutMs` from now. A record in a call waits for its answer until then, and at least for
	/// `InboxLoad::cMaxQuickTimeoutMs` from the time at which the call was sent. `inRetryRefusedMs`: a call that the store refuses is
	/// repeated for this long; 0: the refusal is reported at once, since another host may reach the store.
	void Append(std::string inRecord, Millis inTimeoutMs, OnOutcome inDone, EInboxPriority inPriority = EInboxPriority::Bulk,
				Millis inRetryRefusedMs = cRetryUntilTimeout);

	/// Repeats refused calls until the record's time is over.
	static constexpr Millis cRetryUntilTimeout = std::numeric_limits<Millis>::max() / 4;

	/// Removes and returns the records of this priority and lower ones that no call has carried yet, in the order in which they would have
	/// been sent.
	std::vector<UnsentRecord> TakeUnsent(EInboxPriority inHighest = EInboxPriority::Control);

	/// Whether appends are so fast and so few that each host may append its own records.
	bool IsQuick() const { return this->load.IsQuick(this->time.Now()); }
	/// Expected time from now until a new record of this size would be appended, ms.
	Millis ExpectedWaitMs(size_t inBytes) const { return this->load.ExpectedWaitMs(inBytes, this->time.Now()); }
	/// Figures of the inbox for metrics.
	InboxFigures Figures() const;

private:
	/// A record without an outcome yet.
	struct Item
	{
		std::string record;
		Millis arrived_at = 0;
		Millis give_up_at = 0;
		OnOutcome done;         ///< Empty once the outcome was reported.
		bool carried = false;   ///< Whether any call has carried it.
		Millis retry_until = 0; ///< A refusal after this is reported.
	};

	/// A call in flight. The records of a refused call wait again, so they are kept.
	struct Call
	{
		Millis sent_at = 0;
		std::vector<Item> items;
		std::vector<EInboxPriority> priorities; ///< Of each item.
	};

	/// Interval at which records past their deadline are given up. Runs only while a record has no outcome.
	static constexpr Millis cCheckMs = 50;

	std::deque<Item> &Waiting(EInboxPriority inPriority) { return this->waiting[static_cast<size_t>(inPriority)]; }
	void Flush();
	/// Moves the records of the next call out of the queues.
	Call TakeItems(Millis inNow);
	void Send(Call inCall, Millis inNow);
	void OnAnswer(uint64 inCall, const AppendAnswer &inAnswer);
	/// Puts the records of a refused call back to the front of their queues. Returns the callbacks of those that are not repeated.
	std::vector<OnOutcome> Return(Call inCall, Millis inNow);
	/// Removes the waiting records whose deadline is over, and returns their callbacks.
	std::vector<OnOutcome> RemoveLate(Millis inNow);
	/// Ends the records whose deadline is over.
	void GiveUpLate(Millis inNow);
	static void Report(const std::vector<OnOutcome> &inRecords, EAppend inResult);
	/// Periodic work while records have no outcome.
	void Check();
	/// Logs the backlog if a line is due.
	void LogBacklog(Millis inNow);
	Millis OldestMs(Millis inNow) const;

	Store &store;
	LogName inbox;
	InboxLoad load;
	Time time;
	std::array<std::deque<Item>, static_cast<size_t>(EInboxPriority::Count)> waiting; ///< By priority.
	std::map<uint64, Call> calls;                                                     ///< Calls in flight by their number in `load`.
	Millis flush_at = 0;                                                              ///< When the flush timer fires, while it runs.
	uint64 abandoned_reported = 0;                                                    ///< Figures of the last log line.
	uint64 refused_reported = 0;
	uint64 done_late_reported = 0;
	typename Time::OneShot flush_timer;
	typename Time::OneShot check_timer;
};

} // namespace Loomreach::Jobs

#include <Loomreach/Entry/InboxWriter.inl>
