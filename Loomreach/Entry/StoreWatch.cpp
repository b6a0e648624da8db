// Judges the store's silence.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Entry/StoreWatch.h>

namespace Loomreach::Jobs
{

void StoreWatch::OnSent(Millis inNow)
{
	if (this->waiting_since < 0)
		this->waiting_since = inNow;
}

void StoreWatch::OnAnswered(Millis inSentAt, Millis inNow)
{
	const auto took = static_cast<double>(inNow - inSentAt);
	// Up at once, down slowly: a store that has become slow must not be taken for silent
	this->answer_ms = std::max(took, this->answer_ms + cAnswerShare * (took - this->answer_ms));
	this->waiting_since = -1;
}

Millis StoreWatch::Patience() const
{
	return std::clamp(static_cast<Millis>(this->answer_ms * cPatienceOfAnswer), cLeastPatienceMs, cMostPatienceMs);
}

bool StoreWatch::IsLate(Millis inNow) const
{
	return this->waiting_since >= 0 && inNow - this->waiting_since > this->Patience() / cLateOfPatience;
}

bool StoreWatch::IsSilent(Millis inNow) const { return this->waiting_since >= 0 && inNow - this->waiting_since > this->Patience(); }

bool TurnedAwayWatch::Note(bool inSilent, bool inOthersReach, Millis inNow)
{
	if (!inSilent || !inOthersReach)
	{
		this->since = -1;
		return false;
	}
	if (this->since < 0)
		this->since = inNow;
	return inNow - this->since >= cSureMs;
}

} // namespace Loomreach::Jobs
