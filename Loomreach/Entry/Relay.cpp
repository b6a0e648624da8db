// Attempts at endpoints and forwards to other entry hosts, as asynchronous libsoup calls.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Clock.h>
#include <Loomreach/Core/Invariant.h>
#include <Loomreach/Core/LogEvent.h>
#include <Loomreach/Entry/BodyLimit.h>
#include <Loomreach/Entry/Headers.h>
#include <Loomreach/Entry/Relay.h>

namespace Loomreach
{

/// Size of one read. An answer that reaches it is streamed instead of buffered.
static constexpr size_t cChunkBytes = 64U << 10;
static constexpr int cMaxConnections = 8192;
static constexpr int cMaxConnectionsPerHost = 64;
static constexpr guint cIdleTimeoutS = 30;

/// One attempt at an endpoint, or one forward to another entry host. Its pending libsoup calls keep it alive.
struct Relay::Attempt : std::enable_shared_from_this<Relay::Attempt>
{
	Relay *relay = nullptr;
	std::shared_ptr<Exchange> exchange;
	std::string host;
	bool is_forward = false;
	ObjectPtr<SoupMessage> message;
	ObjectPtr<GCancellable> cancellable;
	ObjectPtr<GInputStream> stream;
	Timer deadline_timer;
	Timer connect_timer;
	bool deadline_passed = false;
	bool connect_timed_out = false; ///< No connection was established in time, so the request was not sent.
	bool cancelled = false;
	bool streaming = false;
	bool read_pending = false; ///< A read is in progress; if not, a streamed answer waits for its caller to take the last chunk.
	std::string buffer;

	void Start(const Address &inTo)
	{
		SoupServerMessage *from = this->exchange->Message();
		const std::string url = "http://" + inTo.Text() + this->exchange->path;
		this->message.reset(soup_message_new(soup_server_message_get_method(from), url.c_str()));
		if (this->message == nullptr)
			return this->Finish(EAttempt::NotBegun);
		this->CopyRequest(from);
		this->cancellable.reset(g_cancellable_new());
		const Millis left = this->exchange->spec.deadline - NowMillis();
		this->deadline_timer.Once(left,
								  [self = this->weak_from_this()]
								  {
									  if (const std::shared_ptr<Attempt> attempt = self.lock())
										  attempt->OnDeadline();
								  });
		this->connect_timer.Once(std::min(left, this->relay->connect_timeout),
								 [self = this->weak_from_this()]
								 {
									 if (const std::shared_ptr<Attempt> attempt = self.lock())
										 attempt->OnConnectTimeout();
								 });
		g_signal_connect(this->message.get(), "starting", G_CALLBACK(&Attempt::OnStarting), this);
		soup_session_send_async(this->relay->session.get(), this->message.get(), G_PRIORITY_DEFAULT, this->cancellable.get(),
								&Attempt::OnResponseHead, new std::shared_ptr<Attempt>(this->shared_from_this()));
	}

	void OnDeadline()
	{
		this->deadline_passed = true;
		g_cancellable_cancel(this->cancellable.get());
	}

	void OnConnectTimeout()
	{
		this->connect_timed_out = true;
		g_cancellable_cancel(this->cancellable.get());
	}

	/// libsoup has a connection and is about to write the request, so the connect timeout no longer applies.
	static void OnStarting(SoupMessage *, gpointer inSelf) { static_cast<Attempt *>(inSelf)->connect_timer.Stop(); }

	/// Cancels the attempt: the caller of a repeatable request has disconnected.
	void Cancel()
	{
		this->cancelled = true;
		g_cancellable_cancel(this->cancellable.get());
	}

	void CopyRequest(SoupServerMessage *inFrom)
	{
		static constexpr std::array<std::string_view, 9> cNotCopied = {
			"host", "connection", "keep-alive", "transfer-encoding", "content-length", "upgrade", "te", "expect", "loomreach-service"};
		SoupMessageHeaders *to = soup_message_get_request_headers(this->message.get());
		SoupMessageHeadersIter iterator;
		const char *name = nullptr;
		const char *value = nullptr;
		soup_message_headers_iter_init(&iterator, soup_server_message_get_request_headers(inFrom));
		while (soup_message_headers_iter_next(&iterator, &name, &value) != FALSE)
		{
			const std::unique_ptr<char, decltype(&g_free)> lower(g_ascii_strdown(name, -1), &g_free);
			if (std::find(cNotCopied.begin(), cNotCopied.end(), std::string_view(lower.get())) == cNotCopied.end())
				soup_message_headers_append(to, name, value);
		}
		soup_message_headers_replace(to, this->is_forward ? cHeaderForwarded : cHeaderService,
									 this->is_forward ? "yes" : this->exchange->service.c_str());
		// Copied, since the caller's message may go before the attempt
		if (const std::string_view body = ViewBody(*inFrom); !body.empty())
		{
			GBytes *bytes = g_bytes_new(body.data(), body.size());
			soup_message_set_request_body_from_bytes(this->message.get(), nullptr, bytes);
			g_bytes_unref(bytes);
		}
		// libsoup repeats a request by itself when a reused connection turns out to be closed. A request that may not be repeated
		// therefore gets a new connection
		const bool repeatable = this->exchange->spec.repeatable && !this->is_forward;
		soup_message_add_flags(this->message.get(), repeatable ? SOUP_MESSAGE_IDEMPOTENT : SOUP_MESSAGE_NEW_CONNECTION);
		soup_message_add_flags(this->message.get(), SOUP_MESSAGE_NO_REDIRECT);
	}

