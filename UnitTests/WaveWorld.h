// Simulation of a maintenance wave beside restarts: the wave's planner asks a simulated cell to drain its workers, and the platform takes
// the hosts down, whichever incarnation is on them by then. Restarts, changes of owner and cuts meet the same worker: most of them follow a
// drain grant at once.

#pragma once

#include <Loomreach/Fleet/Upkeep.h>
#include <UnitTests/CellWorld.h>

namespace Loomreach::Jobs
{

/// Rates of a wave's simulation, in percent.
struct WaveFaults
{
	uint64 restart_after_grant = 0;      ///< A drain grant is followed by a restart of its worker under its id.
	uint64 owner_change_after_grant = 0; ///< A drain grant is followed by the loss of the cell's owner.
	uint64 restart = 0;                  ///< Per second and worker: it starts again under its id.
	uint64 cut = 0;                      ///< Per second and worker: unreachable for 0.5 to 9.5 s.
	uint64 owner_change = 0;             ///< Per second: the cell's owner is lost.
	uint64 fleet_owner_change = 0;       ///< Per second: another host plans the waves, from what the log says.
	uint64 slow_order = 0;               ///< An order to a host waits for an append of up to 1 s.
	uint64 unknown_outcome = 0;          ///< An order to a host is carried out, and its sender is not told.
};

/// See the head of the file. Each worker is alone on a host, which has its name.
class WaveSimulation
{
public:
	WaveSimulation(uint64 inSeed, const SimulationFaults &inFaults, const WaveFaults &inWaveFaults);

	/// Runs jobs and a wave over all hosts, then ends all faults until everything is done. Returns what broke a rule.
	std::string Play();

private:
	/// An order to a host that is under way.
	struct PendingOrder
	{
		HostOrder order;
		Millis sent_at = 0;
		Millis at = 0;
	};

	void SubmitJobs();
	void Step();
	void ListHosts();
	void AskForDrains();
	void InjectFaults();
	void OnGranted(const std::string &inHost);
	void RestartWorker(const std::string &inHost);
	void CarryOut(const PendingOrder &inPending);
	bool IsDown(const std::string &inHost) const;
	Millis Now() const { return this->simulation.Now(); }
	bool Draw(uint64 inPercent) { return this->faults_on && this->random.Chance(inPercent); }

	Random random;
	CellSimulation simulation;
	WaveFaults faults;
	bool faults_on = true;
	MaintenanceWave wave;
	std::unique_ptr<MaintenancePlanner> planner;
	std::set<std::string> logged_done; ///< What the fleet's log says is done.
	std::vector<PendingOrder> orders;
	std::map<std::string, Millis> down_until;
	std::set<std::string> maintained; ///< Hosts whose maintenance has begun.
	int next_job = 0;
	std::string violations;
};

} // namespace Loomreach::Jobs
