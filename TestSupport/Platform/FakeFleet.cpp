// HTTP handlers and timers of the fake workers and the machine service, and the checks of the platform's rules.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Clock.h>
#include <Loomreach/Core/LogEvent.h>
#include <Loomreach/Entry/HttpListener.h>
#include <TestSupport/Platform/FakeFleet.h>

namespace Loomreach
{

using Json = nlohmann::json;

static constexpr int64 cHostCpu = 16000;
static constexpr Millis cAdvanceIntervalMs = 10;
static constexpr Millis cPollCheckIntervalMs = 20; ///< A waiting poll is checked again after this.
static constexpr Millis cHeartbeatMs = 500;
static constexpr Millis cSaveMs = 200; ///< A task issues a checkpoint this often.
static constexpr Millis cMaintenanceMs = 800;
static constexpr Millis cMoveMs = 500;
static constexpr size_t cMaxEndsPerPoll = 500; ///< An answer to a poll lists at most this many run ends, the oldest first.
static constexpr uint64 cFaultPercent = 30;    ///< Share of orders that a fault affects: several in a job, yet jobs make progress.
/// A late order is carried out after a time between these: "seconds later" by the platform's description; same as in the unit tests.
static constexpr Millis cMinLateMs = 2000;
static constexpr Millis cMaxLateMs = 12000;

/// For this long after a reduction, a start is checked against the earlier capacity: the platform's `contactMs` and one heartbeat.
static constexpr Millis cReductionGraceMs = 4500;
/// A crashed worker's entry stays in the store for three heartbeats of 0.5 s.
static constexpr Millis cCrashedEntryMs = 1500;
/// The next worker starts after a crash within a time between these.
static constexpr Millis cMinRestartMs = 700;
static constexpr Millis cMaxRestartMs = 2500;
static constexpr Millis cMaxLeaseMs = 10000;           ///< Longer leases are shortened to this (the platform's `maxHoldMs`).
static constexpr uint64 cMaxClockOffsetMs = 8'000'000; ///< A worker's clock starts at a random offset below this.
/// The platform's rule: after a task has crashed `cCrashLimit` workers, its further start number `cForbiddenStart` is a violation.
static constexpr uint32 cCrashLimit = 3;
static constexpr uint32 cForbiddenStart = 3;

bool FakeFleet::Listen(FakeHost &ioHost)
{
	ioHost.server = OpenServer({this->listen_address.ip, ioHost.port}, "worker");
	if (ioHost.server != nullptr)
		soup_server_add_handler(ioHost.server.get(), nullptr, &FakeFleet::OnWorker, this, nullptr);
	return ioHost.server != nullptr;
}

bool FakeFleet::Open(const Address &inMachines, uint16 inFirstPort, const std::vector<std::string> &inPools)
{
	this->listen_address = inMachines;
	this->machines = OpenServer(inMachines, "machines");
	if (this->machines == nullptr)
		return false;
	soup_server_add_handler(this->machines.get(), nullptr, &FakeFleet::OnMachines, this, nullptr);
	for (size_t i = 0; i < inPools.size(); ++i)
	{
		auto host = std::make_unique<FakeHost>();
		host->name = "m" + std::to_string(i);
		host->pool = inPools[i];
		host->port = static_cast<uint16>(inFirstPort + i);
		host->cpu = cHostCpu;
		host->started_ms = g_get_real_time() / 1000;
		if (!this->Listen(*host))
			return false;
		this->hosts.push_back(std::move(host));
	}
	// Crashes happen in the timer only, since a worker process does not end while it handles an order
	this->advance_timer.Every(cAdvanceIntervalMs,
							  [this]
							  {
								  this->AdvanceAll();
								  this->CrashDueWorkers();
							  });
	this->entry_timer.Every(cHeartbeatMs, [this] { this->WriteWorkerEntries(); });
	this->WriteWorkerEntries();
	return true;
}

Json FakeFleet::Report() const
{
	Json running = Json::object();
	Json pools = Json::object();
	for (const auto &host : this->hosts)
	{
		pools[host->name] = host->pool;
		for (const FakeRun &run : host->running)
			running[run.task] = host->name;
	}
	return {{"broken", this->violations},
			{"unheard", this->hosts_taken_early},
			{"excused", this->ends.Excused()},
			{"unasked", this->unasked},
			{"crashes", this->crash_counts},
			{"chance_crashes", this->injected_crashes},
			{"starts", this->starts},
			{"struck", this->affected_orders},
			{"done", this->done_tasks.size()},
			{"duties", this->machine_orders},
			{"most_down", this->max_down},
			{"running", running},
			{"pools", pools}};
}

void FakeFleet::AddViolation(const std::string &inWhat)
{
	LogEvent(ELogLevel::Error, "fake_broken").Field("rule", inWhat);
	this->violations.push_back(inWhat);
}

void FakeFleet::AddViolations(const std::vector<std::string> &inLines)
{
	for (const std::string &line : inLines)
		this->AddViolation(line);
}

void FakeFleet::AddUnasked(const std::vector<UnaskedRun> &inRuns)
{
	for (const UnaskedRun &run : inRuns)
	{
		const std::string kind(NameOf(cUnaskedNames, run.kind));
		++this->unasked[kind + (run.excuse.empty() ? "" : " excused")];
		LogEvent(ELogLevel::Warning, "fake_unasked").Field("kind", kind).Field("excuse", run.excuse).Field("what", run.what);
		if (run.excuse.empty())
			this->AddViolation(kind + ": " + run.what);
	}
}

void FakeFleet::Leave(const std::string &inHost, Millis inDrainMs)
{
	for (auto &host : this->hosts)
	{
		if (host->name != inHost || host->state != "up" || host->is_draining)
			continue;
		host->is_draining = true;
		this->WriteWorkerEntries();
		// A crash in between starts another incarnation, which does not leave
		const auto if_same = [this, &left = *host, incarnation = host->Incarnation()](Millis inMs, auto inStep)
		{
			After(inMs,
				  [&left, incarnation, inStep]
				  {
					  if (left.Incarnation() == incarnation && left.state == "up")
						  inStep(left);
				  });
		};
		if_same(inDrainMs,
				[this](FakeHost &ioHost)
				{
					ioHost.is_unlisted = true;
					this->store.Put("keyed.servers", ioHost.Id(), "");
				});
		if_same(2 * inDrainMs, [this](FakeHost &ioHost) { this->CrashHost(ioHost); });
	}
}

void FakeFleet::SetUnresponsive(const std::string &inHost, bool inIsUnresponsive)
{
	for (auto &host : this->hosts)
		if (host->name == inHost)
			host->is_unresponsive = inIsUnresponsive;
}

void FakeFleet::SetCapacity(const std::string &inHost, int64 inCpu)
{
	for (auto &host : this->hosts)
	{
		const int64 cpu = inCpu == 0 ? cHostCpu : inCpu;
		if (host->name != inHost)
			continue;
		if (cpu < host->cpu)
		{
			const bool is_new = host->reduced_at < 0 || NowMillis() > host->reduced_at + cReductionGraceMs;
			host->cpu_before_reduction = is_new ? host->cpu : std::max(host->cpu, host->cpu_before_reduction);
			host->reduced_at = NowMillis();
		}
		LogEvent(ELogLevel::Info, "fake_room").Field("worker", host->Id()).Field("cpu_milli", cpu);
		host->cpu = cpu;
	}
	this->WriteWorkerEntries();
}

void FakeFleet::Crash(const std::string &inHost)
{
	for (auto &host : this->hosts)
		if (host->name == inHost && host->state == "up")
		{
			++this->injected_crashes;
			this->CrashHost(*host);
		}
}

void FakeFleet::Restart(const std::string &inHost, Millis inRestartMs)
{
	for (auto &host : this->hosts)
		if (host->name == inHost && host->state == "up")
		{
			++this->injected_crashes;
			host->next_keeps_id = true;
			this->CrashHost(*host, inRestartMs);
		}
}

void FakeFleet::CrashHost(FakeHost &ioHost)
{
	this->CrashHost(ioHost, cMinRestartMs + static_cast<Millis>(this->random.Below(cMaxRestartMs - cMinRestartMs)));
}

void FakeFleet::CrashHost(FakeHost &ioHost, Millis inRestartMs)
{
	LogEvent(ELogLevel::Info, "fake_crash")
		.Field("worker", ioHost.Incarnation())
		.Field("runs", ioHost.running.size())
		.Field("back_ms", inRestartMs);
	this->ends.OnWorkerLost(ioHost.Incarnation());
	ioHost.running.clear();
	ioHost.state = "crashed";
	// The port refuses connections; requests that wait there end with their connections
	ioHost.unanswered.clear();
	soup_server_disconnect(ioHost.server.get());
	ioHost.server.reset();
	After(cCrashedEntryMs,
		  [this, &ioHost, incarnation = ioHost.Incarnation(), id = ioHost.Id()]
		  {
			  // The next incarnation under the same id may have written the entry by now
			  const bool is_next = ioHost.Id() == id && ioHost.Incarnation() != incarnation && ioHost.state == "up";
			  if (!is_next)
				  this->store.Put("keyed.servers", id, "");
		  });
	After(inRestartMs,
		  [this, &ioHost]
		  {
			  if (!this->Listen(ioHost))
				  LogEvent(ELogLevel::Error, "fake_not_back").Field("worker", ioHost.Id());
			  this->StartIncarnation(ioHost);
		  });
}

void FakeFleet::WriteWorkerEntries()
{
	for (const auto &host : this->hosts)
	{
		if (host->state != "up" || host->is_unresponsive || host->is_unlisted)
			continue;
		const Json entry = {{"service", host->pool},
							{"address", "127.0.0.1:" + std::to_string(host->port)},
							{"zone", "z"},
							{"state", host->is_draining ? "draining" : "ready"},
							{"capacity", {{"cpu", host->cpu}, {"memMb", 32768}, {"gpu", 0}}},
							{"labels", {"a", "r"}},
							{"machine", host->name},
							{"born", host->started_ms},
							{"clockMs", host->Clock()}};
		this->store.Put("keyed.servers", host->Id(), entry.dump());
	}
}

void FakeFleet::Answer(SoupServerMessage *inMessage, const FakeHost &inHost, uint32 inStatus, Json inBody)
{
	inBody["clockMs"] = inHost.Clock();
	Reply(inMessage, inStatus, inBody.dump());
}

void FakeFleet::OnWorker(SoupServer *inServer, SoupServerMessage *inMessage, const char *inPath, GHashTable *, gpointer inSelf)
{
	FakeFleet *self = static_cast<FakeFleet *>(inSelf);
	for (auto &host : self->hosts)
		if (host->server.get() == inServer)
			return self->Handle(*host, inMessage, inPath);
}

void FakeFleet::Handle(FakeHost &ioHost, SoupServerMessage *inMessage, std::string_view inPath)
{
	if (ioHost.is_unresponsive || ioHost.state != "up")
	{
		soup_server_message_pause(inMessage);
		ioHost.unanswered.push_back(Share(inMessage));
		return;
	}
	const char *target = soup_message_headers_get_one(soup_server_message_get_request_headers(inMessage), "Loomreach-Target-Instance");
	if (target == nullptr || ioHost.Id() != target)
		return Reply(inMessage, 421, "{}");
	const std::string text = BodyOf(inMessage);
	if (this->ApplyOrderFault(ioHost, inMessage, std::string(inPath), text))
		return;
	const Json body = Json::parse(text, nullptr, false);
	auto [status, answer] = this->Execute(ioHost, inPath, body);
	// A poll without run ends to list waits for one, as on a real worker
	const bool waits = status == 200 && inPath == "/hold" && body.value("waitMs", 0) > 0 && ioHost.ended.empty();
	if (!waits)
		return this->Answer(inMessage, ioHost, status, std::move(answer));
	soup_server_message_pause(inMessage);
	const std::shared_ptr<SoupServerMessage> message(Share(inMessage).release(), [](SoupServerMessage *inOld) { g_object_unref(inOld); });
	this->WaitForEnd(ioHost, {message, body, ioHost.Incarnation(), NowMillis() + body.value("waitMs", 0)});
}

void FakeFleet::WaitForEnd(FakeHost &ioHost, const WaitingPoll &inPoll)
{
	After(cPollCheckIntervalMs,
		  [this, &ioHost, poll = inPoll]
		  {
			  SoupServerMessage *message = poll.message.get();
			  // The poll's `lastSeen` is a sequence number of the earlier incarnation
			  if (ioHost.Incarnation() != poll.incarnation)
				  Reply(message, 421, "{}");
			  else if (ioHost.is_unresponsive || ioHost.state != "up")
				  return ioHost.unanswered.push_back(Share(message));
			  else if (ioHost.ended.empty() && NowMillis() < poll.until)
				  return this->WaitForEnd(ioHost, poll);
			  else
				  this->Answer(message, ioHost, 200, this->Poll(ioHost, poll.body));
			  soup_server_message_unpause(message);
		  });
}

std::pair<uint32, Json> FakeFleet::Execute(FakeHost &ioHost, std::string_view inPath, const Json &inBody, bool inIsLate)
{
	// An expired lease must not be extended, even if the order arrives before our timer has fired
	this->AdvanceAll();
	const uint64 token = inBody.value("fencingToken", uint64(0));
	if (token < ioHost.token)
		return {409, {{"reason", "fence"}}};
	// Shows which owner gives orders and since when, to trace violations
	if (token > ioHost.token)
		LogEvent(ELogLevel::Info, "fake_token").Field("worker", ioHost.Incarnation()).Field("token", token);
	ioHost.token = token;
	const Millis until = inBody.value("untilMs", int64(0)) - ioHost.clock_offset;
	ioHost.lease_until = std::max<Millis>(ioHost.lease_until, std::min(until, NowMillis() + cMaxLeaseMs));
	uint32 status = 200;
	Json answer = Json::object();
	if (inPath == "/run-start")
	{
		this->store.Gaps().Add("start");
		answer = this->Start(ioHost, inBody, inIsLate, status);
	}
	else if (inPath == "/run-stop")
		this->Stop(ioHost, inBody);
	else if (inPath == "/hold")
		answer = this->Poll(ioHost, inBody);
	return {status, std::move(answer)};
}

bool FakeFleet::ApplyOrderFault(FakeHost &ioHost, SoupServerMessage *inMessage, const std::string &inPath, const std::string &inBody)
{
	// The repetition is refused whatever the fault is by now
	if (inPath == "/run-start" && ioHost.refused_repetitions.erase(inBody) > 0)
	{
		++this->affected_orders["repeats_refused"];
		Reply(inMessage, 503, "{}");
		return true;
	}
	const bool is_eligible = this->order_fault == EOrderFault::Late || inPath == "/run-start";
	if (this->order_fault == EOrderFault::None || !is_eligible || !this->random.Chance(cFaultPercent))
		return false;
	const Json body = Json::parse(inBody, nullptr, false);
	if (this->order_fault == EOrderFault::RefusedRepeat)
	{
		++this->affected_orders["starts_cut"];
		this->Execute(ioHost, inPath, body);
		ioHost.refused_repetitions.insert(inBody);
		CutConnection(inMessage);
		return true;
	}
	++this->affected_orders["late"];
	soup_server_message_pause(inMessage);
	ioHost.unanswered.push_back(Share(inMessage));
	const Millis late = cMinLateMs + static_cast<Millis>(this->random.Below(cMaxLateMs - cMinLateMs));
	LogEvent(ELogLevel::Info, "fake_late")
		.Field("worker", ioHost.Incarnation())
		.Field("path", inPath)
		.Field("ms", late)
		.Field("order", inBody);
	After(late,
		  [this, &ioHost, id = ioHost.Id(), inPath, body]
		  {
			  // The order is only valid for the id that it was sent to
			  if (ioHost.Id() == id && ioHost.state == "up")
				  this->Execute(ioHost, inPath, body, true);
		  });
	return true;
}

/// The number of "WORD=NUMBER" in a payload; the default if absent.
static int64 PayloadNumber(const std::string &inPayload, const std::string &inName, int64 inDefault)
{
	const size_t at = inPayload.find(inName + "=");
	return at == std::string::npos ? inDefault : std::strtoll(inPayload.c_str() + at + inName.size() + 1, nullptr, 10);
}

void FakeFleet::CheckCapacity(const FakeHost &inHost, const FakeRun &inRun)
{
	int64 used = inRun.cpu;
	for (const FakeRun &run : inHost.running)
		used += run.cpu;
	const bool is_just_reduced = inHost.reduced_at >= 0 && inRun.started_at <= inHost.reduced_at + cReductionGraceMs;
	if (used > (is_just_reduced ? std::max(inHost.cpu, inHost.cpu_before_reduction) : inHost.cpu))
		this->AddViolation("no room on " + inHost.name + " for " + inRun.task);
}

void FakeFleet::CheckCrashes(const FakeRun &inRun)
{
	if (this->crash_counts[inRun.task] >= cCrashLimit && ++this->starts_after_crash_limit[inRun.task] >= cForbiddenStart)
		this->AddViolation("crashes its workers, and started again: " + inRun.task + " run " + std::to_string(inRun.run));
}

Json FakeFleet::Start(FakeHost &ioHost, const Json &inBody, bool inIsLate, uint32 &outStatus)
{
	const std::string task = inBody.value("task", "");
	const uint32 number = inBody.value("run", 0U);
	const std::string payload = inBody.value("spec", "");
	for (const FakeRun &run : ioHost.running)
		if (run.task == task && run.run == number)
			return Json::object();
	outStatus = 409;
	if (number <= ioHost.highest_ended_run[task])
		return {{"reason", "old"}};
	if (inBody.value("untilMs", int64(0)) <= ioHost.Clock())
		return {{"reason", "late"}};
	outStatus = 200;
	FakeRun started;
	started.task = task;
	started.run = number;
	started.cpu = PayloadNumber(payload, "cpu", 1000);
	started.started_at = NowMillis();
	started.saves = payload.find("saves") != std::string::npos;
	started.fails = payload.find("fail") != std::string::npos;
	if (payload.find("lasts") == std::string::npos)
		started.ends_at = started.started_at + PayloadNumber(payload, "ms", 300);
	if (payload.find("crash=") != std::string::npos)
		started.crashes_at = started.started_at + PayloadNumber(payload, "crash", 0);
	this->CheckCapacity(ioHost, started);
	this->CheckCrashes(started);
	const ObservedRun observed{task, number, ioHost.Incarnation(), started.started_at};
	this->AddViolations(this->ends.OnStarted(observed));
	started.order = {observed, payload, inBody.value("checkpoint", ""), ioHost.token, inIsLate};
	this->AddUnasked(this->requests.OnStarted(started.order, this->troubles));
	for (const auto &host : this->hosts)
		for (const FakeRun &run : host->running)
			if (run.task == task)
				this->AddViolation("two runs at once: " + observed.Text() +
								   "; there: " + ObservedRun{task, run.run, host->Incarnation(), run.started_at}.Text());
	++this->starts;
	LogEvent(ELogLevel::Info, "fake_start")
		.Field("worker", ioHost.Incarnation())
		.Field("task", task)
		.Field("run", number)
		.Field("token", ioHost.token)
		.Field("late", inIsLate ? 1 : 0)
		.Field("lease_left_ms", ioHost.lease_until - started.started_at);
	ioHost.running.push_back(std::move(started));
	return Json::object();
}

void FakeFleet::Stop(FakeHost &ioHost, const Json &inBody)
{
	const std::string task = inBody.value("task", "");
	const uint32 number = inBody.value("run", 0U);
	uint32 &highest = ioHost.highest_ended_run[task];
	highest = std::max(highest, number);
	for (size_t i = 0; i < ioHost.running.size(); ++i)
		if (ioHost.running[i].task == task && ioHost.running[i].run == number)
			return this->End(ioHost, i, "stopped");
}

Json FakeFleet::Poll(FakeHost &ioHost, const Json &inBody)
{
	const uint64 acknowledged = inBody.value("lastSeen", uint64(0));
	if (!ioHost.ended.empty() && ioHost.ended.front()[0].get<uint64>() <= acknowledged)
		LogEvent(ELogLevel::Info, "fake_covered")
			.Field("worker", ioHost.Incarnation())
			.Field("from", ioHost.ended.front()[0].get<uint64>())
			.Field("to", acknowledged)
			.Field("token", ioHost.token);
	this->AddViolations(this->ends.OnAcknowledged(ioHost.Incarnation(), acknowledged, NowMillis()));
	std::erase_if(ioHost.ended, [acknowledged](const Json &inRow) { return inRow[0].get<uint64>() <= acknowledged; });
	Json running = Json::array();
	for (const FakeRun &run : ioHost.running)
	{
		const Millis duration = std::max<Millis>(1, run.ends_at - run.started_at);
		const int64 percent = run.ends_at < 0 ? 100 : (NowMillis() - run.started_at) * 100 / duration;
		running.push_back({run.task, run.run, this->CheckpointOf(run), percent});
	}
	const std::vector<Json> listed(ioHost.ended.begin(),
								   ioHost.ended.begin() + static_cast<std::ptrdiff_t>(std::min(cMaxEndsPerPoll, ioHost.ended.size())));
	return {{"born", ioHost.started_ms}, {"running", running}, {"ended", listed}};
}

std::string FakeFleet::CheckpointOf(const FakeRun &inRun)
{
	const Millis saves = (NowMillis() - inRun.started_at) / cSaveMs;
	if (!inRun.saves || saves == 0)
		return inRun.order.checkpoint;
	std::string checkpoint = inRun.task + '@' + std::to_string(inRun.run) + '.' + std::to_string(saves);
	this->requests.OnSaved(inRun.task, checkpoint);
	return checkpoint;
}

void FakeFleet::End(FakeHost &ioHost, size_t inRun, const char *inOutcome)
{
	const FakeRun run = ioHost.running[inRun];
	ioHost.running.erase(ioHost.running.begin() + static_cast<std::ptrdiff_t>(inRun));
	uint32 &highest = ioHost.highest_ended_run[run.task];
	highest = std::max(highest, run.run);
	LogEvent(ELogLevel::Info, "fake_end")
		.Field("worker", ioHost.Incarnation())
		.Field("number", ioHost.next_end_number)
		.Field("task", run.task)
		.Field("run", run.run)
		.Field("how", inOutcome);
	ioHost.ended.push_back({ioHost.next_end_number++, run.task, run.run, inOutcome, this->CheckpointOf(run)});
	if (std::string_view(inOutcome) != "done")
		return;
	this->done_tasks.insert(run.task);
	this->ends.OnDone({run.task, run.run, ioHost.Incarnation(), NowMillis()}, ioHost.next_end_number - 1);
}

void FakeFleet::AdvanceHost(FakeHost &ioHost)
{
	const Millis now = NowMillis();
	const bool is_expired = now > ioHost.lease_until;
	for (size_t i = ioHost.running.size(); i > 0; --i)
	{
		const FakeRun &run = ioHost.running[i - 1];
		// This process may have been paused: whichever of run end and lease expiry came first counts
		const bool is_finished = run.ends_at >= 0 && now >= run.ends_at && run.ends_at <= ioHost.lease_until;
		if (is_finished)
			this->End(ioHost, i - 1, run.fails ? "failed" : "done");
		else if (is_expired)
			this->End(ioHost, i - 1, "lapsed");
	}
	if (!is_expired || ioHost.lease_until == 0)
		return;
	LogEvent(ELogLevel::Info, "fake_lapse").Field("worker", ioHost.Incarnation()).Field("next_number", ioHost.next_end_number);
	this->ends.OnLeaseExpired(ioHost.Incarnation());
	ioHost.lease_until = 0;
}

void FakeFleet::CrashDueWorkers()
{
	const Millis now = NowMillis();
	for (const auto &host : this->hosts)
	{
		auto crashing = std::find_if(host->running.begin(), host->running.end(),
									 [now](const FakeRun &inRun) { return inRun.crashes_at >= 0 && now >= inRun.crashes_at; });
		if (crashing == host->running.end())
			continue;
		++this->crash_counts[crashing->task];
		this->CrashHost(*host);
	}
}

void FakeFleet::AdvanceAll()
{
	for (const auto &host : this->hosts)
	{
		this->AdvanceHost(*host);
		for (const FakeRun &run : host->running)
			this->AddUnasked(this->requests.OnRunning(run.order, this->troubles, NowMillis()));
	}
}

void FakeFleet::OnMachines(SoupServer *, SoupServerMessage *inMessage, const char *inPath, GHashTable *, gpointer inSelf)
{
	FakeFleet *self = static_cast<FakeFleet *>(inSelf);
	const std::string_view path = inPath;
	if (path == "/machine-move" || path == "/machine-upkeep")
		return self->HandleMachineOrder(inMessage, path == "/machine-move");
	Json rows = Json::array();
	for (const auto &host : self->hosts)
		rows.push_back({{"machine", host->name},
						{"pool", host->pool},
						{"state", host->state == "crashed" ? "down" : host->state},
						{"zone", "z"},
						{"labels", {"a", "r"}},
						{"capacity", {{"cpu", cHostCpu}, {"memMb", 32768}, {"gpu", 0}}},
						{"id", host->state == "up" ? Json(host->Id()) : Json()}});
	Reply(inMessage, 200, Json{{"machines", rows}, {"nextToken", nullptr}}.dump());
}

void FakeFleet::HandleMachineOrder(SoupServerMessage *inMessage, bool inIsMove)
{
	const Json body = Json::parse(BodyOf(inMessage), nullptr, false);
	const char *token_text = soup_message_headers_get_one(soup_server_message_get_request_headers(inMessage), "Loomreach-Fencing-Token");
	const uint64 token = token_text == nullptr ? 0 : g_ascii_strtoull(token_text, nullptr, 10);
	for (auto &host : this->hosts)
	{
		if (host->name != body.value("machine", ""))
			continue;
		if (token < host->machine_order_token)
			this->AddViolation("a lower token for " + host->name);
		host->machine_order_token = std::max(host->machine_order_token, token);
		if (host->state != "up")
			return Reply(inMessage, 409, R"({"reason":"busy"})");
		for (const FakeRun &run : host->running)
			this->AddViolation(run.task + " was on " + host->name + " when it was taken");
		// Not a rule of the platform, but a guarantee of loomreach: these ends, and with them finished work, would be lost with the host
		const size_t unacknowledged_ends = this->ends.UnacknowledgedCount(host->Incarnation());
		if (unacknowledged_ends > 0)
			this->hosts_taken_early.push_back(host->Id() + " was taken with " + std::to_string(unacknowledged_ends) + " ends unheard at " +
											  std::to_string(NowMillis()));
		++this->machine_orders;
		this->TakeDown(*host, inIsMove ? "moving" : "upkeep", inIsMove ? body.value("pool", host->pool) : host->pool,
					   inIsMove ? cMoveMs : cMaintenanceMs);
		return Reply(inMessage, 200, "{}");
	}
	Reply(inMessage, 400, "{}");
}

void FakeFleet::TakeDown(FakeHost &ioHost, const char *inState, const std::string &inPool, Millis inDurationMs)
{
	const bool is_maintenance = std::string_view(inState) == "upkeep";
	this->store.Put("keyed.servers", ioHost.Id(), "");
	this->ends.OnWorkerLost(ioHost.Incarnation());
	ioHost.state = inState;
	ioHost.pool = inPool;
	ioHost.running.clear();
	this->down_now += is_maintenance ? 1 : 0;
	this->max_down = std::max(this->max_down, this->down_now);
	After(inDurationMs,
		  [this, &ioHost, is_maintenance]
		  {
			  this->down_now -= is_maintenance ? 1 : 0;
			  this->StartIncarnation(ioHost);
		  });
}

void FakeFleet::StartIncarnation(FakeHost &ioHost)
{
	ioHost.id_number += std::exchange(ioHost.next_keeps_id, false) ? 0 : 1;
	ioHost.started_ms = g_get_real_time() / 1000;
	ioHost.clock_offset = static_cast<Millis>(this->random.Below(cMaxClockOffsetMs));
	ioHost.token = 0;
	ioHost.lease_until = 0;
	ioHost.ended.clear();
	ioHost.highest_ended_run.clear();
	ioHost.refused_repetitions.clear();
	ioHost.next_end_number = 1;
	ioHost.is_draining = false;
	ioHost.is_unlisted = false;
	ioHost.state = "up";
	this->WriteWorkerEntries();
}

} // namespace Loomreach
