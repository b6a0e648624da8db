// The usual time of answers, and what is expected.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Platform/PeerTrust.h>

namespace Loomreach
{

/// No answer is overdue sooner, ms: the store's usual one takes 4 ms and a worker's few; a scheduling gap of an entry host with a quarter
/// of a core is up to 75 ms.
static constexpr Millis cLeastPatienceMs = 100;
static constexpr double cPatience = 10.0;      ///< Or not before this many times the usual.
static constexpr double cBackoff = 2.0;        ///< Growth of the patience when it was exceeded,
static constexpr Millis cMostBackoffMs = 2000; ///< up to this, ms: calls have run out of their time by then.
static constexpr double cSlowerShare = 0.5;    ///< Weight of a longer answer in the usual time: a slow server must be known as such soon.
static constexpr double cFasterShare = 0.1;    ///< Of a shorter one.

Millis PeerTrust::Patience() const { return std::max(cLeastPatienceMs, static_cast<Millis>(this->usual_ms * cPatience)); }

void PeerTrust::OnSent(Key inCall, Millis inWaitMs, Millis inNow)
{
	this->OnOver(inCall);
	this->expected.emplace_back(inNow + inWaitMs + this->Patience(), inCall);
}

void PeerTrust::OnAnswered(Millis inTookMs)
{
	const double more = static_cast<double>(inTookMs) - this->usual_ms;
	this->usual_ms += more * (more > 0 ? cSlowerShare : cFasterShare);
}

void PeerTrust::OnOver(Key inCall)
{
	std::erase_if(this->expected, [inCall](const auto &inExpected) { return inExpected.second == inCall; });
}

void PeerTrust::OnGivenUp()
{
	this->expected.clear();
	const double next = std::min(static_cast<double>(this->Patience()) * cBackoff, static_cast<double>(cMostBackoffMs));
	this->usual_ms = std::max(this->usual_ms, next / cPatience);
}

bool PeerTrust::IsExpected(Key inCall) const
{
	return std::any_of(this->expected.begin(), this->expected.end(),
					   [inCall](const auto &inExpected) { return inExpected.second == inCall; });
}

std::optional<Millis> PeerTrust::OverdueAt() const
{
	std::optional<Millis> first;
	for (const auto &[at, call] : this->expected)
		first = std::min(first.value_or(at), at);
	return first;
}

} // namespace Loomreach
