// The platform, the wave and the faults of the simulation.

#include <Loomreach/Loomreach.h>

#include <UnitTests/CellTroubles.h>
#include <UnitTests/WaveWorld.h>

namespace Loomreach::Jobs
{

static constexpr size_t cHosts = 8;
static constexpr uint32 cMaxDown = 2;
static constexpr int64 cWave = 1;
static constexpr Millis cWaveMs = 60000;
/// Time of the faults, and of the jobs.
static constexpr Millis cPlayMs = 40000;
static constexpr Millis cListMs = 400;
static constexpr Millis cTickMs = 100;
static constexpr Millis cMaintenanceMs = 2000;
static constexpr uint64 cTransitMs = 60;
static constexpr uint64 cSlowAppendMs = 1000;
/// An order is sent within this time or not at all, also without a drain grant.
static constexpr Millis cOrderValidMs = 1200;

WaveSimulation::WaveSimulation(uint64 inSeed, const SimulationFaults &inFaults, const WaveFaults &inWaveFaults)
	: random(inSeed), simulation(inSeed, inFaults, cHosts), faults(inWaveFaults)
{
	this->simulation.polls_wait = true;
	this->wave = {cWave, {}, cWaveMs, cMaxDown};
	for (const auto &[id, worker] : this->simulation.Workers())
		this->wave.hosts.push_back(id);
	this->planner = std::make_unique<MaintenancePlanner>(MaintenanceTuning{cMaintenanceMs});
}

bool WaveSimulation::IsDown(const std::string &inHost) const
{
	auto down = this->down_until.find(inHost);
	return down != this->down_until.end() && this->simulation.Now() < down->second;
}

std::string WaveSimulation::Play()
{
	JobSpec lasting = MakeLongRunningJob(3);
	this->simulation.Submit(lasting);
	this->simulation.Run(1500);
	this->planner->AddWave(this->wave, {}, this->Now());
	const Millis end = this->Now() + cPlayMs;
	while (this->Now() < end)
	{
		if (this->random.Chance(3))
			this->SubmitJobs();
		this->Step();
	}
	this->faults_on = false;
	this->simulation.ClearFaults();
	this->simulation.Cancel("lasting");
	while (this->Now() < end + cWaveMs)
		this->Step();
	if (!this->planner->IsCompleted(cWave))
		this->violations += "the wave is not completed\n";
	return this->violations + this->simulation.Violations() + this->simulation.UnfinishedJobs();
}

void WaveSimulation::SubmitJobs()
{
	const std::string id = "job" + std::to_string(this->next_job++);
	this->simulation.run_ms[id] = 300 + static_cast<Millis>(this->random.Below(6000));
	this->simulation.Submit(MakeJob(id, 1, 1 + static_cast<uint32>(this->random.Below(4)), 4000, 2000));
}

void WaveSimulation::Step()
{
	this->simulation.Run(cSimulationStepMs);
	const std::vector<PendingOrder> pending = std::exchange(this->orders, {});
	for (const PendingOrder &order : pending)
		if (this->Now() >= order.at)
			this->CarryOut(order);
		else
			this->orders.push_back(order);
	if (this->Now() % 1000 == 0)
		this->InjectFaults();
	if (this->Now() % cListMs == 0)
		this->ListHosts();
	if (this->Now() % cTickMs == 0)
		this->AskForDrains();
}

void WaveSimulation::ListHosts()
{
	std::vector<HostEntry> hosts;
	for (const std::string &name : this->wave.hosts)
	{
		HostEntry host;
		host.name = name;
		host.pool = "pool";
		host.state = this->IsDown(name) ? EHostState::Maintenance : EHostState::Up;
		host.worker = this->IsDown(name) ? "" : name;
		hosts.push_back(host);
	}
	this->planner->SetHosts(hosts, this->Now());
	if (this->planner->IsCompleted(cWave) && this->maintained.size() < cHosts)
		this->violations +=
			"at " + std::to_string(this->Now()) + ": completed after " + std::to_string(this->maintained.size()) + " hosts\n";
}

void WaveSimulation::AskForDrains()
{
	for (const HostEntry &host : this->planner->HostsToDrain(this->Now()))
	{
		// The answer of the pool's owner may get lost
		const bool granted = this->simulation.Core().DrainWorker(host.worker, cDrainGrantMs, this->Now());
		if (!granted || this->Draw(10))
			continue;
		this->planner->OnDrained(host.name, this->Now(), this->Now());
		this->OnGranted(host.name);
	}
	this->logged_done = this->planner->DoneOf(cWave);
	for (const HostOrder &order : this->planner->TakeHostOrders(this->Now()))
	{
		const Millis append = 10 + static_cast<Millis>(this->Draw(this->faults.slow_order) ? this->random.Below(cSlowAppendMs) : 0);
		const Millis sent_at = this->Now() + append;
		this->orders.push_back({order, sent_at, sent_at + static_cast<Millis>(5 + this->random.Below(cTransitMs))});
	}
}

void WaveSimulation::OnGranted(const std::string &inHost)
{
	if (this->Draw(this->faults.restart_after_grant))
		this->RestartWorker(inHost);
	if (this->Draw(this->faults.owner_change_after_grant))
		this->simulation.ReplaceOwner(cOwnerKilled);
}

void WaveSimulation::RestartWorker(const std::string &inHost)
{
	SimulatedWorker &worker = this->simulation.Workers().at(inHost);
	if (!worker.crashed)
		this->simulation.Restart(worker, this->random.Chance(50), cSimulationStepMs * (3 + static_cast<Millis>(this->random.Below(60))));
}

void WaveSimulation::InjectFaults()
{
	for (const std::string &name : this->wave.hosts)
	{
		if (this->Draw(this->faults.restart))
			this->RestartWorker(name);
		if (this->Draw(this->faults.cut))
			this->simulation.Workers().at(name).unreachable_until = this->Now() + 500 + static_cast<Millis>(this->random.Below(9000));
	}
	if (this->Draw(this->faults.owner_change))
		this->simulation.ReplaceOwner(cOwnerKilled);
	if (this->Draw(this->faults.fleet_owner_change) && this->orders.empty())
	{
		this->planner = std::make_unique<MaintenancePlanner>(MaintenanceTuning{cMaintenanceMs});
		this->planner->AddWave(this->wave, this->logged_done, this->Now());
	}
}

void WaveSimulation::CarryOut(const PendingOrder &inPending)
{
	const HostOrder &order = inPending.order;
	const Millis planned_at = order.not_after > 0 ? order.not_after : inPending.at + cOrderValidMs;
	if (inPending.sent_at > planned_at)
		return this->planner->OnHostOrderResult(order, EHostOrderResult::Refused, this->Now());
	SimulatedWorker &worker = this->simulation.Workers().at(order.host);
	if (!this->maintained.contains(order.host) && !this->IsDown(order.host))
	{
		size_t down = 0;
		for (const std::string &name : this->wave.hosts)
			down += this->IsDown(name) ? 1 : 0;
		if (down >= cMaxDown)
			this->violations += "at " + std::to_string(this->Now()) + ": " + order.host + " beside " + std::to_string(down) + " others\n";
		for (const auto &[id, work] : worker.running)
			// A start that was meant for a former incarnation is known to nobody
			if (work.misdelivery.empty() && !worker.crashed)
				this->violations += "at " + std::to_string(this->Now()) + ": taken down with work on it: " + order.host + "\n";
		this->maintained.insert(order.host);
		this->down_until[order.host] = this->Now() + cMaintenanceMs;
		this->simulation.Restart(worker, true, cMaintenanceMs);
		worker.listed_until = this->Now();
		this->simulation.Core().OnWorkersRemoved({order.host}, this->Now());
	}
	const bool unknown = this->Draw(this->faults.unknown_outcome);
	this->planner->OnHostOrderResult(order, unknown ? EHostOrderResult::Unknown : EHostOrderResult::Done, this->Now());
}

} // namespace Loomreach::Jobs
