// Connects the parts of an entry host, and shuts it down.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/LogEvent.h>
#include <Loomreach/Entry/EntryHost.h>

namespace Loomreach
{

/// Time for which new requests are still accepted after a shutdown began, since the load balancer takes a while to see that this entry
/// host is not ready.
static constexpr Millis cShutdownGraceMs = 2000;

/// A random incarnation for this process, never 0.
static uint64 MakeIncarnation() { return ((static_cast<uint64>(g_random_int()) << 32) | g_random_int()) | 1; }

EntryHost::EntryHost(DaemonConfig inConfig)
	: config(std::move(inConfig)), incarnation(MakeIncarnation()), codec(this->config.peer_key), platform(this->config.platform),
	  link(this->config.peers, this->codec, this->metrics), follower(this->platform, this->link, this->metrics, this->config.seeds),
	  proposer(this->platform, this->follower, this->metrics, this->incarnation), poller(this->config, this->platform),
	  dispatcher(this->config.availability_zone), relay(this->dispatcher, this->ids, this->metrics, this->config.connect_timeout_ms),
	  control(this->config, this->incarnation, this->follower, this->proposer, this->poller, this->link, this->dispatcher, this->metrics),
	  callers(this->config, this->incarnation, this->follower, this->control, this->relay, this->ids, this->codec, this->metrics),
	  operators(this->config, this->follower, this->control, this->proposer, this->platform, this->dispatcher, this->relay, this->metrics)
{
	this->follower.on_records_applied = [this](const std::vector<ProposalOutcome> &inOutcomes)
	{ this->control.OnRecordsApplied(inOutcomes); };
	this->control.on_decisions = [this](std::vector<Decision> inDecisions) { this->relay.Execute(std::move(inDecisions)); };
	this->link.on_heartbeat = [this](HeartbeatMessage inHeartbeat) { this->control.OnHeartbeat(std::move(inHeartbeat)); };
	this->link.on_request = [this](const PeerRequest &inRequest) -> PeerReply
	{
		return std::visit(
			[this](const auto &inContent) -> PeerReply
			{
				using Request = std::decay_t<decltype(inContent)>;
				if constexpr (std::is_same_v<Request, FetchRecords> || std::is_same_v<Request, FetchState>)
					return this->follower.AnswerFetch(inContent);
				else
					return this->control.AnswerClaim(inContent);
			},
			inRequest);
	};
}

bool EntryHost::Start()
{
	if (!this->link.Open() || !this->callers.Open() || !this->operators.Open())
		return false;
	LogEvent(ELogLevel::Info, "started")
		.Field("name", this->config.name)
		.Field("availability_zone", this->config.availability_zone)
		.Field("incarnation", this->incarnation)
		.Field("callers", this->config.callers.Text())
		.Field("operators", this->config.operators.Text())
		.Field("peers", this->config.peers.Text());
	this->control.Start();
	this->follower.Start();
	return true;
}

void EntryHost::Stop(std::function<void()> inDone)
{
	LogEvent(ELogLevel::Info, "stop_begun").Field("open_requests", this->relay.OpenRequests());
	this->on_stopped = std::move(inDone);
	this->control.BeginStop();
	this->relay.on_idle = [this] { this->TryFinish(); };
	this->grace_timer.Once(cShutdownGraceMs,
						   [this]
						   {
							   this->may_finish = true;
							   this->TryFinish();
						   });
}

void EntryHost::TryFinish()
{
	if (!this->may_finish || this->relay.OpenRequests() != 0 || !this->on_stopped)
		return;
	this->may_finish = false;
	this->control.LeaveView(
		[this]
		{
			LogPlain(ELogLevel::Info, "stop_done");
			this->on_stopped();
		});
}

} // namespace Loomreach