	/// The result of a failed call.
	EAttempt ClassifyFailure(const ErrorPtr &inError) const
	{
		if (this->cancelled)
			return EAttempt::Abandoned;
		if (this->connect_timed_out)
			return EAttempt::Refused;
		if (this->deadline_passed)
			return EAttempt::TimedOut;
		return inError.Is(G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED) ? EAttempt::Refused : EAttempt::Broke;
	}

	static void OnResponseHead(GObject *inSession, GAsyncResult *inResult, gpointer inHolder)
	{
		const std::unique_ptr<std::shared_ptr<Attempt>> holder(static_cast<std::shared_ptr<Attempt> *>(inHolder));
		const std::shared_ptr<Attempt> self = *holder;
		ErrorPtr error;
		self->stream.reset(soup_session_send_finish(SOUP_SESSION(inSession), inResult, error.Out()));
		if (self->stream == nullptr)
			return self->Finish(self->ClassifyFailure(error));
		self->ReadEndpointHeaders();
		self->ReadNextChunk();
	}

	/// Takes the endpoint's state from the headers of its answer.
	void ReadEndpointHeaders()
	{
		SoupMessageHeaders *headers = soup_message_get_response_headers(this->message.get());
		if (!this->is_forward && soup_message_headers_get_one(headers, cHeaderLeaving) != nullptr)
			this->relay->dispatcher.Endpoints().RecordLeaving(this->host, NowMillis());
	}

	bool HasNotBegunHeader() const
	{
		SoupMessageHeaders *headers = soup_message_get_response_headers(this->message.get());
		const char *header_value = soup_message_headers_get_one(headers, cHeaderNotBegun);
		return !this->is_forward && soup_message_get_status(this->message.get()) == SOUP_STATUS_SERVICE_UNAVAILABLE &&
			   header_value != nullptr;
	}

	void ReadNextChunk()
	{
		this->read_pending = true;
		g_input_stream_read_bytes_async(this->stream.get(), cChunkBytes, G_PRIORITY_DEFAULT, this->cancellable.get(), &Attempt::OnChunk,
										new std::shared_ptr<Attempt>(this->shared_from_this()));
	}

	static void OnChunk(GObject *inStream, GAsyncResult *inResult, gpointer inHolder)
	{
		const std::unique_ptr<std::shared_ptr<Attempt>> holder(static_cast<std::shared_ptr<Attempt> *>(inHolder));
		const std::shared_ptr<Attempt> self = *holder;
		self->read_pending = false;
		ErrorPtr error;
		GBytes *bytes = g_input_stream_read_bytes_finish(G_INPUT_STREAM(inStream), inResult, error.Out());
		if (bytes == nullptr)
			return self->Finish(self->ClassifyFailure(error));
		self->HandleChunk(bytes);
		g_bytes_unref(bytes);
	}

	void HandleChunk(GBytes *inBytes)
	{
		gsize size = 0;
		const void *data = g_bytes_get_data(inBytes, &size);
		if (size == 0)
			return this->Finish(EAttempt::Answered);
		if (this->streaming)
			return this->SendChunk(inBytes);
		this->buffer.append(static_cast<const char *>(data), size);
		if (this->buffer.size() < cChunkBytes)
			return this->ReadNextChunk();
		this->BeginStreaming();
	}

	void BeginStreaming()
	{
		this->streaming = true;
		SoupMessageHeaders *headers = soup_message_get_response_headers(this->message.get());
		const bool has_length = soup_message_headers_get_encoding(headers) == SOUP_ENCODING_CONTENT_LENGTH;
		this->exchange->BeginStream(soup_message_get_status(this->message.get()), headers,
									has_length ? soup_message_headers_get_content_length(headers) : -1);
		GBytes *bytes = g_bytes_new(this->buffer.data(), this->buffer.size());
		this->buffer.clear();
		this->SendChunk(bytes);
		g_bytes_unref(bytes);
	}

