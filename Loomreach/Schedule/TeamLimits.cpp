// Takes teams' limits from the configuration.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Schedule/TeamLimits.h>

namespace Loomreach::Jobs
{

void TeamLimits::Update(const Catalogue &inCatalogue)
{
	if (!inCatalogue.teams.has_value())
		return;
	for (const auto &[name, team] : *inCatalogue.teams)
	{
		if (team.limit == Resources{})
			this->limits.erase(name);
		else
			this->limits[name] = team.limit;
	}
}

const Resources *TeamLimits::Find(std::string_view inTeam) const
{
	auto found = this->limits.find(inTeam);
	return found == this->limits.end() ? nullptr : &found->second;
}

} // namespace Loomreach::Jobs
