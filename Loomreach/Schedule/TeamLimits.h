// What teams may have running over all pools, as the configurations said.

#pragma once

#include <Loomreach/Schedule/Catalogue.h>

namespace Loomreach::Jobs
{

/// See the head of the file.
class TeamLimits
{
public:
	/// A newer configuration. A team that it does not name any more keeps its last limit: its accepted jobs go on.
	void Take(const Catalogue &inCatalogue);
	/// A team's limit, or null if it has none.
	const Resources *Find(std::string_view inTeam) const;
	bool IsEmpty() const { return this->limits.empty(); }

private:
	std::map<std::string, Resources, std::less<>> limits; ///< Of teams with a limit in any resource; 0: none in that one.
};

/// Whether `inSum` is within a limit of which 0 means none.
inline bool IsWithin(const Resources &inSum, const Resources &inAllowed, const Resources &inLimit)
{
	return (inLimit.cpu_milli == 0 || inSum.cpu_milli <= inAllowed.cpu_milli) &&
		   (inLimit.memory_mb == 0 || inSum.memory_mb <= inAllowed.memory_mb) &&
		   (inLimit.accelerators == 0 || inSum.accelerators <= inAllowed.accelerators);
}

/// Applies an operation to each resource by itself.
template <class Operation>
Resources EachOf(const Resources &inA, const Resources &inB, Operation inOperation)
{
	return {inOperation(inA.cpu_milli, inB.cpu_milli), inOperation(inA.memory_mb, inB.memory_mb),
			inOperation(inA.accelerators, inB.accelerators)};
}

/// The lesser and the greater of each.
inline Resources LeastOf(const Resources &inA, const Resources &inB)
{
	return EachOf(inA, inB, [](int64 inX, int64 inY) { return std::min(inX, inY); });
}
inline Resources GreatestOf(const Resources &inA, const Resources &inB)
{
	return EachOf(inA, inB, [](int64 inX, int64 inY) { return std::max(inX, inY); });
}

} // namespace Loomreach::Jobs
