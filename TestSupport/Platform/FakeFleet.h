// Fake of the platform's machine service and workers for tests with real processes. Workers enforce leases and fencing tokens, keep runs
// and run ends, and record violations of the platform's rules.
// A task's payload gives its requested CPU and its behaviour: "cpu=MILLI ms=TIME", "fail", "lasts" (runs until stopped), "saves"
// (issues checkpoints), "crash=TIME" (crashes its worker TIME ms after its start).

#pragma once

#include <Loomreach/Core/GlibHandle.h>
#include <Loomreach/Core/Random.h>
#include <TestSupport/Platform/EndLedger.h>
#include <TestSupport/Platform/FakeStore.h>
#include <TestSupport/Platform/RequestLedger.h>

#include <nlohmann/json.hpp>

namespace Loomreach
{

/// Fault that affects a share of the orders to workers.
enum class EOrderFault : uint8
{
	None,
	Late,         ///< Gets no answer and is carried out seconds later.
	RefusedRepeat ///< A start is carried out without an answer, its connection is closed, and its repetition gets 503.
};

/// A run on a fake worker.
struct FakeRun
{
	std::string task;
	uint32 run = 0;
	int64 cpu = 0;
	Millis started_at = 0;
	Millis ends_at = -1; ///< -1: runs until stopped.
	bool fails = false;
	Millis crashes_at = -1; ///< -1: never.
	bool saves = false;
	OrderedRun order;
};

/// One host with one worker at a time.
struct FakeHost
{
	std::string name;
	std::string pool;
	std::string state = "up";
	uint16 port = 0;
	uint32 id_number = 0;       ///< Number in the worker's id; grows with each new id.
	int64 started_ms = 0;       ///< Start time of the worker's incarnation, ms since 1970.
	Millis clock_offset = 0;    ///< Offset of the worker's clock from this process's.
	bool next_keeps_id = false; ///< The next worker after a crash has the same id.
	uint64 token = 0;
	Millis lease_until = 0;
	std::vector<FakeRun> running;
	std::map<std::string, uint32> highest_ended_run; ///< By task; a start of this or a lower run is refused.
	std::vector<nlohmann::json> ended;               ///< Run ends not acknowledged yet, as rows of a poll's answer; sequence number first.
	uint64 next_end_number = 1;
	uint64 machine_order_token = 0;
	int64 cpu = 0;                             ///< Capacity in the worker's entry, thousandths of a core.
	int64 cpu_before_reduction = 0;            ///< Capacity before the last reduction.
	Millis reduced_at = -1;                    ///< Time of the last reduction; -1: never.
	bool is_unresponsive = false;              ///< Keeps calls open without an answer.
	bool is_draining = false;                  ///< Its entry says that it leaves.
	bool is_unlisted = false;                  ///< Serves on though its entry is gone.
	std::set<std::string> refused_repetitions; ///< Bodies of starts whose repetition gets 503.
	ObjectPtr<SoupServer> server;
	std::vector<ObjectPtr<SoupServerMessage>> unanswered;

	std::string Id() const { return "i-" + this->name + "-" + std::to_string(this->id_number); }
	/// Names the worker's incarnation.
	std::string Incarnation() const { return this->Id() + '@' + std::to_string(this->started_ms); }
	Millis Clock() const { return NowMillis() + this->clock_offset; }
};

/// All fake hosts, the machine service, and the checks of the platform's rules.
class FakeFleet
{
public:
	/// `inSeed`: seed of the random choices, such as the orders that a fault affects.
	FakeFleet(FakeStore &ioStore, uint64 inSeed) : store(ioStore), random(inSeed) {}

