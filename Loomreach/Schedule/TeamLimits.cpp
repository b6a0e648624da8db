// Takes teams' limits from the configuration.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Schedule/TeamLimits.h>

namespace Loomreach::Jobs
{

void TeamLimits::Take(const Catalogue &inCatalogue)
{
	if (!inCatalogue.teams.has_value())
		return;
	for (const auto &[name, team] : *inCatalogue.teams)
	{
		if (team.at_most == Resources{})
			this->limits.erase(name);
		else
			this->limits[name] = team.at_most;
	}
}

const Resources *TeamLimits::Find(std::string_view inTeam) const
{
	auto found = this->limits.find(inTeam);
	return found == this->limits.end() ? nullptr : &found->second;
}

} // namespace Loomreach::Jobs
