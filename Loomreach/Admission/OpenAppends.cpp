// Checks for overdue appends.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Admission/OpenAppends.h>

namespace Loomreach::Jobs
{

uint64 OpenAppends::Add(ESlowSign inSign, Millis inNow)
{
	this->open[this->next_number] = {inSign, inNow};
	return this->next_number++;
}

OpenAppends::Verdict OpenAppends::Check(Millis inDueAt, Millis inNow)
{
	Verdict verdict;
	const bool timely = inNow - inDueAt <= cTimelyMs;
	const bool was_confirmed = std::exchange(this->confirmed, false);
	if (this->open.empty())
		return verdict;
	const Open oldest = this->open.begin()->second;
	const Millis waited = inNow - oldest.sent_at;
	if (waited < this->overdue_ms)
	{
		verdict.next_check_ms = this->overdue_ms - waited;
		return verdict;
	}
	if (!timely || !was_confirmed)
	{
		this->confirmed = timely;
		verdict.next_check_ms = cConfirmMs;
		return verdict;
	}
	verdict.sign = oldest.sign;
	verdict.waited_ms = waited;
	// Appends that were sent at nearly the same time say nothing new
	std::erase_if(this->open, [this, inNow](const auto &inOpen) { return inNow - inOpen.second.sent_at >= this->overdue_ms; });
	if (!this->open.empty())
		verdict.next_check_ms = this->overdue_ms - (inNow - this->open.begin()->second.sent_at);
	return verdict;
}

} // namespace Loomreach::Jobs