	/// Opens the machine service and a listener for each host; false on failure. `inPools`: pool of each host.
	bool Open(const Address &inMachines, uint16 inFirstPort, const std::vector<std::string> &inPools);
	/// Violations of rules, and counts.
	nlohmann::json Report() const;
	/// Makes a host's worker unresponsive, or responsive again.
	void SetUnresponsive(const std::string &inHost, bool inIsUnresponsive);
	/// Sets a host's capacity, thousandths of a core; 0: all cores.
	void SetCapacity(const std::string &inHost, int64 inCpu);
	/// Crashes a host's worker; the next one starts after 0.7 to 2.5 s under a new id.
	void Crash(const std::string &inHost);
	/// Crashes a host's worker; the next one starts after `inRestartMs` under the same id.
	void Restart(const std::string &inHost, Millis inRestartMs);
	/// A host's worker leaves as planned: it drains for `inDrainMs`, serves on without an entry for as long, and ends. The next one has a
	/// new id.
	void Leave(const std::string &inHost, Millis inDrainMs);
	void SetOrderFault(EOrderFault inFault) { this->order_fault = inFault; }
	/// What callers sent, and the faults that the test's script has turned on.
	RequestLedger &Requests() { return this->requests; }
	TroubleWatch &Troubles() { return this->troubles; }

private:
	static void OnMachines(SoupServer *, SoupServerMessage *inMessage, const char *inPath, GHashTable *, gpointer inSelf);
	static void OnWorker(SoupServer *inServer, SoupServerMessage *inMessage, const char *inPath, GHashTable *, gpointer inSelf);
	void Handle(FakeHost &ioHost, SoupServerMessage *inMessage, std::string_view inPath);
	/// A long poll that waits for a run end.
	struct WaitingPoll
	{
		std::shared_ptr<SoupServerMessage> message;
		nlohmann::json body;
		std::string incarnation; ///< Incarnation of the worker that received the poll.
		Millis until = 0;
	};
	/// Answers a poll once there is a run end or its waiting time is over.
	void WaitForEnd(FakeHost &ioHost, const WaitingPoll &inPoll);
	/// Applies the order fault, if it affects this order. Returns whether it did; the caller must not handle the order then.
	bool ApplyOrderFault(FakeHost &ioHost, SoupServerMessage *inMessage, const std::string &inPath, const std::string &inBody);
	/// Carries out an order, `inIsLate`: after a fault held it up. Returns HTTP status and body of the answer.
	std::pair<uint32, nlohmann::json> Execute(FakeHost &ioHost, std::string_view inPath, const nlohmann::json &inBody,
											  bool inIsLate = false);
	nlohmann::json Start(FakeHost &ioHost, const nlohmann::json &inBody, bool inIsLate, uint32 &outStatus);
	void Stop(FakeHost &ioHost, const nlohmann::json &inBody);
	nlohmann::json Poll(FakeHost &ioHost, const nlohmann::json &inBody);
	void Answer(SoupServerMessage *inMessage, const FakeHost &inHost, uint32 inStatus, nlohmann::json inBody);
	/// Ends the runs that are over and expires leases, up to now, on one host and on all.
	void AdvanceHost(FakeHost &ioHost);
	void AdvanceAll();
	/// The run's newest checkpoint; empty if it has none.
	std::string CheckpointOf(const FakeRun &inRun);
	void End(FakeHost &ioHost, size_t inRun, const char *inOutcome);
	void WriteWorkerEntries();
	void CrashHost(FakeHost &ioHost, Millis inRestartMs);
	/// Crashes the worker; the next one starts after a random time of 0.7 to 2.5 s.
	void CrashHost(FakeHost &ioHost);
	/// Crashes the workers that have a run whose `crash=TIME` is reached.
	void CrashDueWorkers();
	/// Starts a host's next worker.
	void StartIncarnation(FakeHost &ioHost);
	/// Opens a host's listener; false on failure.
	bool Listen(FakeHost &ioHost);
	/// Checks a start against the worker's capacity, and against the limit of starts of a task that crashes its workers.
	void CheckCapacity(const FakeHost &inHost, const FakeRun &inRun);
	void CheckCrashes(const FakeRun &inRun);
	void TakeDown(FakeHost &ioHost, const char *inState, const std::string &inPool, Millis inDurationMs);
	void HandleMachineOrder(SoupServerMessage *inMessage, bool inIsMove);
	void AddViolation(const std::string &inWhat);
	void AddViolations(const std::vector<std::string> &inLines);
	void AddUnasked(const std::vector<UnaskedRun> &inRuns);

	FakeStore &store;
	ObjectPtr<SoupServer> machines;
	std::vector<std::unique_ptr<FakeHost>> hosts;
	std::vector<std::string> violations;
	std::set<std::string> done_tasks;
	EndLedger ends;
	RequestLedger requests;
	TroubleWatch troubles;
	std::map<std::string, uint64> unasked;      ///< By part of the rule, excused runs apart: count.
	std::vector<std::string> hosts_taken_early; ///< Hosts taken down before all done ends of their worker were acknowledged.
	EOrderFault order_fault = EOrderFault::None;
	Random random;
	std::map<std::string, uint32> crash_counts;             ///< By task: workers that it crashed.
	std::map<std::string, uint32> starts_after_crash_limit; ///< By task: its starts after it crashed three workers.
	Address listen_address;
	uint64 injected_crashes = 0;
	std::map<std::string, uint64> affected_orders; ///< By fault: count of affected orders.
	uint64 starts = 0;
	uint64 machine_orders = 0;
	uint32 down_now = 0;
	uint32 max_down = 0;
	Timer advance_timer;
	Timer entry_timer;
};

} // namespace Loomreach
