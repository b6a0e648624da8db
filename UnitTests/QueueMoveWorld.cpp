// Simulation of cells between which queues move.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Schedule/InboxCodec.h>
#include <UnitTests/CellWorld.h>
#include <UnitTests/QueueMoveWorld.h>

namespace Loomreach::Jobs
{

namespace
{

constexpr uint32 cPartitions = 8;
constexpr Millis cStepMs = 10;
constexpr Millis cVisibleMs = 3000; ///< After this an accepted job must not be reported as unknown.
constexpr Millis cCalmMs = 30000;
constexpr int64 cWallAtStart = 1'700'000'000'000;

} // namespace

QueueMoveWorld::QueueMoveWorld(uint64 inSeed, const MoveFaults &inFaults) : random(inSeed), faults(inFaults)
{
	// Two pools may share a cell, between which a queue does not move
	for (size_t i = 0; this->pools.size() < cPools; ++i)
	{
		const std::string pool = "pool" + std::to_string(i);
		const uint32 cell = CellOf(pool, cPartitions);
		if (std::find(this->cell_numbers.begin(), this->cell_numbers.end(), cell) != this->cell_numbers.end())
			continue;
		this->pools.push_back(pool);
		this->cell_numbers.push_back(cell);
	}
	this->Configure(0);
}

void QueueMoveWorld::Configure(std::optional<size_t> inPool, const std::string &inName)
{
	auto catalogue = std::make_shared<Catalogue>();
	catalogue->version = static_cast<int64>(this->catalogues.size()) * 2 + 3;
	Queue queue;
	queue.name = inName;
	queue.host = "host";
	queue.prefix = "/queue/";
	for (const std::string &pool : this->pools)
		catalogue->pools[pool].name = pool;
	if (inPool.has_value())
	{
		queue.pool = this->pools[*inPool];
		catalogue->queues.push_back(queue);
	}
	this->catalogues.push_back(catalogue);
	const size_t version = this->catalogues.size() - 1;
	for (Host &host : this->hosts)
		this->At(this->DrawUpTo(this->faults.host_lag_ms),
				 [this, &host, version]
				 {
					 if (!host.held_back && version > host.version)
						 this->SetVersion(host, version);
				 });
	for (size_t pool = 0; pool < cPools; ++pool)
		this->AtOwner(pool, this->DrawUpTo(this->faults.host_lag_ms),
					  [this, pool, version](Cell &ioCell)
					  {
						  Seat &seat = this->seats[pool];
						  if (version <= seat.version)
							  return;
						  seat.version = version;
						  ioCell.SetCatalogue(this->CatalogueAt(version));
					  });
}

void QueueMoveWorld::SetVersion(Host &ioHost, size_t inVersion)
{
	ioHost.version = inVersion;
	if (this->CatalogueAt(inVersion)->queues.empty())
		return;
	const std::string &pool = this->CatalogueAt(inVersion)->queues.front().pool;
	ioHost.saw_move = ioHost.saw_move || (!ioHost.pool.empty() && ioHost.pool != pool);
	ioHost.pool = pool;
}

void QueueMoveWorld::HoldBack(size_t inHost, size_t inVersion)
{
	this->hosts[inHost].version = inVersion;
	this->hosts[inHost].held_back = true;
}

const Queue *QueueMoveWorld::QueueAt(size_t inHost) const
{
	return this->catalogues[this->hosts[inHost].version]->Find("host", "/queue/job");
}

size_t QueueMoveWorld::PoolOf(const std::string &inPool) const
{
	return static_cast<size_t>(std::find(this->pools.begin(), this->pools.end(), inPool) - this->pools.begin());
}

void QueueMoveWorld::AtOwner(size_t inPool, Millis inDelay, std::function<void(Cell &)> inCall)
{
	this->At(inDelay,
			 [this, inPool, epoch = this->seats[inPool].epoch, call = std::move(inCall)]
			 {
				 Seat &seat = this->seats[inPool];
				 if (seat.cell != nullptr && seat.epoch == epoch)
					 call(*seat.cell);
			 });
}

void QueueMoveWorld::Append(size_t inHost, InboxRecord inRecord, Millis inAppendMs)
{
	const Queue *queue = this->QueueAt(inHost);
	inRecord.spec.queue = queue->name;
	inRecord.spec.pool = queue->pool;
	// As hosts do, a host says where its configuration places the queue
	const bool is_moved = this->hosts[inHost].saw_move || this->Registered().SitesOf(KeyOf(*queue)).size() > 1;
	const bool is_earlier = this->faults.earlier_host && inHost == cHosts - 1;
	if (this->faults.names_queues && (is_moved || !is_earlier))
	{
		inRecord.queue_key = KeyOf(*queue);
		inRecord.queue_version = this->CatalogueAt(this->hosts[inHost].version)->version;
	}
	// As hosts do, a host that has seen the queue move registers its cell before it hands a job in there
	Millis register_ms = 0;
	if (this->hosts[inHost].saw_move && inRecord.kind == EInbox::Submit)
	{
		register_ms = this->AppendMs();
		const int64 version = this->CatalogueAt(this->hosts[inHost].version)->version;
		const QueueSite site{KeyOf(*queue), CellOf(queue->pool, cPartitions), version, queue->pool};
		this->At(register_ms, [this, site] { this->register_log.push_back(site); });
	}
	this->At(register_ms + inAppendMs,
			 [this, pool = this->PoolOf(queue->pool), record = std::move(inRecord)]
			 {
				 this->seats[pool].inbox.push_back(EncodeInboxRecord(record));
				 if (record.kind == EInbox::Submit)
					 this->accepted.try_emplace(record.spec.id, this->now);
				 else if (this->accepted.contains(record.spec.id))
					 this->canceled.try_emplace(record.spec.id, this->now);
			 });
}

bool QueueMoveWorld::Submit(size_t inHost, const std::string &inJob, Millis inAppendMs)
{
	if (this->QueueAt(inHost) == nullptr)
		return false;
	this->Append(inHost, {EInbox::Submit, MakeJob(inJob, 1, 1, 1000, 500)}, inAppendMs);
	return true;
}

bool QueueMoveWorld::Cancel(size_t inHost, const std::string &inJob)
{
	if (this->QueueAt(inHost) == nullptr)
		return false;
	InboxRecord record;
	record.kind = EInbox::Cancel;
	record.spec.id = inJob;
	this->Append(inHost, std::move(record), this->AppendMs());
	return true;
}

std::optional<EFinding> QueueMoveWorld::Ask(size_t inHost, const std::string &inJob)
{
	const Queue *queue = this->QueueAt(inHost);
	if (queue == nullptr)
		return std::nullopt;
	QueueSearch search(CellOf(queue->pool, cPartitions), this->CatalogueAt(this->hosts[inHost].version)->version);
	for (std::vector<uint32> cells = search.TakeCells(); !cells.empty(); cells = search.TakeCells())
		for (const uint32 cell : cells)
		{
			const Seat &seat = this->seats[this->SeatOf(cell)];
			if (seat.cell == nullptr)
			{
				search.OnAnswer(false, {});
				continue;
			}
			if (seat.cell->Query(queue->name, inJob, KeyOf(*queue)).known)
				return EFinding::Known;
			const QueuePlacements &placements = std::as_const(*seat.cell).Placements();
			const bool is_sure = seat.read == seat.inbox.size() && !placements.IsUndecided(inJob, this->now);
			search.OnAnswer(is_sure, placements.StatusOf(KeyOf(*queue)));
		}
	return search.IsCertain() ? EFinding::Gone : EFinding::CannotTell;
}

size_t QueueMoveWorld::SeatOf(uint32 inCell) const
{
	return static_cast<size_t>(std::find(this->cell_numbers.begin(), this->cell_numbers.end(), inCell) - this->cell_numbers.begin());
}

uint32 QueueMoveWorld::Count(size_t inHost)
{
	const Queue *queue = this->QueueAt(inHost);
	std::set<uint32> cells = {CellOf(queue->pool, cPartitions)};
	const size_t current = this->PoolOf(queue->pool);
	for (const uint32 other : this->seats[current].cell->Placements().StatusOf(KeyOf(*queue)).others)
		cells.insert(other);
	uint32 waiting = 0;
	for (size_t pool = 0; pool < cPools; ++pool)
		if (cells.contains(this->cell_numbers[pool]))
			waiting += this->seats[pool].cell->Waiting(queue->name, KeyOf(*queue));
	return waiting;
}

EJobPhase QueueMoveWorld::PhaseOf(const std::string &inJob)
{
	const Queue &queue = *this->QueueAt(0);
	for (const Seat &seat : this->seats)
		if (seat.cell != nullptr)
			if (const JobAnswer answer = seat.cell->Query(queue.name, inJob, KeyOf(queue)); answer.known)
				return answer.phase;
	return EJobPhase::Failed;
}

void QueueMoveWorld::KillOwner(size_t inPool, Millis inBackMs)
{
	Seat &seat = this->seats[inPool];
	if (seat.cell == nullptr)
		return;
	// An append in flight is carried out or not
	if (seat.appended_at >= 0 && this->random.Chance(50))
		for (KeyedRecord &record : seat.batch)
			seat.log[record.key] = std::move(record.value);
	seat.cell.reset();
	seat.next_owner_at = this->now + inBackMs;
}

void QueueMoveWorld::KillAll(Millis inBackMs)
{
	for (size_t pool = 0; pool < cPools; ++pool)
		this->KillOwner(pool, inBackMs);
}

void QueueMoveWorld::StartOwner(size_t inPool)
{
	Seat &seat = this->seats[inPool];
	CellTuning tuning;
	tuning.log_partitions = cPartitions;
	tuning.records_name_queues = this->faults.names_queues;
	if (this->faults.keep_ended_ms > 0)
		tuning.keep_ended_ms = this->faults.keep_ended_ms;
	seat.cell = std::make_unique<Cell>(tuning);
	++seat.epoch;
	seat.appended_at = -1;
	seat.registering = false;
	for (const auto &[key, value] : seat.log)
		if (!value.empty() && !seat.cell->Restore(key, value))
			this->violations.push_back("cannot restore " + key);
	// The new owner may know an older configuration than its predecessor
	seat.version = this->hosts[this->random.Below(cHosts)].version;
	seat.cell->SetCatalogue(this->CatalogueAt(seat.version));
	seat.cell->Begin(seat.epoch, this->now, this->cell_numbers[inPool]);
	seat.read = seat.cell->InboxNext();
	this->AtOwner(inPool, this->DrawUpTo(this->faults.host_lag_ms),
				  [this, inPool, newest = this->catalogues.size() - 1](Cell &ioCell)
				  {
					  Seat &owned = this->seats[inPool];
					  owned.version = std::max(owned.version, newest);
					  ioCell.SetCatalogue(this->CatalogueAt(owned.version));
				  });
}

QueueRegistry QueueMoveWorld::Registered() const
{
	QueueRegistry registry;
	for (const QueueSite &site : this->register_log)
		registry.Add(site);
	return registry;
}

void QueueMoveWorld::Register(size_t inPool)
{
	Seat &seat = this->seats[inPool];
	const std::vector<QueueSite> sites = seat.cell->Placements().SitesToRegister(10);
	if (seat.registering || sites.empty())
		return;
	seat.registering = true;
	const Millis slow = this->random.Chance(this->faults.late_registrar) ? 2000 : 20;
	const Millis append_ms = 1 + this->DrawUpTo(slow);
	const Millis read_ms = append_ms + 1 + this->DrawUpTo(slow);
	// An append in flight is carried out although its sender is killed
	this->At(append_ms, [this, sites] { this->register_log.insert(this->register_log.end(), sites.begin(), sites.end()); });
	this->AtOwner(inPool, read_ms,
				  [this, inPool, sites](Cell &ioCell)
				  {
					  ioCell.Placements().OnRegistered(sites, this->Registered(), this->now);
					  this->seats[inPool].registering = false;
				  });
}

void QueueMoveWorld::SendQuestions(size_t inPool)
{
	for (const MoveQuestion &question : this->seats[inPool].cell->Placements().TakeQuestions(this->now))
	{
		++this->questions;
		const size_t asked = this->SeatOf(question.former);
		if (this->seats[asked].cell != nullptr && this->random.Chance(this->faults.same_owner))
		{
			this->seats[inPool].cell->Placements().OnAnswer(
				question, this->seats[asked].cell->OnQueueMoved(question, this->now, cWallAtStart + this->now), this->now);
			continue;
		}
		auto answer = std::make_shared<std::optional<MoveAnswer>>();
		const Millis there_ms = 1 + this->DrawUpTo(30);
		const Millis back_ms = there_ms + 1 + this->DrawUpTo(30);
		if (!this->random.Chance(this->faults.lost_message))
			this->At(there_ms,
					 [this, asked, question, answer]
					 {
						 if (this->seats[asked].cell != nullptr)
							 *answer = this->seats[asked].cell->OnQueueMoved(question, this->now, cWallAtStart + this->now);
					 });
		const bool is_lost = this->random.Chance(this->faults.lost_message);
		this->AtOwner(inPool, is_lost ? 400 : back_ms,
					  [this, question, answer, is_lost](Cell &ioCell)
					  { ioCell.Placements().OnAnswer(question, is_lost ? std::nullopt : *answer, this->now); });
	}
}

void QueueMoveWorld::SendRedirected(size_t inPool)
{
	for (const RedirectedRecord &redirected : this->seats[inPool].cell->Placements().TakeRedirected())
	{
		const bool is_unknown = this->random.Chance(this->faults.unknown_append);
		const bool is_done = !is_unknown || this->random.Chance(50);
		const Millis append_ms = this->AppendMs();
		if (is_done)
			this->At(append_ms, [this, redirected]
					 { this->seats[this->SeatOf(redirected.cell)].inbox.push_back(EncodeInboxRecord(redirected.record)); });
		this->AtOwner(inPool, append_ms + 1,
					  [this, number = redirected.number, is_unknown](Cell &ioCell)
					  { ioCell.Placements().OnRedirected(number, !is_unknown, this->now); });
	}
}

void QueueMoveWorld::Write(size_t inPool)
{
	Seat &seat = this->seats[inPool];
	if (seat.appended_at >= 0 && this->now >= seat.appended_at)
	{
		for (KeyedRecord &record : seat.batch)
			seat.log[record.key] = std::move(record.value);
		seat.appended_at = -1;
		seat.cell->OnAppended(this->now);
	}
	if (seat.appended_at >= 0 || !seat.cell->HasUnwrittenChanges())
		return;
	seat.batch = seat.cell->TakeBatch(cWallAtStart + this->now);
	if (seat.batch.empty())
		return;
	++seat.appends;
	seat.appended_at = this->now + this->AppendMs();
}

void QueueMoveWorld::Observe(size_t inPool)
{
	// What the log does not have has not been started
	for (const auto &[job, at] : this->accepted)
		if (this->seats[inPool].log.contains("j" + job) && this->taken_by[job].insert(inPool).second && this->taken_by[job].size() > 1)
			this->violations.push_back("at " + std::to_string(this->now) + ": " + job + " was taken by two cells");
}

void QueueMoveWorld::Drive(size_t inPool)
{
	Seat &seat = this->seats[inPool];
	if (seat.cell == nullptr)
	{
		if (this->now >= seat.next_owner_at)
			this->StartOwner(inPool);
		return;
	}
	// An owner reads its inbox now and then
	if (this->random.Chance(50))
		for (; seat.read < seat.inbox.size(); ++seat.read)
			seat.cell->Ingest(*DecodeInboxRecord(seat.inbox[seat.read]), seat.read, this->now, cWallAtStart + this->now);
	if (this->random.Chance(10))
	{
		seat.cell->Placements().OnCatalogueRead(this->now - 2 * this->faults.host_lag_ms);
		seat.cell->Placements().OnRegistry(this->Registered(), this->now);
	}
	seat.cell->Plan(this->now, cWallAtStart + this->now);
	this->SendQuestions(inPool);
	this->SendRedirected(inPool);
	this->Register(inPool);
	this->Write(inPool);
	this->Observe(inPool);
}

void QueueMoveWorld::Step()
{
	this->now += cStepMs;
	while (!this->calls.empty() && this->calls.begin()->first <= this->now)
	{
		const std::function<void()> call = std::move(this->calls.begin()->second);
		this->calls.erase(this->calls.begin());
		call();
	}
	for (size_t pool = 0; pool < cPools; ++pool)
		this->Drive(pool);
}

void QueueMoveWorld::Run(Millis inMillis)
{
	for (const Millis until = this->now + inMillis; this->now < until;)
		this->Step();
}

void QueueMoveWorld::CheckAsked()
{
	for (const auto &[job, at] : this->accepted)
		if (this->now - at > cVisibleMs && !this->canceled.contains(job))
			for (size_t host = 0; host < cHosts; ++host)
				if (this->Ask(host, job) == EFinding::Gone)
					this->violations.push_back("at " + std::to_string(this->now) + ": host " + std::to_string(host) + " does not know " +
											   job);
}

void QueueMoveWorld::RunTroubles(Millis inMillis)
{
	const auto any_host = [this] { return this->random.Below(cHosts); };
	const auto any_job = [this] { return "job" + std::to_string(this->random.Below(this->jobs)); };
	for (const Millis until = this->now + inMillis; this->now < until;)
	{
		this->Step();
		if (this->random.Chance(2) && this->random.Chance(50))
			this->Configure(this->random.Chance(this->faults.removal) ? std::nullopt : std::optional<size_t>(this->random.Below(cPools)),
							this->random.Chance(this->faults.rename) ? "other" : "queue");
		if (this->random.Chance(10))
			this->Submit(any_host(), "job" + std::to_string(this->jobs++), this->AppendMs());
		// A caller without an answer sends the same job again
		if (this->jobs > 0 && this->random.Chance(8))
			this->Submit(any_host(), any_job(), this->AppendMs());
		if (this->jobs > 0 && this->random.Chance(2))
			this->Cancel(any_host(), any_job());
		for (size_t pool = 0; pool < cPools; ++pool)
			if (this->random.Chance(this->faults.owner_kill) && this->random.Chance(1))
				this->KillOwner(pool, this->DrawUpTo(this->faults.no_owner_ms));
		if (this->random.Chance(5))
			this->CheckAsked();
	}
	const MoveFaults before = std::exchange(this->faults, {});
	this->faults.keep_ended_ms = before.keep_ended_ms;
	this->faults.checks_cancels = before.checks_cancels;
	this->Configure(this->random.Below(cPools));
	this->Run(cCalmMs);
	this->CheckAsked();
	for (const auto &[job, at] : this->accepted)
	{
		if (this->taken_by[job].empty())
			this->violations.push_back(job + " was accepted and never taken");
		if (this->faults.checks_cancels && this->canceled.contains(job) && this->PhaseOf(job) != EJobPhase::Canceled)
			this->violations.push_back(job + " was canceled and goes on");
	}
}

} // namespace Loomreach::Jobs
