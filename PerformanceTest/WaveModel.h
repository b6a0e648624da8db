// Waves of whole deployments under different policies, over the same seeded failures, step by step through the fold.

#pragma once

#include <PerformanceTest/FleetBuilder.h>

namespace Loomreach
{

/// What a wave cost.
struct WaveCost
{
	uint32 steps = 0;      ///< Rounds until every host that could be maintained was; one round is one reboot time.
	uint32 moves = 0;      ///< Replicas displaced.
	uint32 most_moves = 0; ///< Of one replica.
	uint32 maintained = 0;
	uint32 unplaced = 0;     ///< Replica-rounds without a host.
	double idle_percent = 0; ///< Capacity of available hosts not used by services, mean over the rounds: the buffer held.
	uint32 lowest_slack = 0; ///< Least distance of any pool to its budget, in hosts.
};

/// Runs a wave over all hosts under the policy in use.
WaveCost RunPolicyInUse(const FleetShape &inShape, uint32 inFailures, uint64 inSeed);
/// Runs it one host of each pool at a time, first fit.
WaveCost RunOneAtATime(const FleetShape &inShape, uint32 inFailures, uint64 inSeed);
/// Runs it a fixed tenth of each pool at a time, first fit.
WaveCost RunFixedShare(const FleetShape &inShape, uint32 inFailures, uint64 inSeed);
/// Least rounds that any policy needs: for each pool its hosts over its budget's room, the greatest of all.
uint32 LeastSteps(const FleetShape &inShape);
/// Least moves that any policy needs: every host goes out, so every replica must leave its host at least once.
uint32 LeastMoves(const FleetShape &inShape);

} // namespace Loomreach
