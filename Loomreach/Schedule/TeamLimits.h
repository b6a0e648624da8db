// Limits on the resources that teams may use over all pools, and arithmetic on resources.

#pragma once

#include <Loomreach/Schedule/Catalogue.h>

namespace Loomreach::Jobs
{

/// Limits of all teams that have had one in any configuration.
class TeamLimits
{
public:
	/// Applies a newer configuration. A team that it no longer lists keeps its last limit, because its accepted jobs continue.
	void Update(const Catalogue &inCatalogue);
	/// A team's limit, or null if it has none. Resources with limit 0 are unlimited.
	const Resources *Find(std::string_view inTeam) const;
	bool IsEmpty() const { return this->limits.empty(); }

private:
	std::map<std::string, Resources, std::less<>> limits; ///< Teams with a limit on at least one resource; 0: no limit on that resource.
};

/// Whether `inSum` is within `inAllowed` for each resource that `inLimit` limits (0: no limit).
inline bool IsWithin(const Resources &inSum, const Resources &inAllowed, const Resources &inLimit)
{
	return (inLimit.cpu_milli == 0 || inSum.cpu_milli <= inAllowed.cpu_milli) &&
		   (inLimit.memory_mb == 0 || inSum.memory_mb <= inAllowed.memory_mb) &&
		   (inLimit.accelerators == 0 || inSum.accelerators <= inAllowed.accelerators);
}

/// Applies an operation to each resource.
template <class Operation>
Resources ForEachResource(const Resources &inA, const Resources &inB, Operation inOperation)
{
	return {inOperation(inA.cpu_milli, inB.cpu_milli), inOperation(inA.memory_mb, inB.memory_mb),
			inOperation(inA.accelerators, inB.accelerators)};
}

/// Minimum of each resource.
inline Resources MinOf(const Resources &inA, const Resources &inB)
{
	return ForEachResource(inA, inB, [](int64 inX, int64 inY) { return std::min(inX, inY); });
}
/// Maximum of each resource.
inline Resources MaxOf(const Resources &inA, const Resources &inB)
{
	return ForEachResource(inA, inB, [](int64 inX, int64 inY) { return std::max(inX, inY); });
}

} // namespace Loomreach::Jobs
