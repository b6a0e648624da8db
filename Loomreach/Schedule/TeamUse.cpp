// Counts what teams have running, and holds their shares.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Invariant.h>
#include <Loomreach/Core/LogEvent.h>
#include <Loomreach/Schedule/TeamUse.h>

namespace Loomreach::Jobs
{

/// Shares are asked for this often: what is no longer needed is given back, what is held stays good (cShareGoodMs).
static constexpr Millis cAskEveryMs = 200;
/// A team that has had and wanted nothing for so long holds no share: two turns of demand on the users' days.
static constexpr Millis cIdleMs = 8000;
/// And this often while something waits for its team's share: a round trip between zones takes 3 ms, a planning 20 ms apart.
static constexpr Millis cAskShortMs = 40;

void TeamUse::Add(const std::string &inTeam, const Resources &inNeed)
{
	if (!inTeam.empty())
		this->shares[inTeam].used.Add(inNeed);
}

void TeamUse::Subtract(const std::string &inTeam, const Resources &inNeed)
{
	if (inTeam.empty())
		return;
	Share &share = this->shares[inTeam];
	share.used.Subtract(inNeed);
	LOOM_INVARIANT(share.used.cpu_milli >= 0 && share.used.memory_mb >= 0, "what a team uses is the sum of its runs");
}

bool TeamUse::HasRoom(const std::string &inTeam, const Resources &inNeed, Millis inNow) const
{
	const Resources *limit = this->limits.Find(inTeam);
	if (inTeam.empty() || limit == nullptr)
		return true;
	auto found = this->shares.find(inTeam);
	if (found == this->shares.end() || inNow >= this->good_until)
		return false;
	Resources sum = found->second.used;
	sum.Add(inNeed);
	return IsWithin(sum, found->second.held, *limit);
}

Millis TeamUse::NextAskAt(bool inShort) const
{
	if (this->asked_at < 0)
		return 0;
	return this->asked_at + (inShort || this->unknown_to_fleet ? cAskShortMs : cAskEveryMs);
}

ShareQuestion TeamUse::Ask(uint64 inEpoch, const std::map<std::string, Resources> &inWanted, Millis inNow)
{
	ShareQuestion question;
	question.epoch = inEpoch;
	for (const auto &[team, wanted] : inWanted)
		this->shares[team];
	for (auto it = this->shares.begin(); it != this->shares.end();)
	{
		auto &[team, share] = *it;
		auto wanted = inWanted.find(team);
		const Resources want = wanted == inWanted.end() ? Resources{} : wanted->second;
		const bool idle = share.used == Resources{} && want == Resources{};
		if (!idle)
			share.busy_at = inNow;
		// Not named, it holds nothing here any more
		if (idle && inNow - share.busy_at > cIdleMs)
		{
			it = this->shares.erase(it);
			continue;
		}
		if (this->limits.Find(team) != nullptr)
			question.claims.push_back({team, share.used, share.held, want});
		++it;
	}
	this->asked_at = inNow;
	question.number = ++this->number;
	question.fleet_epoch = this->fleet_epoch;
	return question;
}

void TeamUse::OnAnswer(const ShareAnswer &inAnswer, Millis inNow)
{
	// An older question's answer may have been counted as taken back since
	if (inAnswer.number != this->number || this->number == 0 || inAnswer.fleet_epoch < this->fleet_epoch)
		return;
	this->unknown_to_fleet = inAnswer.fleet_epoch > this->fleet_epoch;
	this->fleet_epoch = inAnswer.fleet_epoch;
	for (const TeamShare &row : inAnswer.shares)
	{
		Share &share = this->shares[row.team];
		if (!(row.limit == share.held))
			LogEvent(ELogLevel::Info, "team_share")
				.Field("team", row.team)
				.Field("cpu_milli", row.limit.cpu_milli)
				.Field("memory_mb", row.limit.memory_mb)
				.Field("used_cpu_milli", share.used.cpu_milli)
				.Field("asked_ms_ago", inNow - this->asked_at);
		share.held = row.limit;
	}
	this->good_until = this->asked_at + cShareGoodMs;
}

} // namespace Loomreach::Jobs
