// Soak test: runs the real decision code of entry hosts over fakes, with a seeded schedule of pauses, network partitions, lost answers,
// outages, retention, kills, failing workers, maintenance waves, moves and concurrent operators. A broken invariant aborts the run; its
// seed is printed at the start.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Hash.h>
#include <Loomreach/Core/Invariant.h>
#include <Loomreach/Core/LogEvent.h>
#include <SoakTests/SoakNode.h>

#include <cstdio>

#include <gflags/gflags.h>

DEFINE_uint64(seed, 1, "Seed of the schedule.");
DEFINE_uint64(steps, 200'000, "Steps to run.");
DEFINE_uint64(entry_hosts, 9, "Entry hosts.");
DEFINE_uint64(workers, 36, "Workers.");

namespace
{

using namespace Loomreach;

constexpr uint64 cZones = 3;
constexpr uint64 cPools = 4;
constexpr Millis cStepMs = 5;
constexpr uint64 cSettleEverySteps = 20'000;
constexpr int cSettleRounds = 4000;
constexpr LogOffset cMinRetainedRecords = 150;
constexpr uint64 cRebootSteps = 400;

std::string ZoneName(uint64 inIndex) { return "zone-" + std::to_string(inIndex % cZones); }
std::string PoolPath(uint64 inIndex) { return "/group/pool-" + std::to_string(inIndex % cPools); }

/// Counts of events, printed at the end of the run.
struct Tally
{
	uint64 accepted = 0;
	uint64 rejected = 0;
	uint64 duplicates = 0;
	uint64 kills = 0;
	uint64 pauses = 0;
	uint64 partitions = 0;
	uint64 outages = 0;
	uint64 reboots = 0;
	uint64 moves = 0;
	uint64 conflicts = 0;
	uint64 waves = 0;
	uint64 settles = 0;
	uint64 compared = 0;
	uint64 resets = 0;
	uint64 adopted_from_peer = 0;
};

/// The run, with all its nodes, workers and faults.
class Soak
{
public:
	Soak() : random(FLAGS_seed) {}

	void Run()
	{
		for (uint64 i = 0; i < FLAGS_workers; ++i)
			this->AddWorker(i);
		for (uint64 i = 0; i < FLAGS_entry_hosts; ++i)
			this->nodes.push_back(this->MakeNode(i));
		this->versions_seen.resize(FLAGS_entry_hosts, 0);
		for (this->step = 1; this->step <= FLAGS_steps; ++this->step)
		{
			this->now += cStepMs;
			this->ToggleFault();
			this->RunOperator();
			this->RunWorker();
			this->RunNode(this->random.Below(this->nodes.size()));
			this->AdvanceReference();
			if (this->step % cSettleEverySteps == 0)
				this->Settle();
		}
		this->Settle();
		this->Print();
	}

private:
	std::unique_ptr<SoakNode> MakeNode(uint64 inIndex)
	{
		return std::make_unique<SoakNode>("entry-" + std::to_string(inIndex), ZoneName(inIndex), this->random.Next() | 1);
	}

	void AddWorker(uint64 inIndex)
	{
		FakeWorker worker;
		worker.spec.name = "worker-" + std::to_string(inIndex);
		worker.spec.availability_zone = ZoneName(inIndex);
		worker.spec.rack = ZoneName(inIndex) + "-rack-" + std::to_string(inIndex / (cZones * 4));
		worker.spec.capacity = {16'000, 32'000, 0};
		worker.spec.slots = 8;
		worker.pool = PoolPath(inIndex / cZones);
		const std::string worker_name = worker.spec.name;
		this->workers.emplace(worker_name, std::move(worker));
	}

	/// Turns one random fault on or off now and then; several may be active at once.
	void ToggleFault()
	{
		if (this->random.Below(150) != 0)
			return;
		SoakNode &node = *this->nodes[this->random.Below(this->nodes.size())];
		switch (this->random.Below(11))
		{
		case 0:
			this->tally.outages += this->log.down ? 0 : 1;
			this->log.down = !this->log.down;
			break;
		case 1: this->log.lost_answer_percent = static_cast<uint32>(this->random.Below(60)); break;
		case 2:
			node.paused = !node.paused;
			++this->tally.pauses;
			break;
		case 3:
			node.is_partitioned = !node.is_partitioned;
			++this->tally.partitions;
			break;
		case 4: this->PartitionZone(); break;
		case 5: this->Kill(this->random.Below(this->nodes.size())); break;
		case 6: FakeLog::Retain(this->log.records, this->RecordsToKeep()); break;
		case 7:
			this->log.down = false;
			this->log.lost_answer_percent = 0;
			break;
		case 8: this->heartbeat_drop_percent = this->random.Below(50); break;
		case 9: this->ResumeAll(); break;
		case 10: this->KillAll(); break;
		}
	}

	/// Number of records that retention leaves. It never removes a record that no snapshot contains, since the platform retains records for
	/// longer than the time between two snapshots.
	LogOffset RecordsToKeep() const
	{
		SnapshotAssembler assembler;
		for (LogOffset offset = this->log.snapshots.first; offset < this->log.snapshots.Next(); ++offset)
			assembler.Add(this->log.snapshots.records[offset]);
		const std::optional<FleetState> newest = assembler.Newest();
		const LogOffset covered = newest.has_value() ? newest->next_offset : 0;
		return std::max(cMinRetainedRecords, this->log.records.Next() - covered);
	}

	void PartitionZone()
	{
		const std::string zone = ZoneName(this->random.Below(cZones));
		const bool is_partitioned = this->random.Chance(50);
		this->partitioned_zones[zone] = is_partitioned;
		for (auto &node : this->nodes)
			if (node->zone == zone)
				node->is_partitioned = is_partitioned;
		++this->tally.partitions;
	}

	void Kill(uint64 inIndex)
	{
		this->nodes[inIndex] = this->MakeNode(inIndex);
		++this->tally.kills;
	}

	/// Kills all nodes, with a chance of one in four.
	void KillAll()
	{
		if (this->random.Below(4) != 0)
			return;
		for (uint64 i = 0; i < this->nodes.size(); ++i)
			this->Kill(i);
	}

	void ResumeAll()
	{
		for (auto &node : this->nodes)
			node->paused = false;
	}

	std::vector<SettingsNode> RandomSettings()
	{
		std::vector<SettingsNode> tree;
		tree.push_back(
			{"/group", ENodeKind::Group, {{ESetting::MinAvailablePercent, {static_cast<int64>(50 + this->random.Below(40)), {}}}}});
		for (uint64 i = 0; i < cPools; ++i)
		{
			tree.push_back({PoolPath(i), ENodeKind::Pool, {}});
			SettingsNode job{PoolPath(i) + "/job-" + std::to_string(i), ENodeKind::Job, {}};
			job.stated[ESetting::Replicas] = {static_cast<int64>(this->random.Below(10)), {}};
			job.stated[ESetting::CpuMilli] = {static_cast<int64>(1000 + this->random.Below(20'000)), {}};
			job.stated[ESetting::Priority] = {static_cast<int64>(this->random.Below(500)), {}};
			tree.push_back(std::move(job));
			SettingsNode batch{PoolPath(i) + "/batch-" + std::to_string(i), ENodeKind::Job, {}};
			batch.stated[ESetting::Kind] = {0, "batch"};
			batch.stated[ESetting::Replicas] = {static_cast<int64>(this->random.Below(6)), {}};
			batch.stated[ESetting::CpuMilli] = {4000, {}};
			batch.stated[ESetting::Priority] = {10, {}};
			tree.push_back(std::move(batch));
		}
		return tree;
	}

	/// Sends an operator's proposal through a random node; often two at once that are based on the same version.
	void RunOperator()
	{
		if (this->random.Below(300) != 0)
			return;
		SoakNode &node = *this->nodes[this->random.Below(this->nodes.size())];
		if (!node.ready || node.paused)
			return;
		const LogPosition base = node.state.settings_version;
		switch (this->random.Below(6))
		{
		case 0:
		case 1:
		{
			node.Propose(ApplySettings{base, this->RandomSettings(), "first"}, this->now);
			SoakNode &other = *this->nodes[this->random.Below(this->nodes.size())];
			if (this->random.Chance(50) && !other.paused)
				other.Propose(ApplySettings{base, this->RandomSettings(), "second"}, this->now);
			break;
		}
		case 2:
			node.Propose(StartWave{"wave-" + std::to_string(this->step),
								   this->random.Chance(60) ? PoolPath(this->random.Below(cPools)) : "", "", ""},
						 this->now);
			break;
		case 3:
			if (!node.state.waves.empty())
			{
				auto wave = node.state.waves.begin();
				std::advance(wave, static_cast<std::ptrdiff_t>(this->random.Below(node.state.waves.size())));
				node.Propose(ChangeWave{wave->first, static_cast<EWaveAction>(this->random.Below(3))}, this->now);
			}
			break;
		default: this->OperatorOnHost(node); break;
		}
	}

	void OperatorOnHost(SoakNode &ioNode)
	{
		if (ioNode.state.hosts.empty())
			return;
		auto found = ioNode.state.hosts.begin();
		std::advance(found, static_cast<std::ptrdiff_t>(this->random.Below(ioNode.state.hosts.size())));
		const Host &host = found->second;
		if (host.phase == EHostPhase::Drained)
			ioNode.Propose(MoveHost{found->first, host.pool, PoolPath(this->random.Below(cPools)), host.generation}, this->now);
		else
			ioNode.Propose(
				StepHost{found->first, this->random.Chance(70) ? EHostStep::Drain : EHostStep::Undrain, host.generation, "", "operator", 0},
				this->now);
	}

	/// Lets a random worker start or end a request, fail, recover, or return from its reboot.
	void RunWorker()
	{
		auto found = this->workers.begin();
		std::advance(found, static_cast<std::ptrdiff_t>(this->random.Below(this->workers.size())));
		FakeWorker &worker = found->second;
		if (worker.rebooted_at != 0 && this->step - worker.rebooted_at > cRebootSteps)
		{
			worker.rebooted_at = 0;
			worker.up = true;
			worker.accepts = true;
			worker.order_offset = 0;
			++worker.boot;
		}
		// Requests also come from entry hosts with a stale state, so only the worker's own refusal can keep them off
		if (worker.up && worker.accepts && worker.in_flight < worker.spec.slots && this->random.Chance(30))
			++worker.in_flight;
		else if (worker.in_flight > 0)
			--worker.in_flight;
		if (this->random.Below(3000) == 0 && worker.rebooted_at == 0)
		{
			worker.up = !worker.up;
			worker.in_flight = 0;
			worker.tasks.clear();
			worker.boot += worker.up ? 1 : 0;
			worker.order_offset = 0;
		}
		if (this->random.Below(5000) == 0)
			worker.fails_tasks = !worker.fails_tasks;
	}

	bool CanReach(const SoakNode &inNode, const FakeWorker &inWorker) const
	{
		auto found = this->partitioned_zones.find(inWorker.spec.availability_zone);
		const bool zone_is_partitioned = found != this->partitioned_zones.end() && found->second;
		return inWorker.up && (!zone_is_partitioned || inNode.zone == inWorker.spec.availability_zone);
	}

	bool CanReachPeer(const SoakNode &inA, const SoakNode &inB) const
	{
		const auto is_zone_partitioned = [this](const std::string &inZone)
		{
			auto found = this->partitioned_zones.find(inZone);
			return found != this->partitioned_zones.end() && found->second;
		};
		return inA.zone == inB.zone || (!is_zone_partitioned(inA.zone) && !is_zone_partitioned(inB.zone));
	}

	/// Sends the node's order to a worker and records the worker's answer.
	void PollWorker(SoakNode &ioNode, const Host &inHost)
	{
		FakeWorker &worker = this->workers.find(inHost.spec.name)->second;
		HostObservation &observation = ioNode.observations.hosts[inHost.spec.name];
		if (observation.first_polled == 0)
			observation.first_polled = this->now;
		if (inHost.phase == EHostPhase::Out && worker.up && worker.boot == inHost.boot_before_reboot && ioNode.reaches_platform)
			this->Reboot(worker);
		if (!this->CanReach(ioNode, worker) || ioNode.state.next_offset < worker.order_offset)
			return;
		worker.order_offset = ioNode.state.next_offset;
		worker.accepts = inHost.phase == EHostPhase::Active;
		std::map<ReplicaKey, TaskReport> tasks;
		for (const ReplicaKey &replica : inHost.replicas)
		{
			const LogPosition generation = ioNode.state.placements.find(replica)->second.generation;
			auto present = worker.tasks.find(replica);
			TaskReport task{replica, generation, ETaskState::Running, 0, {}};
			if (present != worker.tasks.end() && present->second.generation == generation)
				task = present->second;
			auto job = ioNode.state.jobs.find(replica.job);
			const bool is_batch = job != ioNode.state.jobs.end() && !job->second.is_service;
			if (is_batch && worker.fails_tasks)
				task.state = ETaskState::Failed;
			else if (is_batch && this->random.Chance(10))
				task.state = ETaskState::Finished;
			tasks.emplace(replica, task);
		}
		worker.tasks = std::move(tasks);
		observation.last_answer = this->now;
		observation.boot = worker.boot;
		observation.in_flight = worker.in_flight;
		observation.tasks.clear();
		for (const auto &[replica, task] : worker.tasks)
			observation.tasks.push_back(task);
		const bool quiet = worker.in_flight == 0 && !worker.accepts;
		observation.quiet_since = !quiet ? 0 : observation.quiet_since == 0 ? this->now : observation.quiet_since;
	}

	void Reboot(FakeWorker &ioWorker)
	{
		LOOM_INVARIANT(ioWorker.in_flight == 0, "a planned stop cuts no request that is in flight");
		ioWorker.up = false;
		ioWorker.tasks.clear();
		ioWorker.rebooted_at = this->step;
		++this->tally.reboots;
	}

	void RunNode(uint64 inIndex)
	{
		SoakNode &node = *this->nodes[inIndex];
		if (node.paused)
			return;
		node.outcomes.clear();
		// Skips reads at times, so that an append whose answer was lost is repeated before its record is read
		if (!this->random.Chance(30))
			node.ReadLog(this->log);
		this->ReceiveHeartbeats(node);
		if (node.ready)
		{
			LOOM_INVARIANT(node.state.settings_version >= this->versions_seen[inIndex] || !node.reaches_platform,
						   "the accepted settings version of an entry host never decreases, not even over restarts");
			this->versions_seen[inIndex] = std::max(this->versions_seen[inIndex], node.state.settings_version);
		}
		this->PollHosts(node);
		node.Plan(this->now);
		node.Append(this->log, this->random, this->now);
		if (this->random.Chance(5))
			node.MaybeSnapshot(this->log, this->random, this->now);
		this->CompareWithReference(node);
	}

	void ReceiveHeartbeats(SoakNode &ioNode)
	{
		for (auto &peer : this->nodes)
		{
			if (peer.get() == &ioNode || peer->paused || !this->CanReachPeer(ioNode, *peer) ||
				this->random.Below(100) < this->heartbeat_drop_percent)
				continue;
			HeartbeatMessage heartbeat = peer->MakeHeartbeat(this->now);
			const HeartbeatMessage duplicate = heartbeat;
			ioNode.tracker.OnHeartbeat(std::move(heartbeat), this->now);
			// A duplicated datagram must change nothing
			LOOM_INVARIANT(!ioNode.tracker.OnHeartbeat(duplicate, this->now), "a replayed digest is refused");
			if (!ioNode.ready && !ioNode.reaches_platform)
			{
				ioNode.AdoptFrom(*peer);
				this->tally.adopted_from_peer += ioNode.ready ? 1 : 0;
			}
			else if (peer->state.next_offset > ioNode.state.next_offset)
				ioNode.FetchFrom(*peer);
		}
	}

	void PollHosts(SoakNode &ioNode)
	{
		ioNode.observations.list_is_fresh = ioNode.reaches_platform;
		if (ioNode.reaches_platform && this->random.Chance(20))
		{
			ioNode.observations.listed.clear();
			for (const auto &[worker_name, worker] : this->workers)
				ioNode.observations.listed.emplace(worker_name, ListedHost{worker.spec, worker.pool, false});
		}
		if (!ioNode.ready)
			return;
		const PlannerAssignment assignment = ioNode.MakeAssignment(this->now);
		std::set<std::string> polled;
		for (const auto &[host_name, host] : ioNode.state.hosts)
		{
			if (!assignment.IsAssignedInZone("host:" + host_name, host.spec.availability_zone))
				continue;
			polled.insert(host_name);
			this->PollWorker(ioNode, host);
		}
		std::erase_if(ioNode.observations.hosts, [&polled](const auto &inEntry) { return polled.count(inEntry.first) == 0; });
	}

	/// Applies all records of the log, also those that retention has removed, to the reference state with which every node must agree.
	void AdvanceReference()
	{
		while (this->reference.next_offset < this->log.records.Next())
		{
			const LogOffset offset = this->reference.next_offset;
			for (const ProposalOutcome &outcome : ApplyLogRecord(this->reference, offset, this->log.records.records[offset]))
				this->CheckOutcome(outcome);
			if (offset % 16 == 0)
				this->reference.CheckInvariants();
			this->reference_hashes.push_back(this->reference.Hash());
		}
	}

	void CheckOutcome(const ProposalOutcome &inOutcome)
	{
		if (inOutcome.error == EError::DuplicateProposal)
		{
			++this->tally.duplicates;
			return;
		}
		LOOM_INVARIANT(this->applied_ids.insert(inOutcome.id).second, "an id takes effect once, however often it is appended");
		++(inOutcome.Accepted() ? this->tally.accepted : this->tally.rejected);
		this->tally.conflicts += inOutcome.error == EError::Conflict ? 1 : 0;
		this->tally.moves += inOutcome.Accepted() && inOutcome.kind == EProposal::MoveHost ? 1 : 0;
		this->tally.waves += inOutcome.Accepted() && inOutcome.kind == EProposal::StartWave ? 1 : 0;
		this->tally.resets = this->reference.view.resets;
	}

	/// Checks that a node has the state that the reference had at the same offset.
	void CompareWithReference(const SoakNode &inNode)
	{
		const LogOffset offset = inNode.state.next_offset;
		if (!inNode.ready || offset == 0 || offset > this->reference_hashes.size() || !this->random.Chance(5))
			return;
		LOOM_INVARIANT(inNode.state.Hash() == this->reference_hashes[offset - 1],
					   "two that have read as far have the same state; snapshot and tail equal the full fold");
		++this->tally.compared;
	}

	/// Ends all faults and runs on until the nodes must have the same state and all hosts must have recovered, and checks it.
	void Settle()
	{
		this->log.down = false;
		this->log.lost_answer_percent = 0;
		this->heartbeat_drop_percent = 0;
		this->partitioned_zones.clear();
		this->ResumeAll();
		for (auto &node : this->nodes)
			node->is_partitioned = false;
		for (auto &[worker_name, worker] : this->workers)
		{
			worker.up = worker.up || worker.rebooted_at == 0;
			worker.fails_tasks = false;
		}
		for (int round = 0; round < cSettleRounds; ++round)
		{
			this->now += cStepMs;
			this->RunWorker();
			this->RunNode(static_cast<uint64>(round) % this->nodes.size());
			this->AdvanceReference();
		}
		for (auto &node : this->nodes)
		{
			node->ReadLog(this->log);
			LOOM_INVARIANT(node->ready, "every entry host that reaches the platform gets the state");
			LOOM_INVARIANT(node->state.Hash() == this->reference.Hash(), "an accepted change reaches every entry host");
			LOOM_INVARIANT(this->reference.view.members.count(node->name) == 1, "every entry host that lives is in the view");
		}
		this->CheckRecovered();
		++this->tally.settles;
	}

	/// Checks that after failures during waves, the hosts of each pool are available again, but for those in waves or drained by operators.
	void CheckRecovered()
	{
		for (const auto &[pool, counts] : this->reference.pool_counts)
		{
			uint32 unavailable = 0;
			for (const auto &[host_name, host] : this->reference.hosts)
				unavailable += host.pool == pool && !host.IsAvailable() ? 1 : 0;
			LOOM_INVARIANT(counts.available + unavailable == counts.hosts, "every host of a pool is available or has a reason not to be");
		}
	}

	void Print() const
	{
		std::printf("soak seed=%lu steps=%lu entry_hosts=%lu records=%lu accepted=%lu rejected=%lu repeats_ignored=%lu kills=%lu "
					"pauses=%lu cuts=%lu "
					"outages=%lu reboots=%lu moves=%lu waves=%lu conflicts=%lu compared=%lu settles=%lu resets=%lu adopted_from_peer=%lu "
					"broken=%lu\n",
					FLAGS_seed, FLAGS_steps, FLAGS_entry_hosts, this->log.records.Next(), this->tally.accepted, this->tally.rejected,
					this->tally.duplicates, this->tally.kills, this->tally.pauses, this->tally.partitions, this->tally.outages,
					this->tally.reboots, this->tally.moves, this->tally.waves, this->tally.conflicts, this->tally.compared,
					this->tally.settles, this->tally.resets, this->tally.adopted_from_peer, BrokenInvariants());
	}

	Random random;
	uint64 step = 0;
	Millis now = 1000;
	FakeLog log;
	std::vector<std::unique_ptr<SoakNode>> nodes;
	std::map<std::string, FakeWorker> workers;
	std::map<std::string, bool> partitioned_zones;
	uint64 heartbeat_drop_percent = 0;
	FleetState reference;
	std::vector<uint64> reference_hashes; ///< Hash of the reference state after each record.
	std::set<ProposalId> applied_ids;
	std::vector<LogPosition> versions_seen;
	Tally tally;
};

} // namespace

int main(int argc, char **argv)
{
	gflags::SetUsageMessage("Seeded randomised run with invariants.");
	gflags::ParseCommandLineFlags(&argc, &argv, true);
	StartLogging(argv[0]);
	SetInvariantsAbort(true);
	std::printf("soak seed=%lu begins\n", FLAGS_seed);
	std::fflush(stdout);
	Soak soak;
	soak.Run();
	return 0;
}
