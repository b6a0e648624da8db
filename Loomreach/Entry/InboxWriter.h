// Appends callers' records to one inbox, many in one call. A partition takes its appends in turn, some milliseconds each: one call a record
// is a few hundred records a second from all entry hosts together, and every caller who waits and comes again makes the queue longer.

#pragma once

#include <Loomreach/Core/Clock.h>
#include <Loomreach/Core/GlibHandle.h>
#include <Loomreach/Core/Guarded.h>
#include <Loomreach/Ownership/LogTypes.h>

namespace Loomreach::Jobs
{

/// See the head of the file. A record that comes while no call is under way leaves at once; others wait for that call's end, or for a
/// time in which it should have ended.
template <class Store>
class InboxWriter : private Guarded
{
public:
	/// What became of a record. Refused: certainly not appended, also because it never left in time.
	using OnEntered = std::function<void(const AppendAnswer &)>;

	InboxWriter(Store &inStore, LogName inInbox) : store(inStore), inbox(std::move(inInbox)) {}

	/// Appends a record; given up `inTimeoutMs` from now.
	void Enter(std::string inRecord, Millis inTimeoutMs, OnEntered inDone);

	/// Whether calls have taken long of late. One host that appends for all is then served sooner than all in turn.
	bool IsSlow() const { return this->answer_ms > cSlowMs && NowMillis() - this->answered_at < cSlowForMs; }

private:
	/// A record on its way.
	struct Item
	{
		std::string record;
		Millis give_up_at = 0;
		OnEntered done;
	};

	/// Records in one call, and bytes: a quarter of what one call may hold (users' figure 2 MB), and of a link's second.
	static constexpr size_t cMostRecords = 500;
	static constexpr size_t cMostBytes = size_t{512} * 1024;
	static constexpr Millis cShortestGapMs = 40;   ///< Ten appends in turn. The next call leaves this long after one without an answer,
	static constexpr Millis cGapOfAnswer = 2;      ///< or after this many times the time that answers take, if that is longer:
	static constexpr Millis cLongestGapMs = 700;   ///< a store that is behind gets less.
	static constexpr Millis cLeastTimeoutMs = 200; ///< A call is never given up sooner.
	static constexpr Millis cMostTimeoutMs = 700;  ///< Slow answers of the users' store take 240 ms.
	static constexpr double cSlowMs = 100.0;       ///< 4 ms is usual, 240 ms the users' slow store.
	static constexpr Millis cSlowForMs = 2000;     ///< Then it is tried anew.
	static constexpr double cAnswerShare = 0.4;    ///< Weight of a new answer in the time that answers take.

	void Flush();
	std::vector<Item> TakeItems(Millis inNow);
	void Send(std::vector<Item> inItems, Millis inNow);

	Store &store;
	LogName inbox;
	std::deque<Item> waiting;
	size_t under_way = 0;
	Millis sent_at = 0;
	double answer_ms = 0.0; ///< A mean that forgets.
	Millis answered_at = 0;
	Timer again;
};

} // namespace Loomreach::Jobs

#include <Loomreach/Entry/InboxWriter.inl>
