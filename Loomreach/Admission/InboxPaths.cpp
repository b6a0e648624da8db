// Changes of the paths.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Admission/InboxPaths.h>

namespace Loomreach::Jobs
{

EInboxPath InboxPaths::PathOf(uint32 inCell) const
{
	return this->slow && !this->direct_cells.contains(inCell) ? EInboxPath::Collected : EInboxPath::Direct;
}

InboxPaths::SignEffect InboxPaths::OnSlowSign(ESlowSign inSign, Millis inNow)
{
	SignEffect effect;
	effect.direct_before = this->direct_cells.size();
	effect.changed = !this->slow || !this->direct_cells.empty();
	if (effect.changed)
		this->slow_since = inNow;
	this->slow = true;
	this->direct_cells.clear();
	const bool is_report = inSign == ESlowSign::OtherHost;
	// Reports are not passed on: the host that detected the slow store tells all others itself
	effect.notify_all = !is_report && inNow - this->notified_at >= cNotifyIntervalMs;
	if (effect.notify_all || is_report)
		this->notified_at = inNow;
	return effect;
}

bool InboxPaths::OnQuickAnswer(uint32 inCell) { return this->slow && this->direct_cells.insert(inCell).second; }

Millis InboxPaths::CollectedFor(uint32 inCell, Millis inNow) const
{
	return this->PathOf(inCell) == EInboxPath::Collected ? inNow - this->slow_since : 0;
}

} // namespace Loomreach::Jobs
