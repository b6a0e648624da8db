// Wiring of one entry host and its planned stop.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/LogEvent.h>
#include <Loomreach/Entry/EntryHost.h>

namespace Loomreach
{

/// How long a stopping entry host still takes new requests, ms: the balancer has yet to notice that it is not ready.
static constexpr Millis cStopGraceMs = 2000;

/// Draws the incarnation of this process. Never 0.
static uint64 DrawIncarnation() { return ((static_cast<uint64>(g_random_int()) << 32) | g_random_int()) | 1; }

EntryHost::EntryHost(DaemonConfig inConfig)
	: config(std::move(inConfig)), incarnation(DrawIncarnation()), codec(this->config.peer_key), platform(this->config.platform),
	  link(this->config.peers, this->codec, this->metrics), follower(this->platform, this->link, this->metrics, this->config.seeds),
	  proposer(this->platform, this->follower, this->metrics, this->incarnation), poller(this->config, this->platform),
	  dispatcher(this->config.availability_zone), relay(this->dispatcher, this->ids, this->metrics, this->config.connect_timeout_ms),
	  control(this->config, this->incarnation, this->follower, this->proposer, this->poller, this->link, this->dispatcher, this->metrics),
	  callers(this->config, this->incarnation, this->follower, this->control, this->relay, this->ids, this->codec, this->metrics),
	  operators(this->config, this->follower, this->control, this->proposer, this->platform, this->dispatcher, this->relay, this->metrics)
{
	this->follower.on_folded = [this](const std::vector<Verdict> &inVerdicts) { this->control.OnRecordsApplied(inVerdicts); };
	this->control.on_decisions = [this](std::vector<Decision> inDecisions) { this->relay.Execute(std::move(inDecisions)); };
	this->link.on_digest = [this](Digest inDigest) { this->control.OnHeartbeat(std::move(inDigest)); };
	this->link.on_ask = [this](const PeerAsk &inAsk) -> PeerReply
	{
		return std::visit(
			[this](const auto &inQuestion) -> PeerReply
			{
				using Question = std::decay_t<decltype(inQuestion)>;
				if constexpr (std::is_same_v<Question, FetchRecords> || std::is_same_v<Question, FetchState>)
					return this->follower.AnswerFetch(inQuestion);
				else
					return this->control.AnswerClaim(inQuestion);
			},
			inAsk);
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
	this->stopped = std::move(inDone);
	this->control.BeginStop();
	this->relay.on_idle = [this] { this->TryFinish(); };
	this->grace.Once(cStopGraceMs,
					 [this]
					 {
						 this->finishing = true;
						 this->TryFinish();
					 });
}

void EntryHost::TryFinish()
{
	if (!this->finishing || this->relay.OpenRequests() != 0 || !this->stopped)
		return;
	this->finishing = false;
	this->control.LeaveView(
		[this]
		{
			LogPlain(ELogLevel::Info, "stop_done");
			this->stopped();
		});
}

} // namespace Loomreach
