// Appends records to one cell's inbox in batches. A partition handles its appends one by one, in some milliseconds each: with one call per
// record all entry hosts together could append only a few hundred records per second, and callers that time out and retry would lengthen
// the queue.

#pragma once

#include <Loomreach/Core/Clock.h>
#include <Loomreach/Core/GlibHandle.h>
#include <Loomreach/Core/Guarded.h>
#include <Loomreach/Ownership/LogTypes.h>

namespace Loomreach::Jobs
{

/// Writer of one inbox. A record that arrives while no call is in flight is sent immediately; others wait until that call ends or should
/// have ended.
template <class Store>
class InboxWriter : private Guarded
{
public:
	/// Receives the outcome of a record. Refused: certainly not appended; also used for a record that was not sent in time.
	using OnOutcome = std::function<void(const AppendAnswer &)>;

	InboxWriter(Store &inStore, LogName inInbox) : store(inStore), inbox(std::move(inInbox)) {}

	/// Appends a record, or gives up `inTimeoutMs` from now.
	void Append(std::string inRecord, Millis inTimeoutMs, OnOutcome inDone);

	/// Whether recent calls were slow. One host that appends for all hosts is then faster than all of them one by one.
	bool IsSlow() const { return this->latency_ms > cSlowLatencyMs && NowMillis() - this->answered_at < cSlowExpiryMs; }

private:
	/// A record without an outcome yet.
	struct Item
	{
		std::string record;
		Millis give_up_at = 0;
		OnOutcome done;
	};

	/// Limits of one call, in records and bytes. The latter is a quarter of what a call may contain (2 MB) and of what a link transfers in
	/// a second.
	static constexpr size_t cMaxRecords = 500;
	static constexpr size_t cMaxBytes = size_t{512} * 1024;
	static constexpr Millis cMinGapMs = 40;      ///< About ten appends. While a call has no answer, the next one is sent after this long,
	static constexpr Millis cGapPerLatency = 2;  ///< or after this many times the mean latency if that is longer,
	static constexpr Millis cMaxGapMs = 700;     ///< but at the latest after this long. A store that is behind thus gets fewer calls.
	static constexpr Millis cMinTimeoutMs = 200; ///< Lower bound of a call's timeout.
	static constexpr Millis cMaxTimeoutMs = 700; ///< Upper bound of a call's timeout; a slow store answers in 240 ms.
	static constexpr double cSlowLatencyMs = 100.0; ///< The store usually answers in 4 ms, in 240 ms when slow.
	/// After this long without an answer the store no longer counts as slow, so that it is tried again.
	static constexpr Millis cSlowExpiryMs = 2000;
	static constexpr double cLatencyWeight = 0.4; ///< Weight of a new answer in the mean latency.

	void Flush();
	std::vector<Item> TakeItems(Millis inNow);
	void Send(std::vector<Item> inItems, Millis inNow);

	Store &store;
	LogName inbox;
	std::deque<Item> waiting;
	size_t in_flight = 0;
	Millis sent_at = 0;
	double latency_ms = 0.0; ///< Decaying mean of the calls' latency.
	Millis answered_at = 0;
	Timer flush_timer;
};

} // namespace Loomreach::Jobs

#include <Loomreach/Entry/InboxWriter.inl>
