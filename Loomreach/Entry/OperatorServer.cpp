// Calls of operators: reports on the accepted state, and proposals that change it.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/BoundedJson.h>
#include <Loomreach/Core/Clock.h>
#include <Loomreach/Core/Invariant.h>
#include <Loomreach/Entry/BodyLimit.h>
#include <Loomreach/Entry/OperatorServer.h>
#include <Loomreach/Entry/StateReport.h>
#include <Loomreach/Settings/SettingsParser.h>

#include <charconv>

namespace Loomreach
{

using Json = nlohmann::json;

static constexpr std::string_view cPrefix = "/v1/";
static constexpr size_t cMaxBodyBytes = cMaxBatchBytes; ///< Settings that are longer can't be appended to the log.
static constexpr std::string_view cBearer = "Bearer ";

OperatorServer::OperatorServer(const DaemonConfig &inConfig, LogFollower &ioFollower, ControlLoop &ioControl, Proposer &ioProposer,
							   const PlatformClient &inPlatform, Dispatcher &ioDispatcher, Relay &ioRelay, Metrics &ioMetrics)
	: config(inConfig), follower(ioFollower), control(ioControl), proposer(ioProposer), platform(inPlatform), dispatcher(ioDispatcher),
	  relay(ioRelay), metrics(ioMetrics)
{
}

bool OperatorServer::Open()
{
	this->server = OpenServer(this->config.operators, "operators");
	if (this->server == nullptr)
		return false;
	LimitBodies(*this->server, cMaxBodyBytes);
	soup_server_add_handler(this->server.get(), nullptr, &OperatorServer::OnCall, this, nullptr);
	return true;
}

std::string OperatorServer::Call::Get(const std::string &inKey) const
{
	auto found = this->query.find(inKey);
	return found == this->query.end() ? std::string() : found->second;
}

bool OperatorServer::IsAuthorized(SoupServerMessage *inMessage) const
{
	if (this->config.operators_token.empty())
		return true;
	const char *header = soup_message_headers_get_one(soup_server_message_get_request_headers(inMessage), "Authorization");
	const std::string_view header_value = header == nullptr ? "" : header;
	if (!header_value.starts_with(cBearer))
		return false;
	const std::string_view token = header_value.substr(cBearer.size());
	// Compares in constant time, so that the duration does not reveal how much of a token is right
	size_t difference = token.size() ^ this->config.operators_token.size();
	for (size_t i = 0; i < token.size(); ++i)
		difference |= static_cast<size_t>(token[i] ^ this->config.operators_token[i % this->config.operators_token.size()]);
	return difference == 0;
}

void OperatorServer::OnCall(SoupServer *, SoupServerMessage *inMessage, const char *inPath, GHashTable *inQuery, gpointer inSelf)
{
	OperatorServer *self = static_cast<OperatorServer *>(inSelf);
	if (!self->IsAuthorized(inMessage))
		return self->ReplyError(inMessage, EError::Unauthorized, "show the token as Authorization: Bearer");
	Call call;
	call.message = inMessage;
	call.method = soup_server_message_get_method(inMessage);
	std::string_view path = inPath;
	if (!path.starts_with(cPrefix))
		return self->ReplyError(inMessage, EError::NotFound, inPath);
	path.remove_prefix(cPrefix.size());
	while (!path.empty())
	{
		const size_t slash = path.find('/');
		call.path_segments.emplace_back(path.substr(0, slash));
		path = slash == std::string_view::npos ? std::string_view() : path.substr(slash + 1);
	}
	if (inQuery != nullptr)
	{
		GHashTableIter iterator;
		gpointer key = nullptr;
		gpointer value = nullptr;
		g_hash_table_iter_init(&iterator, inQuery);
		while (g_hash_table_iter_next(&iterator, &key, &value) != FALSE)
			call.query.emplace(static_cast<const char *>(key), static_cast<const char *>(value));
	}
	self->Route(call);
}

void OperatorServer::Route(const Call &inCall)
{
	const std::string resource = inCall.path_segments.empty() ? std::string() : inCall.path_segments.front();
	const std::string subresource = inCall.path_segments.size() > 1 ? inCall.path_segments[1] : std::string();
	if (resource == "metrics")
	{
		this->metrics.Gauge("loomreach_open_requests", static_cast<double>(this->relay.OpenRequests()));
		this->metrics.Gauge("loomreach_waiting_requests", static_cast<double>(this->dispatcher.Waiting()));
		this->metrics.Gauge("loomreach_next_offset", static_cast<double>(this->follower.State().next_offset));
		this->metrics.Gauge("loomreach_append_repeats", static_cast<double>(this->proposer.Queue().Repeats()));
		this->metrics.Gauge("loomreach_platform_bytes", static_cast<double>(this->platform.Bytes()));
		this->metrics.Gauge("loomreach_worker_bytes", static_cast<double>(this->control.WorkerBytes()));
		this->metrics.Gauge("loomreach_broken_invariants", static_cast<double>(BrokenInvariants()));
		const Millis read = this->follower.LastPlatformRead();
		this->metrics.Gauge("loomreach_state_age_ms", read == 0 ? -1.0 : static_cast<double>(NowMillis() - read));
		const std::string text = this->metrics.Prometheus() + RetryCounters(this->dispatcher);
		soup_server_message_set_response(inCall.message, "text/plain; version=0.0.4", SOUP_MEMORY_COPY, text.data(), text.size());
		return soup_server_message_set_status(inCall.message, SOUP_STATUS_OK, nullptr);
	}
	if (resource == "status")
		return this->Status(inCall);
	if (!this->follower.IsReady())
		return this->ReplyError(inCall.message, EError::NotReady, "no state yet");
	if (inCall.method == "POST")
		return this->RoutePost(inCall);
	if (resource == "settings")
		return subresource == "explain" ? this->ExplainSettings(inCall) : this->Settings(inCall);
	if (resource == "pools")
		return this->Pools(inCall);
	if (resource == "jobs")
		return subresource == "why" ? this->ExplainJob(inCall) : this->Jobs(inCall);
	if (resource == "hosts")
		return this->Hosts(inCall);
	if (resource == "waves")
		return this->Waves(inCall);
	if (resource == "in-force")
		return this->ReportProgress(inCall);
	this->ReplyError(inCall.message, EError::NotFound, resource);
}

void OperatorServer::RoutePost(const Call &inCall)
{
	const std::string &resource = inCall.path_segments.front();
	if (resource == "settings")
		return this->ApplyNewSettings(inCall);
	if (resource == "waves" && inCall.path_segments.size() == 1)
		return this->HandleStartWave(inCall);
	if (resource == "waves" && inCall.path_segments.size() == 3)
	{
		for (const EWaveAction action : {EWaveAction::Pause, EWaveAction::Resume, EWaveAction::Cancel})
			if (NameOfWaveAction(action) == inCall.path_segments[2])
				return this->Propose(inCall, ChangeWave{inCall.path_segments[1], action});
		return this->ReplyError(inCall.message, EError::NotFound, inCall.path_segments[2]);
	}
	if (resource == "hosts" && inCall.path_segments.size() == 3)
	{
		auto host = this->follower.State().hosts.find(inCall.path_segments[1]);
		if (host == this->follower.State().hosts.end())
			return this->ReplyError(inCall.message, EError::UnknownHost, inCall.path_segments[1]);
		return this->HandleHostStep(inCall, host->second);
	}
	this->ReplyError(inCall.message, EError::NotFound, resource);
}

void OperatorServer::Reply(SoupServerMessage *inMessage, const Json &inBody) const
{
	const std::string text = DumpJson(inBody) + "\n";
	soup_server_message_set_response(inMessage, "application/json", SOUP_MEMORY_COPY, text.data(), text.size());
	soup_server_message_set_status(inMessage, SOUP_STATUS_OK, nullptr);
}

void OperatorServer::ReplyError(SoupServerMessage *inMessage, EError inError, const std::string &inDetail) const
{
	const ErrorAnswer &row = AnswerOf(inError);
	this->Reply(inMessage, {{"error", row.name}, {"meaning", row.meaning}, {"detail", inDetail}});
	soup_server_message_set_status(inMessage, row.http_status, nullptr);
}

void OperatorServer::Status(const Call &inCall)
{
	const Millis now = NowMillis();
	Json body = ReportStatus(this->follower.State());
	body["name"] = this->config.name;
	body["availability_zone"] = this->config.availability_zone;
	body["ready"] = this->follower.IsReady();
	body["reaches_platform"] = this->follower.ReachesPlatform(now);
	const Millis read = this->follower.LastPlatformRead();
	body["state_age_ms"] = read == 0 ? -1 : now - read;
	body["stopping"] = this->control.IsStopping();
	body["open_requests"] = this->relay.OpenRequests();
	body["waiting_requests"] = this->dispatcher.Waiting();
	body["broken_invariants"] = BrokenInvariants();
	Json members = Json::array();
	for (const auto &[name, member] : this->follower.State().view.members)
	{
		const bool live = name == this->config.name || this->control.Tracker().IsConsideredLive(member, now);
		members.push_back({{"name", name}, {"availability_zone", member.availability_zone}, {"heard", live}});
	}
	body["members"] = std::move(members);
	this->Reply(inCall.message, body);
}

void OperatorServer::Settings(const Call &inCall)
{
	const FleetState &state = this->follower.State();
	this->Reply(inCall.message, {{"version", state.settings_version}, {"toml", state.settings.ToToml()}});
}

void OperatorServer::ExplainSettings(const Call &inCall)
{
	const FleetState &state = this->follower.State();
	const std::string path = inCall.Get("path");
	if (state.settings.Find(path) == nullptr)
		return this->ReplyError(inCall.message, EError::NotFound, "no node " + path);
	Json rows = Json::array();
	for (size_t i = 0; i < static_cast<size_t>(ESetting::Count); ++i)
	{
		const ESetting setting = static_cast<ESetting>(i);
		const EffectiveSetting explained = state.settings.Explain(path, setting);
		rows.push_back({{"setting", InfoOf(setting).name},
						{"value", TextOf(setting, explained.value)},
						{"from", explained.from.empty() ? "default" : explained.from},
						{"meaning", InfoOf(setting).meaning}});
	}
	this->Reply(inCall.message, {{"path", path}, {"settings", std::move(rows)}});
}

void OperatorServer::ApplyNewSettings(const Call &inCall)
{
	const FleetState &state = this->follower.State();
	const std::string file = inCall.Get("file").empty() ? "settings" : inCall.Get("file");
	std::optional<SettingsTree> tree = ParseSettings(ViewBody(*inCall.message), file);
	if (!tree.has_value())
		return this->ReplyError(inCall.message, LastReason().kind, LastReason().detail);
	Json changes = Json::array();
	for (const SettingChange &change : tree->DiffFrom(state.settings))
		changes.push_back(
			{{"path", change.path}, {"setting", InfoOf(change.setting).name}, {"before", change.before}, {"after", change.after}});
	if (inCall.Get("dry_run") == "yes")
		return this->Reply(inCall.message, {{"version", state.settings_version}, {"changes", std::move(changes)}});
	const std::string base = inCall.Get("base_version");
	ApplySettings apply{state.settings_version, tree->Nodes(), inCall.Get("author")};
	if (!base.empty())
	{
		const auto [end, error] = std::from_chars(base.data(), base.data() + base.size(), apply.base_version);
		if (error != std::errc() || end != base.data() + base.size())
			return this->ReplyError(inCall.message, EError::BadRequest, "base_version: expected a whole number");
	}
	this->Propose(inCall, std::move(apply));
}

void OperatorServer::Pools(const Call &inCall)
{
	this->Reply(inCall.message, ReportPools(this->follower.State(), this->control.WaveBlockers()));
}

void OperatorServer::Jobs(const Call &inCall) { this->Reply(inCall.message, ReportJobs(this->follower.State())); }

void OperatorServer::ExplainJob(const Call &inCall)
{
	this->Reply(inCall.message, ExplainPlacements(this->follower.State(), inCall.Get("path")));
}

void OperatorServer::Hosts(const Call &inCall)
{
	const FleetState &state = this->follower.State();
	if (inCall.path_segments.size() < 2)
		return this->Reply(inCall.message, ReportHosts(state));
	auto host = state.hosts.find(inCall.path_segments[1]);
	if (host == state.hosts.end())
		return this->ReplyError(inCall.message, EError::UnknownHost, inCall.path_segments[1]);
	this->Reply(inCall.message, ReportHost(state, host->second));
}

void OperatorServer::Waves(const Call &inCall)
{
	this->Reply(inCall.message, ReportWaves(this->follower.State(), this->control.WaveBlockers()));
}

void OperatorServer::ReportProgress(const Call &inCall)
{
	LogPosition position = 0;
	const std::string text = inCall.Get("position");
	std::from_chars(text.data(), text.data() + text.size(), position);
	const LogOffset offset = position / cMaxProposalsInBatch;
	Json behind = Json::array();
	size_t reached = 0;
	const Millis now = NowMillis();
	for (const auto &[name, member] : this->follower.State().view.members)
	{
		LogOffset next = this->control.Tracker().ReadOffset(name);
		if (name == this->config.name)
			next = this->follower.State().next_offset;
		if (next > offset)
			++reached;
		else
			behind.push_back(
				{{"name", name}, {"heard", name == this->config.name || this->control.Tracker().IsConsideredLive(member, now)}});
	}
	this->Reply(inCall.message, {{"reached", reached}, {"behind", std::move(behind)}});
}

void OperatorServer::HandleHostStep(const Call &inCall, const Host &inHost)
{
	const std::string &action = inCall.path_segments[2];
	if (action == "move")
		return this->Propose(inCall, MoveHost{inHost.spec.name, inHost.pool, inCall.Get("to"), inHost.generation});
	for (const EHostStep step : {EHostStep::Drain, EHostStep::Undrain, EHostStep::Unquarantine, EHostStep::Remove})
		if (NameOfStep(step) == action)
			return this->Propose(
				inCall, StepHost{inHost.spec.name, step, inHost.generation, step == EHostStep::Drain ? "" : inHost.wave, "operator", 0});
	this->ReplyError(inCall.message, EError::NotFound, action);
}

void OperatorServer::HandleStartWave(const Call &inCall)
{
	this->Propose(inCall, StartWave{inCall.Get("name"), inCall.Get("pool"), inCall.Get("availability_zone"), inCall.Get("rack")});
}

void OperatorServer::Propose(const Call &inCall, ProposalBody inBody)
{
	if (!this->follower.ReachesPlatform(NowMillis()))
		return this->ReplyError(inCall.message, EError::PlatformDown, "no change can be accepted now; nothing was sent");
	soup_server_message_pause(inCall.message);
	const auto message = std::shared_ptr<SoupServerMessage>(static_cast<SoupServerMessage *>(g_object_ref(inCall.message)), ObjectUnref());
	const LogPosition version_before = this->follower.State().settings_version;
	const SettingsTree settings_before = this->follower.State().settings;
	this->proposer.Propose(std::move(inBody),
						   [this, message, version_before, settings_before](const ProposalOutcome &inOutcome)
						   {
							   if (inOutcome.Accepted())
							   {
								   this->Reply(
									   message.get(),
									   {{"accepted", true}, {"position", inOutcome.position}, {"kind", NameOfProposal(inOutcome.kind)}});
							   }
							   else
							   {
								   const ErrorAnswer &row = AnswerOf(inOutcome.error);
								   Json body = {{"error", row.name}, {"meaning", row.meaning}, {"detail", inOutcome.detail}};
								   const FleetState &state = this->follower.State();
								   if (inOutcome.error == EError::Conflict && state.settings_version != version_before)
								   {
									   body["version"] = state.settings_version;
									   for (const SettingChange &change : state.settings.DiffFrom(settings_before))
										   body["changed"].push_back({{"path", change.path},
																	  {"setting", InfoOf(change.setting).name},
																	  {"before", change.before},
																	  {"after", change.after}});
								   }
								   this->Reply(message.get(), body);
								   soup_server_message_set_status(message.get(), row.http_status, nullptr);
							   }
							   soup_server_message_unpause(message.get());
						   });
}

} // namespace Loomreach
