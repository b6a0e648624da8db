// Compares policies for maintenance waves, slot shares and overload, and prints the tables of docs/design.

#include <Loomreach/Loomreach.h>

#include <PerformanceTest/OverloadModel.h>
#include <PerformanceTest/SlotModel.h>
#include <PerformanceTest/WaveModel.h>

#include <cstdio>

#include <gflags/gflags.h>

DEFINE_uint64(seed, 1, "Seed of arrivals and failures.");
DEFINE_bool(full_size, true, "Also run the waves at the two-year size.");

namespace
{

using namespace Loomreach;

void PrintWave(const char *inShape, uint32 inFailures, const char *inPolicy, const FleetShape &inFleet, const WaveCost &inCost)
{
	std::printf("%-10s %8u  %-20s %6u %7u %10.2f %10u %12u %9u %10.1f %6u\n", inShape, inFailures, inPolicy, inCost.steps, inCost.moves,
				static_cast<double>(inCost.moves) / inFleet.hosts, inCost.max_moves, inCost.maintained, inCost.unplaced,
				inCost.idle_percent, inCost.lowest_slack);
}

void CompareWaves(const char *inName, const FleetShape &inShape)
{
	for (const uint32 failures : {0U, 1U, 3U})
	{
		PrintWave(inName, failures, "policy in use", inShape, RunPolicyInUse(inShape, failures, FLAGS_seed));
		PrintWave(inName, failures, "one at a time", inShape, RunOneAtATime(inShape, failures, FLAGS_seed));
		PrintWave(inName, failures, "a fixed tenth", inShape, RunFixedShare(inShape, failures, FLAGS_seed));
	}
	std::printf("%-10s lower bounds: %u steps, %u moves\n", inName, MinSteps(inShape), MinMoves(inShape));
}

void CompareSlots(double inLoad, double inSkew)
{
	const SlotLoad load{6, 10, inLoad, inSkew};
	const auto print = [&](const char *inPolicy, const SlotCost &inCost)
	{
		std::printf("%5.2f %5.2f  %-18s %11.1f %8.1f %13.3f %6u\n", inLoad, inSkew, inPolicy, inCost.utilisation, inCost.served,
					inCost.refused_full, inCost.max_in_flight);
	};
	print("fixed share", RunSlots<FixedSlotShare>(load, FLAGS_seed));
	print("demand share", RunSlots<DemandSlotShare>(load, FLAGS_seed));
	print("endpoint refusal", RunSlots<UnlimitedSlotShare>(load, FLAGS_seed));
}

void CompareOverload(double inLoad, uint32 inFailedWorkers)
{
	const auto print = [&](const char *inPolicy, const OverloadCost &inCost)
	{
		std::printf("%5.1f %5u  %-12s %10.1f %9.1f %9.1f %11.1f %9.3f\n", inLoad, inFailedWorkers, inPolicy, inCost.in_time_high,
					inCost.in_time_low, inCost.goodput, inCost.mean_refusal_ms, inCost.attempts);
	};
	print("dispatcher", RunDispatcher({inLoad, inFailedWorkers}, FLAGS_seed));
	print("plain FIFO", RunFifo({inLoad, inFailedWorkers}, FLAGS_seed));
}

} // namespace

int main(int argc, char **argv)
{
	gflags::ParseCommandLineFlags(&argc, &argv, true);
	std::printf("== Waves\nfleet      failures  policy                steps   moves moves/host most/repl.  maintained  unplaced buffer "
				"idle%% slack\n");
	CompareWaves("msafiri", BufferWeightedShape());
	CompareWaves("kushiro", MoveWeightedShape());
	if (FLAGS_full_size)
		CompareWaves("two-year", TwoYearShape());
	std::printf("\n== Slot shares: 6 entry hosts, 10 workers of 8 slots\n load  skew  policy             utilisation served%% refusals/req "
				" most\n");
	for (const double load : {0.5, 0.9, 1.2})
		for (const double skew : {0.0, 0.8})
			CompareSlots(load, skew);
	std::printf("\n== Overload: 9 workers of 8 slots, two classes, deadline 500 ms\n load  dead  policy       high good%% low good%% "
				"goodput%% refusal ms att./req.\n");
	for (const double load : {1.0, 1.5, 3.0, 10.0})
		CompareOverload(load, 0);
	CompareOverload(0.6, 3);
	CompareOverload(1.0, 3);
	return 0;
}
