// Accounts for the resources of teams' runs and for the granted shares of their limits.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Invariant.h>
#include <Loomreach/Core/LogEvent.h>
#include <Loomreach/Schedule/TeamUse.h>

namespace Loomreach::Jobs
{

/// Interval between questions for shares. Each question returns what is no longer needed and renews what is held before it becomes invalid.
static constexpr Millis cQuestionIntervalMs = 200;
/// Idle time after which a team's share is returned: the length of two swings in demand.
static constexpr Millis cIdleTeamMs = 8000;
/// Interval while tasks wait for their team's share. A round trip between zones takes 3 ms, and planning rounds are 20 ms apart.
static constexpr Millis cShortQuestionIntervalMs = 40;

void TeamUsage::Add(const std::string &inTeam, const Resources &inRequested)
{
	if (!inTeam.empty())
		this->shares[inTeam].used.Add(inRequested);
}

void TeamUsage::Subtract(const std::string &inTeam, const Resources &inRequested)
{
	if (inTeam.empty())
		return;
	Share &share = this->shares[inTeam];
	share.used.Subtract(inRequested);
	LOOM_INVARIANT(share.used.cpu_milli >= 0 && share.used.memory_mb >= 0, "the resources used by a team equal the sum of its runs");
}

bool TeamUsage::HasCapacity(const std::string &inTeam, const Resources &inRequested, Millis inNow) const
{
	const Resources *limit = this->limits.Find(inTeam);
	if (inTeam.empty() || limit == nullptr)
		return true;
	auto found = this->shares.find(inTeam);
	if (found == this->shares.end() || inNow >= this->valid_until)
		return false;
	Resources sum = found->second.used;
	sum.Add(inRequested);
	return IsWithin(sum, found->second.held, *limit);
}

Millis TeamUsage::NextQuestionAt(bool inShortOfShare) const
{
	if (this->asked_at < 0 || this->ask_at_once)
		return 0;
	return this->asked_at + (inShortOfShare || this->fleet_owner_changed ? cShortQuestionIntervalMs : cQuestionIntervalMs);
}

ShareQuestion TeamUsage::BuildQuestion(uint64 inEpoch, const std::map<std::string, Resources> &inWanted, Millis inNow)
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
		const bool is_idle = share.used == Resources{} && want == Resources{};
		if (!is_idle)
			share.last_active_at = inNow;
		// A team that the question does not list holds no share in this cell
		if (is_idle && inNow - share.last_active_at > cIdleTeamMs)
		{
			it = this->shares.erase(it);
			continue;
		}
		if (this->limits.Find(team) != nullptr)
			question.claims.push_back({team, share.used, share.held, want});
		++it;
	}
	this->asked_at = inNow;
	this->ask_at_once = false;
	question.number = ++this->number;
	question.fleet_epoch = this->fleet_epoch;
	return question;
}

bool TeamUsage::OnFleetOwner(uint64 inFleetEpoch)
{
	if (inFleetEpoch <= std::max(this->fleet_epoch, this->announced_fleet_epoch))
		return false;
	this->announced_fleet_epoch = inFleetEpoch;
	this->ask_at_once = true;
	return true;
}

void TeamUsage::OnAnswer(const ShareAnswer &inAnswer, Millis inNow)
{
	// The fleet's owner may have counted the share of an older answer as returned since
	if (inAnswer.number != this->number || this->number == 0 || inAnswer.fleet_epoch < this->fleet_epoch)
		return;
	this->fleet_owner_changed = inAnswer.fleet_epoch > this->fleet_epoch;
	this->ask_at_once = this->fleet_owner_changed;
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
	this->valid_until = this->asked_at + cShareValidMs;
}

} // namespace Loomreach::Jobs
