// Wave model: compares policies for maintenance waves over whole fleets, with the same seeded host failures. All changes of the state are
// proposals that are applied as in production.

#pragma once

#include <PerformanceTest/FleetBuilder.h>

namespace Loomreach
{

/// Cost of a wave.
struct WaveCost
{
	uint32 steps = 0;     ///< Rounds until every host that can be maintained has been; a round is the time of a reboot.
	uint32 moves = 0;     ///< Moves of replicas to another host.
	uint32 max_moves = 0; ///< Maximum number of moves of one replica.
	uint32 maintained = 0;
	uint32 unplaced = 0;     ///< Sum over the rounds of the replicas without a host.
	double idle_percent = 0; ///< CPU of available hosts that is not in use, mean over the rounds: the buffer.
	uint32 lowest_slack = 0; ///< Minimum over pools and rounds of the available hosts beyond the required ones.
};

/// Runs a wave over all hosts under the policies that production uses.
WaveCost RunPolicyInUse(const FleetShape &inShape, uint32 inFailures, uint64 inSeed);
/// Runs it with one host of each pool at a time and first-fit placement.
WaveCost RunOneAtATime(const FleetShape &inShape, uint32 inFailures, uint64 inSeed);
/// Runs it with a fixed tenth of each pool at a time and first-fit placement.
WaveCost RunFixedShare(const FleetShape &inShape, uint32 inFailures, uint64 inSeed);
/// Lower bound of the rounds under any policy: the maximum over the pools of the hosts divided by the hosts that may be unavailable at
/// once.
uint32 MinSteps(const FleetShape &inShape);
/// Lower bound of the moves under any policy: every host goes out, so every replica leaves its host at least once.
uint32 MinMoves(const FleetShape &inShape);

} // namespace Loomreach
