// The soak: entry hosts' real decision code over fakes, with a seeded schedule of pauses, cuts, lost answers, outages, retention,
// kills, failing workers, waves, moves and operators who race. Invariants abort; a failure prints its seed.

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
constexpr uint64 cSettleEvery = 20'000;
constexpr int cSettleRounds = 4000;
constexpr LogOffset cRetention = 150;
constexpr uint64 cRebootSteps = 400;

std::string ZoneName(uint64 inIndex) { return "zone-" + std::to_string(inIndex % cZones); }
std::string PoolPath(uint64 inIndex) { return "/group/pool-" + std::to_string(inIndex % cPools); }

/// What the run has seen, printed at its end.
struct Tally
{
	uint64 accepted = 0;
	uint64 rejected = 0;
	uint64 repeats = 0;
	uint64 kills = 0;
	uint64 pauses = 0;
	uint64 cuts = 0;
	uint64 outages = 0;
	uint64 reboots = 0;
	uint64 moves = 0;
	uint64 conflicts = 0;
	uint64 waves = 0;
	uint64 settles = 0;
	uint64 compared = 0;
	uint64 resets = 0;
	uint64 from_peer = 0;
};

/// The whole run.
class Soak
{
public:
	Soak() : random(FLAGS_seed) {}

	void Run()
	{
		for (uint64 i = 0; i < FLAGS_workers; ++i)
			this->AddWorker(i);
		for (uint64 i = 0; i < FLAGS_entry_hosts; ++i)
			this->nodes.push_back(this->NewNode(i));
		this->versions_seen.resize(FLAGS_entry_hosts, 0);
		for (this->step = 1; this->step <= FLAGS_steps; ++this->step)
		{
			this->now += cStepMs;
			this->Fault();
			this->OperatorActs();
			this->WorkersAct();
			this->NodeActs(this->random.Below(this->nodes.size()));
			this->FollowReference();
			if (this->step % cSettleEvery == 0)
				this->Settle();
		}
		this->Settle();
		this->Print();
	}

private:
	std::unique_ptr<SoakNode> NewNode(uint64 inIndex)
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

