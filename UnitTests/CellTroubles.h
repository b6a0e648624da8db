// Fault mixes and scenarios shared by the tests of a cell.

#pragma once

#include <UnitTests/CellWorld.h>

namespace Loomreach::Jobs
{

/// Seeds to run: those of the test, or others that the environment names as LOOM_SEEDS="first count".
struct SeedRange
{
	uint64 first = 1;
	uint64 count = 600;
};

SeedRange SeedsToRun(uint64 inCount = 600);

/// A job with one step of long-running tasks, each on another worker.
JobSpec MakeLongRunningJob(uint32 inCount);
/// Submits jobs over some seconds and cancels some of them.
void RunMixedWorkload(CellSimulation &ioSimulation, Random &ioRandom);
SimulationFaults RandomFaults(Random &ioRandom);
/// No failures of the network, the owner or the workers, so that an end counts once it was listed. `inEntryLapses`: entries lapse too.
SimulationFaults PlannedFaultsBase(Random &ioRandom, bool inEntryLapses);
SimulationFaults PlannedFaults(Random &ioRandom);
/// Planned faults, and appends that take 1 s.
SimulationFaults PlannedFaultsWithSlowAppends(Random &ioRandom);
/// Planned faults, and owner pauses beyond the lease.
SimulationFaults PlannedFaultsWithLongPauses(Random &ioRandom);
/// Planned faults, and both of these.
SimulationFaults PlannedFaultsWithSlowAppendsAndLongPauses(Random &ioRandom);
/// The same, and other owners take over from paused ones.
SimulationFaults PlannedFaultsWithTakeovers(Random &ioRandom);
/// The same, and the addresses of workers that have left are reused.
SimulationFaults PlannedFaultsWithAddressReuse(Random &ioRandom);
/// Planned faults, and owners that are killed; an end that the owner has read still counts.
SimulationFaults PlannedFaultsWithOwnerKills(Random &ioRandom);
/// The same with slow appends.
SimulationFaults PlannedFaultsWithOwnerKillsAndSlowAppends(Random &ioRandom);
/// Workers crash and soon start again under their ids.
SimulationFaults RestartsUnderOneId(Random &ioRandom);
/// The same, and orders are executed late, by the incarnation that is there by then.
SimulationFaults RestartsWithLateOrders(Random &ioRandom);
/// Restarts under the same id, with owner changes and slow appends.
SimulationFaults RestartsWithOwnerChanges(Random &ioRandom);
/// Planned faults with takeovers; workers that leave return under their ids.
SimulationFaults PlannedFaultsWithReturningWorkers(Random &ioRandom);
/// All faults, with restarts and returns under the same id.
SimulationFaults AllFaultsWithRestarts(Random &ioRandom);
/// All kinds of faults, but for restarts under the same id.
SimulationFaults AllFaults(Random &ioRandom);
/// Runs a mixed workload under a fault mix, beside a job whose tasks may run twice concurrently, and then without faults. Returns
/// violations and unfinished jobs.
std::string RunFaultMix(uint64 inSeed, SimulationFaults (*inKind)(Random &));
inline constexpr size_t cWorkersPerRack = 4;
/// Distributes the workers over racks.
void AssignRacks(CellSimulation &ioSimulation);
/// Crashes the workers of one of `inRacks` racks; their host is unresponsive or closes connections, and they are back after 0.5 to 8.5 s.
void LoseRack(CellSimulation &ioSimulation, Random &ioRandom, size_t inRacks);
/// A job whose tasks crash their workers.
JobSpec MakeCrashingJob(CellSimulation &ioSimulation, const std::string &inId, uint32 inCount, Millis inAfterMs);
/// Submits jobs that crash no workers over some seconds; `ioNext` numbers them.
void SubmitHealthyJobs(CellSimulation &ioSimulation, Random &ioRandom, int inJobs, int &ioNext);

} // namespace Loomreach::Jobs
