// Checks of the requests of callers, and what happens to a request by its id.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/BoundedJson.h>
#include <Loomreach/Core/Clock.h>
#include <Loomreach/Core/LogEvent.h>
#include <Loomreach/Entry/BodyLimit.h>
#include <Loomreach/Entry/CallerServer.h>
#include <Loomreach/Entry/Headers.h>

#include <charconv>
#include <cinttypes>

namespace Loomreach
{

static constexpr std::string_view cServicePrefix = "/v1/services/";
static constexpr std::string_view cIdPrefix = "lr1-";
static constexpr uint32 cMaxIdsPerCall = 1000;
static constexpr size_t cMaxCallerIdLength = 128;
static constexpr int64 cMaxDeadlineMs = 86'400'000;

/// The value of a request's header, or an empty view.
static std::string_view HeaderOf(SoupServerMessage *inMessage, const char *inName)
{
	const char *value = soup_message_headers_get_one(soup_server_message_get_request_headers(inMessage), inName);
	return value == nullptr ? std::string_view() : std::string_view(value);
}

/// Parses a whole number that makes up the complete text.
static std::optional<int64> ParseNumber(std::string_view inText)
{
	int64 number = 0;
	const auto [end, error] = std::from_chars(inText.data(), inText.data() + inText.size(), number);
	if (error != std::errc() || end != inText.data() + inText.size())
		return Fail(EError::BadRequest, "expected a whole number");
	return number;
}

/// Whether a text consists of digits only. A Content-Length that is signed or given twice does not.
static bool IsDigits(std::string_view inText)
{
	return !inText.empty() &&
		   std::all_of(inText.begin(), inText.end(), [](char inCharacter) { return inCharacter >= '0' && inCharacter <= '9'; });
}

/// Whether HTTP defines a method as idempotent.
static bool IsIdempotentMethod(std::string_view inMethod)
{
	static constexpr std::array<std::string_view, 6> cMethods = {"GET", "HEAD", "PUT", "DELETE", "OPTIONS", "TRACE"};
	return std::find(cMethods.begin(), cMethods.end(), inMethod) != cMethods.end();
}

CallerServer::CallerServer(const DaemonConfig &inConfig, uint64 inIncarnation, LogFollower &ioFollower, ControlLoop &ioControl,
						   Relay &ioRelay, IdWindow &ioIds, const PeerCodec &inCodec, Metrics &ioMetrics)
	: config(inConfig), incarnation(inIncarnation), follower(ioFollower), control(ioControl), relay(ioRelay), ids(ioIds), codec(inCodec),
	  metrics(ioMetrics)
{
}

bool CallerServer::Open()
{
	this->server = OpenServer(this->config.callers, "callers");
	if (this->server == nullptr)
		return false;
	LimitBodies(*this->server, static_cast<size_t>(this->config.max_request_bytes));
	// libsoup calls the early handler of the most specific path only, so every path needs one
	for (const char *path : {"/v1/services", "/v1/ids", "/v1/health", static_cast<const char *>(nullptr)})
		soup_server_add_early_handler(this->server.get(), path, &CallerServer::OnRequestHead, this, nullptr);
	soup_server_add_handler(this->server.get(), "/v1/services", &CallerServer::OnService, this, nullptr);
	soup_server_add_handler(this->server.get(), "/v1/ids", &CallerServer::OnIds, this, nullptr);
	soup_server_add_handler(this->server.get(), "/v1/health", &CallerServer::OnHealth, this, nullptr);
	soup_server_add_handler(this->server.get(), nullptr, &CallerServer::OnUnknownPath, this, nullptr);
	return true;
}

/// Closes the connection of a request whose body, as received so far, exceeds the limit.
static void OnBodyChunk(SoupServerMessage *inMessage, GBytes *, gpointer inSelf)
{
	const DaemonConfig *config = static_cast<const DaemonConfig *>(inSelf);
	if (ReceivedBytes(*inMessage) <= static_cast<uint64>(config->max_request_bytes))
		return;
	const ObjectPtr<GIOStream> stream(soup_server_message_steal_connection(inMessage));
	if (stream != nullptr)
		g_io_stream_close(stream.get(), nullptr, nullptr);
}

void CallerServer::OnRequestHead(SoupServer *, SoupServerMessage *inMessage, const char *, GHashTable *, gpointer inSelf)
{
	CallerServer *self = static_cast<CallerServer *>(inSelf);
	SoupMessageHeaders *headers = soup_server_message_get_request_headers(inMessage);
	const char *length_list = soup_message_headers_get_list(headers, "Content-Length");
	const bool has_length = length_list != nullptr;
	const bool has_encoding = soup_message_headers_get_one(headers, "Transfer-Encoding") != nullptr;
	EError error = EError::None;
	// Two statements of the body's length, or a malformed one, are refused as possible request smuggling
	if (has_length && (has_encoding || !IsDigits(length_list)))
		error = EError::BadRequest;
	else if (has_length && soup_message_headers_get_content_length(headers) > self->config.max_request_bytes)
		error = EError::TooLarge;
	if (error == EError::None)
	{
		g_signal_connect(inMessage, "got-chunk", G_CALLBACK(&OnBodyChunk), const_cast<DaemonConfig *>(&self->config));
		return;
	}
	self->metrics.Count(ECounter::Refusals, AnswerOf(error).name);
	SoupMessageHeaders *answer = soup_server_message_get_response_headers(inMessage);
	soup_message_headers_replace(answer, cHeaderOutcome, "not-run");
	soup_message_headers_replace(answer, cHeaderReason, std::string(AnswerOf(error).name).c_str());
	soup_message_headers_replace(answer, "Connection", "close");
	const std::string text = std::string(AnswerOf(error).meaning) + "\n";
	soup_server_message_set_response(inMessage, "text/plain", SOUP_MEMORY_COPY, text.data(), text.size());
	soup_server_message_set_status(inMessage, AnswerOf(error).http_status, nullptr);
}

void CallerServer::OnService(SoupServer *, SoupServerMessage *inMessage, const char *inPath, GHashTable *, gpointer inSelf)
{
	static_cast<CallerServer *>(inSelf)->HandleService(inMessage, inPath);
}

void CallerServer::Refuse(const std::shared_ptr<Exchange> &inExchange, EError inError, std::string_view inDetail)
{
	this->metrics.Count(ECounter::Refusals, AnswerOf(inError).name);
	inExchange->Refuse(inError, 1, inDetail);
}

std::optional<std::shared_ptr<Exchange>> CallerServer::ReadRequest(SoupServerMessage *inMessage, const char *inPath)
{
	auto exchange = std::make_shared<Exchange>(inMessage, this->config.name);
	exchange->arrived = NowMillis();
	exchange->arrived_exact = NowMillisExact();
	const std::string_view path = inPath;
	const std::string_view rest = path.size() > cServicePrefix.size() ? path.substr(cServicePrefix.size()) : std::string_view();
	const size_t slash = rest.find('/');
	exchange->service = std::string(rest.substr(0, slash));
	GUri *uri = soup_server_message_get_uri(inMessage);
	// The endpoint gets the path as the caller escaped it; the path that libsoup passes in is decoded
	const std::string_view raw = g_uri_get_path(uri);
	const size_t path_start = raw.find('/', cServicePrefix.size());
	exchange->path = path_start == std::string_view::npos ? "/" : std::string(raw.substr(path_start));
	if (const char *query = g_uri_get_query(uri); query != nullptr)
		exchange->path += std::string("?") + query;
	if (!this->follower.IsReady())
	{
		this->Refuse(exchange, EError::NotReady, "no state yet");
		return std::nullopt;
	}
	const FleetState &state = this->follower.State();
	auto service = state.services.find(exchange->service);
	if (service == state.services.end())
	{
		this->Refuse(exchange, EError::NoSuchService, exchange->service);
		return std::nullopt;
	}
	const JobSpec &job = state.jobs.find(service->second)->second;
	if (!this->ReadHeaders(*exchange, job, inMessage))
	{
		this->Refuse(exchange, EError::BadRequest, LastReason().detail);
		return std::nullopt;
	}
	return exchange;
}

bool CallerServer::ReadHeaders(Exchange &ioExchange, const JobSpec &inJob, SoupServerMessage *inMessage)
{
	RequestSpec &spec = ioExchange.spec;
	spec.job = inJob.path;
	spec.priority = inJob.priority;
	ioExchange.is_long = inJob.long_requests;
	int64 time_left = inJob.deadline_ms;
	if (const std::string_view text = HeaderOf(inMessage, cHeaderDeadline); !text.empty())
	{
		const std::optional<int64> requested = ParseNumber(text);
		if (!requested.has_value() || *requested <= 0 || *requested > cMaxDeadlineMs)
			return FailFalse(EError::BadRequest, "Loomreach-Deadline-Ms: expected a whole number from 1 to 86400000");
		// A caller may allow less time than the service's deadline, but more only for a service with long requests
		time_left = inJob.long_requests ? *requested : std::min(time_left, *requested);
	}
	spec.deadline = ioExchange.arrived + time_left;
	if (const std::string_view text = HeaderOf(inMessage, cHeaderPriority); !text.empty())
	{
		const std::optional<int64> requested = ParseNumber(text);
		if (!requested.has_value() || *requested < 0)
			return FailFalse(EError::BadRequest, "Loomreach-Priority: expected a whole number from 0");
		spec.priority = std::min(spec.priority, *requested);
	}
	spec.repeatable = inJob.repeatable && IsIdempotentMethod(soup_server_message_get_method(inMessage));
	if (const std::string_view text = HeaderOf(inMessage, cHeaderRepeatable); !text.empty())
	{
		if (text != "yes" && text != "no")
			return FailFalse(EError::BadRequest, "Loomreach-Repeatable: expected yes or no");
		spec.repeatable = text == "yes";
	}
	return true;
}

void CallerServer::HandleService(SoupServerMessage *inMessage, const char *inPath)
{
	const std::optional<std::shared_ptr<Exchange>> exchange = this->ReadRequest(inMessage, inPath);
	if (!exchange.has_value())
		return;
	const std::string id(HeaderOf(inMessage, cHeaderId));
	const bool forwarded = !HeaderOf(inMessage, cHeaderForwarded).empty();
	// A repeatable request may run more than once, so its id is not tracked
	if (id.empty() || (*exchange)->spec.repeatable)
		return this->relay.Submit(*exchange);
	this->HandleId(*exchange, id, forwarded);
}

void CallerServer::HandleId(const std::shared_ptr<Exchange> &inExchange, const std::string &inId, bool inForwarded)
{
	if (inId.size() > cMaxCallerIdLength)
		return this->Refuse(inExchange, EError::BadRequest, "Idempotency-Key: at most 128 characters");
	if (!inId.starts_with(cIdPrefix))
		return this->HandleCallerId(inExchange, inId, inForwarded);
	const std::optional<IssuedId> issued = this->ParseId(inId);
	if (!issued.has_value())
		return this->Refuse(inExchange, EError::BadRequest, "Idempotency-Key: has the form of an issued id but was not issued here");
	this->HandleIssued(inExchange, *issued, inForwarded);
}

void CallerServer::HandleIssued(const std::shared_ptr<Exchange> &inExchange, const IssuedId &inId, bool inForwarded)
{
	if (inId.incarnation != this->incarnation)
		return this->ForwardTo(inExchange, inId.incarnation, inForwarded);
	this->HandleIdState(inExchange, IdWindow::IssuedKey(inId.sequence), this->ids.BeginIssued(inId.sequence));
}

void CallerServer::HandleCallerId(const std::shared_ptr<Exchange> &inExchange, const std::string &inId, bool inForwarded)
{
	// The same id at different services means different requests
	const std::string key = "own:" + inExchange->service + "/" + inId;
	if (this->ids.KnowsOwn(key))
	{
		const IdUseResult id_state = this->ids.BeginOwn(key);
		if (id_state.use != EIdUse::MayRun)
			return this->HandleIdState(inExchange, key, id_state);
	}
	else
	{
		if (!this->ids.AddOwn(key))
			return this->Refuse(inExchange, EError::NotAccepted, LastReason().detail);
		this->ids.BeginOwn(key);
	}
	// The id is marked as begun while it is being claimed, so that a repeat at this entry host can't be dispatched before this request
	inExchange->id_key = key;
	this->relay.BeginPending();
	this->control.ClaimCallerId(key,
								[this, inExchange, key, inForwarded](EError inError, uint64 inHolder)
								{
									this->OnClaimed(inExchange, key, inForwarded, inError, inHolder);
									this->relay.EndPending();
								});
}

void CallerServer::OnClaimed(const std::shared_ptr<Exchange> &inExchange, const std::string &inKey, bool inForwarded, EError inError,
							 uint64 inHolder)
{
	if (inError == EError::None && !inExchange->IsCallerDisconnected())
		return this->relay.Submit(inExchange);
	this->ids.NotRun(inKey);
	if (inExchange->IsCallerDisconnected())
		return;
	if (inError == EError::DuplicateId)
		return this->ForwardTo(inExchange, inHolder, inForwarded);
	this->Refuse(inExchange, inError,
				 "the id could not be claimed at every member of its claim group; ids from POST /v1/ids need no claim");
}

void CallerServer::HandleIdState(const std::shared_ptr<Exchange> &inExchange, const std::string &inKey, const IdUseResult &inState)
{
	switch (inState.use)
	{
	case EIdUse::MayRun: inExchange->id_key = inKey; return this->relay.Submit(inExchange);
	case EIdUse::Answered:
		this->metrics.Count(ECounter::Requests, "answered-again");
		return inExchange->Answer(inState.answer->status, inState.answer->content_type, inState.answer->body, EOutcome::Ran,
								  EError::DuplicateId);
	case EIdUse::Begun:
		return this->Refuse(inExchange, EError::DuplicateId, "the first run of this id has not ended, or no answer of it was kept");
	case EIdUse::Forgotten: return this->Refuse(inExchange, EError::IdForgotten, "");
	}
}

void CallerServer::ForwardTo(const std::shared_ptr<Exchange> &inExchange, uint64 inIncarnation, bool inForwarded)
{
	for (const auto &[name, member] : this->follower.State().view.members)
	{
		if (member.incarnation != inIncarnation || inForwarded || inIncarnation == this->incarnation)
			continue;
		inExchange->path = g_uri_get_path(soup_server_message_get_uri(inExchange->Message()));
		if (const char *query = g_uri_get_query(soup_server_message_get_uri(inExchange->Message())); query != nullptr)
			inExchange->path += std::string("?") + query;
		inExchange->id_key.clear();
		return this->relay.Forward(inExchange, member.callers);
	}
	this->Refuse(inExchange, EError::IssuerGone, "");
}

std::string CallerServer::IssueId()
{
	char text[64];
	const int length = std::snprintf(text, sizeof(text), "%016" PRIx64 "-%" PRIx64, this->incarnation, this->ids.Issue());
	const std::string payload(text, static_cast<size_t>(length));
	return std::string(cIdPrefix) + payload + "-" + this->codec.Tag(payload);
}

std::optional<CallerServer::IssuedId> CallerServer::ParseId(const std::string &inId) const
{
	const std::string_view rest = std::string_view(inId).substr(cIdPrefix.size());
	const size_t last = rest.rfind('-');
	const size_t middle = rest.find('-');
	if (last == std::string_view::npos || middle == last)
		return Fail(EError::BadRequest, "not an issued id");
	const std::string_view payload = rest.substr(0, last);
	if (this->codec.Tag(payload) != rest.substr(last + 1))
		return Fail(EError::Forged, "not an issued id");
	IssuedId id;
	const auto read = [](std::string_view inText, uint64 &outNumber)
	{
		const auto [end, error] = std::from_chars(inText.data(), inText.data() + inText.size(), outNumber, 16);
		return error == std::errc() && end == inText.data() + inText.size();
	};
	if (!read(payload.substr(0, middle), id.incarnation) || !read(payload.substr(middle + 1), id.sequence))
		return Fail(EError::BadRequest, "not an issued id");
	return id;
}

void CallerServer::OnIds(SoupServer *, SoupServerMessage *inMessage, const char *, GHashTable *inQuery, gpointer inSelf)
{
	CallerServer *self = static_cast<CallerServer *>(inSelf);
	if (std::string_view(soup_server_message_get_method(inMessage)) != "POST")
		return soup_server_message_set_status(inMessage, SOUP_STATUS_METHOD_NOT_ALLOWED, nullptr);
	const char *count_text = inQuery == nullptr ? nullptr : static_cast<const char *>(g_hash_table_lookup(inQuery, "count"));
	const std::optional<int64> count = count_text == nullptr ? std::optional<int64>(1) : ParseNumber(count_text);
	if (!count.has_value() || *count < 1 || *count > cMaxIdsPerCall)
	{
		const std::string text = "count: expected a whole number from 1 to 1000\n";
		soup_server_message_set_response(inMessage, "text/plain", SOUP_MEMORY_COPY, text.data(), text.size());
		return soup_server_message_set_status(inMessage, SOUP_STATUS_BAD_REQUEST, nullptr);
	}
	nlohmann::json list = nlohmann::json::array();
	for (int64 i = 0; i < *count; ++i)
		list.push_back(self->IssueId());
	const std::string body = DumpJson({{"ids", std::move(list)}}) + "\n";
	soup_server_message_set_response(inMessage, "application/json", SOUP_MEMORY_COPY, body.data(), body.size());
	soup_server_message_set_status(inMessage, SOUP_STATUS_OK, nullptr);
}

bool CallerServer::IsReady(std::string &outWhy) const
{
	if (this->control.IsStopping())
		outWhy = "stopping";
	else if (!this->follower.IsReady())
		outWhy = "no state yet";
	return outWhy.empty();
}

void CallerServer::OnHealth(SoupServer *, SoupServerMessage *inMessage, const char *inPath, GHashTable *, gpointer inSelf)
{
	CallerServer *self = static_cast<CallerServer *>(inSelf);
	const std::string_view path = inPath;
	std::string why;
	const bool live = path == "/v1/health/live";
	const bool good = live || (path == "/v1/health/ready" && self->IsReady(why));
	const Millis now = NowMillis();
	const Millis read = self->follower.LastPlatformRead();
	const nlohmann::json body = {{"ready", good},
								 {"why", why},
								 {"next_offset", self->follower.State().next_offset},
								 {"reaches_platform", self->follower.ReachesPlatform(now)},
								 {"state_age_ms", read == 0 ? -1 : now - read}};
	const std::string text = DumpJson(body) + "\n";
	soup_server_message_set_response(inMessage, "application/json", SOUP_MEMORY_COPY, text.data(), text.size());
	const bool known = live || path == "/v1/health/ready";
	const guint status = known ? (good ? SOUP_STATUS_OK : SOUP_STATUS_SERVICE_UNAVAILABLE) : SOUP_STATUS_NOT_FOUND;
	soup_server_message_set_status(inMessage, status, nullptr);
}

void CallerServer::OnUnknownPath(SoupServer *, SoupServerMessage *inMessage, const char *, GHashTable *, gpointer)
{
	const std::string text = "{\"error\":\"not-found\",\"outcome\":\"not-run\"}\n";
	soup_message_headers_replace(soup_server_message_get_response_headers(inMessage), cHeaderOutcome, "not-run");
	soup_server_message_set_response(inMessage, "application/json", SOUP_MEMORY_COPY, text.data(), text.size());
	soup_server_message_set_status(inMessage, SOUP_STATUS_NOT_FOUND, nullptr);
}

} // namespace Loomreach