	void SendChunk(GBytes *inBytes)
	{
		// Without a caller the rest is read and dropped, so that the endpoint's work is not interrupted
		if (this->exchange->IsCallerDisconnected())
			return this->ReadNextChunk();
		this->exchange->WriteChunk(inBytes, [self = this->shared_from_this()] { self->ReadNextChunk(); });
	}

	void Finish(EAttempt inResult)
	{
		this->deadline_timer.Stop();
		this->connect_timer.Stop();
		if (this->message != nullptr)
			g_signal_handlers_disconnect_by_data(this->message.get(), this);
		if (inResult == EAttempt::Answered && this->HasNotBegunHeader())
			inResult = EAttempt::NotBegun;
		if (inResult == EAttempt::Answered)
			this->Deliver();
		else if (this->streaming)
			this->exchange->AbortConnection();
		this->relay->EndAttempt(this->shared_from_this(), inResult, this->streaming);
	}

	/// Completes the answer to the caller, and keeps it where a repeat of the id may ask for it.
	void Deliver()
	{
		if (this->streaming)
			return this->exchange->EndStream();
		SoupMessageHeaders *headers = soup_message_get_response_headers(this->message.get());
		const char *type = soup_message_headers_get_content_type(headers, nullptr);
		const uint32 status = soup_message_get_status(this->message.get());
		if (!this->exchange->id_key.empty() && !this->is_forward)
			this->relay->ids.Ran(this->exchange->id_key, {status, type == nullptr ? "" : type, this->buffer});
		if (this->exchange->IsCallerDisconnected())
			return;
		EOutcome outcome = EOutcome::Ran;
		EError reason = EError::None;
		if (this->is_forward)
		{
			// The entry host that issued or claimed the id has already stated the outcome
			const char *header_value = soup_message_headers_get_one(headers, cHeaderOutcome);
			const char *reason_name = soup_message_headers_get_one(headers, cHeaderReason);
			outcome = header_value != nullptr && std::string_view(header_value) == "not-run" ? EOutcome::NotRun : EOutcome::Unknown;
			outcome = header_value != nullptr && std::string_view(header_value) == "ran" ? EOutcome::Ran : outcome;
			reason = reason_name == nullptr ? EError::None : ErrorOf(reason_name).value_or(EError::Internal);
		}
		this->exchange->CopyHeaders(headers);
		this->exchange->Answer(status, type == nullptr ? "" : type, this->buffer, outcome, reason);
	}
};

Relay::Relay(Dispatcher &ioDispatcher, IdWindow &ioIds, Metrics &ioMetrics, Millis inConnectTimeout)
	: dispatcher(ioDispatcher), ids(ioIds), metrics(ioMetrics), connect_timeout(inConnectTimeout),
	  session(soup_session_new_with_options("max-conns", cMaxConnections, "max-conns-per-host", cMaxConnectionsPerHost, "idle-timeout",
											cIdleTimeoutS, "timeout", 0U, nullptr))
{
	soup_session_remove_feature_by_type(this->session.get(), SOUP_TYPE_CONTENT_DECODER);
}

Relay::~Relay() { soup_session_abort(this->session.get()); }

void Relay::Submit(std::shared_ptr<Exchange> inExchange)
{
	const RequestId id = ++this->last_id;
	inExchange->spec.id = id;
	inExchange->on_caller_disconnected = [this, id] { this->OnCallerDisconnected(id); };
	const RequestSpec spec = inExchange->spec;
	this->exchanges.emplace(id, std::move(inExchange));
	std::vector<Decision> decisions;
	this->dispatcher.Arrive(spec, NowMillis(), decisions);
	this->Execute(std::move(decisions));
}

void Relay::Execute(std::vector<Decision> inDecisions)
{
	this->pending_decisions.insert(this->pending_decisions.end(), std::make_move_iterator(inDecisions.begin()),
								   std::make_move_iterator(inDecisions.end()));
	// Carrying out a decision may lead to further ones; the outer call runs them in order
	if (this->executing)
		return;
	this->executing = true;
	while (!this->pending_decisions.empty())
	{
		const Decision decision = std::move(this->pending_decisions.front());
		this->pending_decisions.pop_front();
		auto found = this->exchanges.find(decision.request);
		if (found == this->exchanges.end())
			continue;
		const std::shared_ptr<Exchange> exchange = found->second;
		switch (decision.kind)
		{
		case EDecision::Start: this->StartAttempt(exchange, decision); break;
		case EDecision::Finish: this->Close(decision.request); break;
		case EDecision::Refuse: this->RefuseExchange(exchange, decision); break;
		}
	}
	this->executing = false;
	this->CheckIdle();
}

void Relay::StartAttempt(const std::shared_ptr<Exchange> &inExchange, const Decision &inDecision)
{
	if (inDecision.attempt == 1)
		this->metrics.Observe(ETiming::Queue, NowMillisExact() - inExchange->arrived_exact);
	auto attempt = std::make_shared<Attempt>();
	attempt->relay = this;
	attempt->exchange = inExchange;
	attempt->host = inDecision.host;
	this->attempts[inDecision.request] = attempt;
	attempt->Start(inDecision.address);
}

void Relay::EndAttempt(const std::shared_ptr<Attempt> &inAttempt, EAttempt inResult, bool inRelayed)
{
	if (inAttempt->is_forward)
	{
		if (inResult != EAttempt::Answered && !inRelayed)
			inAttempt->exchange->Refuse(inResult == EAttempt::Refused ? EError::IssuerGone : EError::ForwardFailed, 0, "");
		--this->open_forwards;
		return this->CheckIdle();
	}
	this->attempts.erase(inAttempt->exchange->spec.id);
	std::vector<Decision> decisions;
	this->dispatcher.Ended(inAttempt->exchange->spec.id, inResult, inRelayed, NowMillis(), decisions);
	this->Execute(std::move(decisions));
	// The dispatcher makes no final decision on an abandoned request, so the end of its last attempt closes it
	if (inAttempt->exchange->IsCallerDisconnected())
		this->Close(inAttempt->exchange->spec.id);
	this->CheckIdle();
}

void Relay::RefuseExchange(const std::shared_ptr<Exchange> &inExchange, const Decision &inDecision)
{
	this->metrics.Count(ECounter::Refusals, AnswerOf(inDecision.error).name);
	if (AnswerOf(inDecision.error).outcome == EOutcome::NotRun && !inExchange->id_key.empty())
		this->ids.NotRun(inExchange->id_key);
	LogEvent(ELogLevel::Info, "request_refused")
		.Field("request", inDecision.request)
		.Field("service", inExchange->service)
		.Field("reason", AnswerOf(inDecision.error).name)
		.Field("retry_after_s", inDecision.retry_after_s);
	inExchange->Refuse(inDecision.error, inDecision.retry_after_s, "");
	this->Close(inDecision.request);
}

void Relay::Close(RequestId inRequest)
{
	auto found = this->exchanges.find(inRequest);
	if (found == this->exchanges.end())
		return;
	this->metrics.Count(ECounter::Requests, found->second->IsCallerDisconnected() ? "abandoned" : "answered");
	this->metrics.Observe(ETiming::Request, NowMillisExact() - found->second->arrived_exact);
	const std::shared_ptr<Exchange> exchange = std::move(found->second);
	this->exchanges.erase(found);
	if (exchange->IsCallerDisconnected())
		return;
	// A graceful shutdown waits until the last byte has been written to the caller
	exchange->on_written = [this, inRequest]
	{
		this->closing.erase(inRequest);
		this->CheckIdle();
	};
	this->closing.emplace(inRequest, exchange);
}

void Relay::EndPending()
{
	--this->pending_submits;
	this->CheckIdle();
}

void Relay::OnCallerDisconnected(RequestId inRequest)
{
	auto found = this->exchanges.find(inRequest);
	if (found == this->exchanges.end())
		return;
	const std::shared_ptr<Exchange> exchange = found->second;
	auto attempt = this->attempts.find(inRequest);
	const std::shared_ptr<Attempt> running = attempt == this->attempts.end() ? nullptr : attempt->second.lock();
	this->dispatcher.Abandon(inRequest);
	if (running == nullptr)
	{
		// It was still queued, so it did not run
		if (!exchange->id_key.empty())
			this->ids.NotRun(exchange->id_key);
		this->Close(inRequest);
		return this->CheckIdle();
	}
	// Without its caller a repeatable request does not justify a slot at the endpoint; any other request runs to its end
	if (exchange->spec.repeatable)
		running->Cancel();
	// A streamed answer that waited for its caller is read on until it ends or its attempt is cancelled
	if (running->streaming && !running->read_pending)
		running->ReadNextChunk();
}

void Relay::Forward(std::shared_ptr<Exchange> inExchange, const Address &inTo)
{
	auto attempt = std::make_shared<Attempt>();
	attempt->relay = this;
	attempt->exchange = std::move(inExchange);
	attempt->is_forward = true;
	++this->open_forwards;
	attempt->Start(inTo);
}

void Relay::CheckIdle()
{
	if (this->OpenRequests() == 0 && this->on_idle)
		this->on_idle();
}

} // namespace Loomreach
