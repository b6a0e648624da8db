// How this host reaches each inbox: it appends callers' records itself, or sends them to one host that appends for all. No I/O.
//
// Load pattern: the store carries out the appends to a partition one after the other. While it is slow (112 ms instead of 4 ms per append),
// 45 hosts that each append their own records make a queue of 5 s, in which callers time out and return. One host that appends for all
// waits for a full call only once.

#pragma once

#include <Loomreach/Core/EnumTable.h>

namespace Loomreach::Jobs
{

/// How this host reaches an inbox.
enum class EInboxPath : uint8
{
	Direct,   ///< It appends records itself.
	Collected ///< It sends records to the inbox's collector, which appends for all hosts.
};

/// Names of the paths in log lines.
inline constexpr std::array cInboxPathNames = {
	EnumName<EInboxPath>{EInboxPath::Direct, "direct"},
	EnumName<EInboxPath>{EInboxPath::Collected, "collected"},
};

/// What showed that the store is slow.
enum class ESlowSign : uint8
{
	InboxAppend, ///< An append of this host to an inbox had no response in time.
	CellLog,     ///< An append to the log of a cell that this host owns had none.
	Heartbeat,   ///< A heartbeat of this host, which owns cells, had none.
	OtherHost    ///< Another host reported it.
};

/// Names of the signs in log lines.
inline constexpr std::array cSlowSignNames = {
	EnumName<ESlowSign>{ESlowSign::InboxAppend, "inbox-append"},
	EnumName<ESlowSign>{ESlowSign::CellLog, "cell-log"},
	EnumName<ESlowSign>{ESlowSign::Heartbeat, "heartbeat"},
	EnumName<ESlowSign>{ESlowSign::OtherHost, "other-host"},
};

/// The paths of all inboxes.
class InboxPaths
{
public:
	/// What follows from a sign of a slow store.
	struct SignEffect
	{
		bool changed = false;     ///< At least one inbox was reached directly until now.
		bool notify_all = false;  ///< The other hosts must be told.
		size_t direct_before = 0; ///< Inboxes that had returned to direct appends since the last sign.
	};

	EInboxPath PathOf(uint32 inCell) const;
	/// Makes all paths collected.
	SignEffect OnSlowSign(ESlowSign inSign, Millis inNow);
	/// A collector answered that its appends are fast. Returns whether the path of the inbox changed to direct.
	bool OnQuickAnswer(uint32 inCell);
	/// How long the store has been known to be slow; 0: the inbox is reached directly.
	Millis CollectedFor(uint32 inCell, Millis inNow) const;

private:
	/// One report reaches all hosts, whoever sends it; repeats only replace lost datagrams. Without this limit each host with an append in
	/// flight would report, and the datagrams would grow with the square of the hosts.
	static constexpr Millis cNotifyIntervalMs = 1000;

	bool slow = false;             ///< Whether any sign was seen: inboxes are collected, except those in `direct_cells`.
	Millis slow_since = 0;         ///< First sign since an inbox was last reached directly.
	std::set<uint32> direct_cells; ///< Inboxes whose collector has answered since the last sign that its appends are fast.
	Millis notified_at = std::numeric_limits<Millis>::min() / 2;
};

} // namespace Loomreach::Jobs