	/// Turns faults on and off, alone, together and doubled.
	void Fault()
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
		case 1: this->log.lose_percent = static_cast<uint32>(this->random.Below(60)); break;
		case 2:
			node.paused = !node.paused;
			++this->tally.pauses;
			break;
		case 3:
			node.cut = !node.cut;
			++this->tally.cuts;
			break;
		case 4: this->CutZone(); break;
		case 5: this->Kill(this->random.Below(this->nodes.size())); break;
		case 6: FakeLog::Retain(this->log.records, this->KeepRecords()); break;
		case 7:
			this->log.down = false;
			this->log.lose_percent = 0;
			break;
		case 8: this->drop_percent = this->random.Below(50); break;
		case 9: this->Unpause(); break;
		case 10: this->KillMany(); break;
		}
	}

	/// Retention never takes what no snapshot holds: the platform keeps records for longer than snapshots are apart.
	LogOffset KeepRecords() const
	{
		SnapshotAssembler assembler;
		for (LogOffset offset = this->log.snapshots.first; offset < this->log.snapshots.Next(); ++offset)
			assembler.Add(this->log.snapshots.records[offset]);
		const std::optional<FleetState> newest = assembler.Newest();
		const LogOffset held = newest.has_value() ? newest->next_offset : 0;
		return std::max(cRetention, this->log.records.Next() - held);
	}

	void CutZone()
	{
		const std::string zone = ZoneName(this->random.Below(cZones));
		const bool cut = this->random.Chance(50);
		this->zone_cut[zone] = cut;
		for (auto &node : this->nodes)
			if (node->zone == zone)
				node->cut = cut;
		++this->tally.cuts;
	}

	void Kill(uint64 inIndex)
	{
		this->nodes[inIndex] = this->NewNode(inIndex);
		++this->tally.kills;
	}

	/// All one after another, or all at once.
	void KillMany()
	{
		if (this->random.Below(4) != 0)
			return;
		for (uint64 i = 0; i < this->nodes.size(); ++i)
			this->Kill(i);
	}

	void Unpause()
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

	/// Operators through any node, often two at once against the same version.
	void OperatorActs()
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

	/// Workers take requests while they accept, end them, fail, come back from reboots.
	void WorkersAct()
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
		// Requests come from any entry host, also from one whose state is old: the worker's own refusal is the last guard
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
		auto cut = this->zone_cut.find(inWorker.spec.availability_zone);
		const bool zone_is_cut = cut != this->zone_cut.end() && cut->second;
		return inWorker.up && (!zone_is_cut || inNode.zone == inWorker.spec.availability_zone);
	}

	bool CanTalk(const SoakNode &inA, const SoakNode &inB) const
	{
		const auto is_cut = [this](const std::string &inZone)
		{
			auto cut = this->zone_cut.find(inZone);
			return cut != this->zone_cut.end() && cut->second;
		};
		return inA.zone == inB.zone || (!is_cut(inA.zone) && !is_cut(inB.zone));
	}

	/// The keeper's order and the worker's answer.
	void PollWorker(SoakNode &ioNode, const Host &inHost)
	{
		FakeWorker &worker = this->workers.find(inHost.spec.name)->second;
		HostObservation &observation = ioNode.seen.hosts[inHost.spec.name];
		if (observation.first_polled == 0)
			observation.first_polled = this->now;
		if (inHost.phase == EHostPhase::Out && worker.up && worker.boot == inHost.out_boot && ioNode.reaches_platform)
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

	void NodeActs(uint64 inIndex)
	{
		SoakNode &node = *this->nodes[inIndex];
		if (node.paused)
			return;
		node.verdicts.clear();
		// Reads are slow at times, so that an append whose answer was lost is repeated before its record is read
		if (!this->random.Chance(30))
			node.ReadLog(this->log);
		this->HearPeers(node);
		if (node.ready)
		{
			LOOM_INVARIANT(node.state.settings_version >= this->versions_seen[inIndex] || !node.reaches_platform,
						   "no accepted settings version goes back on an entry host, across restarts too");
			this->versions_seen[inIndex] = std::max(this->versions_seen[inIndex], node.state.settings_version);
		}
		this->KeepHosts(node);
		node.Plan(this->now);
		node.Append(this->log, this->random, this->now);
		if (this->random.Chance(5))
			node.MaybeSnapshot(this->log, this->random, this->now);
		this->Compare(node);
	}

	void HearPeers(SoakNode &ioNode)
	{
		for (auto &peer : this->nodes)
		{
			if (peer.get() == &ioNode || peer->paused || !this->CanTalk(ioNode, *peer) || this->random.Below(100) < this->drop_percent)
				continue;
			Digest digest = peer->MakeDigest(this->now);
			const Digest again = digest;
			ioNode.tracker.Hear(std::move(digest), this->now);
			// A datagram that comes twice changes nothing
			LOOM_INVARIANT(!ioNode.tracker.Hear(again, this->now), "a replayed digest is refused");
			if (!ioNode.ready && !ioNode.reaches_platform)
			{
				ioNode.AdoptFrom(*peer);
				this->tally.from_peer += ioNode.ready ? 1 : 0;
			}
			else if (peer->state.next_offset > ioNode.state.next_offset)
				ioNode.FetchFrom(*peer);
		}
	}

	void KeepHosts(SoakNode &ioNode)
	{
		ioNode.seen.list_is_fresh = ioNode.reaches_platform;
		if (ioNode.reaches_platform && this->random.Chance(20))
		{
			ioNode.seen.listed.clear();
			for (const auto &[worker_name, worker] : this->workers)
				ioNode.seen.listed.emplace(worker_name, ListedHost{worker.spec, worker.pool, false});
		}
		if (!ioNode.ready)
			return;
		const StewardPicker picker = ioNode.Picker(this->now);
		std::set<std::string> kept;
		for (const auto &[host_name, host] : ioNode.state.hosts)
		{
			if (!picker.IsMineIn("host:" + host_name, host.spec.availability_zone))
				continue;
			kept.insert(host_name);
			this->PollWorker(ioNode, host);
		}
		std::erase_if(ioNode.seen.hosts, [&kept](const auto &inEntry) { return kept.count(inEntry.first) == 0; });
	}

	/// Folds the whole log from its start, whatever retention has taken, and checks what any node must agree with.
	void FollowReference()
	{
		while (this->reference.next_offset < this->log.records.Next())
		{
			const LogOffset offset = this->reference.next_offset;
			for (const Verdict &verdict : FoldRecord(this->reference, offset, this->log.records.records[offset]))
				this->Check(verdict);
			if (offset % 16 == 0)
				this->reference.CheckInvariants();
			this->hashes.push_back(this->reference.Hash());
		}
	}

	void Check(const Verdict &inVerdict)
	{
		if (inVerdict.error == EError::DuplicateProposal)
		{
			++this->tally.repeats;
			return;
		}
		LOOM_INVARIANT(this->effects.insert(inVerdict.id).second, "an id takes effect once, however often it is appended");
		++(inVerdict.Accepted() ? this->tally.accepted : this->tally.rejected);
		this->tally.conflicts += inVerdict.error == EError::Conflict ? 1 : 0;
		this->tally.moves += inVerdict.Accepted() && inVerdict.kind == EProposal::MoveHost ? 1 : 0;
		this->tally.waves += inVerdict.Accepted() && inVerdict.kind == EProposal::StartWave ? 1 : 0;
		this->tally.resets = this->reference.view.resets;
	}

	/// A node that has read as far as some offset has the state that the full fold had there.
	void Compare(const SoakNode &inNode)
	{
		const LogOffset offset = inNode.state.next_offset;
		if (!inNode.ready || offset == 0 || offset > this->hashes.size() || !this->random.Chance(5))
			return;
		LOOM_INVARIANT(inNode.state.Hash() == this->hashes[offset - 1],
					   "two that have read as far have the same state; snapshot and tail equal the full fold");
		++this->tally.compared;
	}

	/// Heals everything and waits: all must agree, and everything that waits must come to its end.
	void Settle()
	{
		this->log.down = false;
		this->log.lose_percent = 0;
		this->drop_percent = 0;
		this->zone_cut.clear();
		this->Unpause();
		for (auto &node : this->nodes)
			node->cut = false;
		for (auto &[worker_name, worker] : this->workers)
		{
			worker.up = worker.up || worker.rebooted_at == 0;
			worker.fails_tasks = false;
		}
		for (int round = 0; round < cSettleRounds; ++round)
		{
			this->now += cStepMs;
			this->WorkersAct();
			this->NodeActs(static_cast<uint64>(round) % this->nodes.size());
			this->FollowReference();
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

	/// After failures on top of waves, the budget is whole again as far as hosts in waves and operators' drains allow.
	void CheckRecovered()
	{
		for (const auto &[pool, counts] : this->reference.pool_counts)
		{
			uint32 held = 0;
			for (const auto &[host_name, host] : this->reference.hosts)
				held += host.pool == pool && !host.IsAvailable() ? 1 : 0;
			LOOM_INVARIANT(counts.available + held == counts.hosts, "every host of a pool is available or has a reason not to be");
		}
	}

	void Print() const
	{
		std::printf("soak seed=%lu steps=%lu entry_hosts=%lu records=%lu accepted=%lu rejected=%lu repeats_ignored=%lu kills=%lu "
					"pauses=%lu cuts=%lu "
					"outages=%lu reboots=%lu moves=%lu waves=%lu conflicts=%lu compared=%lu settles=%lu resets=%lu adopted_from_peer=%lu "
					"broken=%lu\n",
					FLAGS_seed, FLAGS_steps, FLAGS_entry_hosts, this->log.records.Next(), this->tally.accepted, this->tally.rejected,
					this->tally.repeats, this->tally.kills, this->tally.pauses, this->tally.cuts, this->tally.outages, this->tally.reboots,
					this->tally.moves, this->tally.waves, this->tally.conflicts, this->tally.compared, this->tally.settles,
					this->tally.resets, this->tally.from_peer, BrokenInvariants());
	}

	Random random;
	uint64 step = 0;
	Millis now = 1000;
	FakeLog log;
	std::vector<std::unique_ptr<SoakNode>> nodes;
	std::map<std::string, FakeWorker> workers;
	std::map<std::string, bool> zone_cut;
	uint64 drop_percent = 0;
	FleetState reference;
	std::vector<uint64> hashes; ///< Of the full fold after each record.
	std::set<ProposalId> effects;
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
