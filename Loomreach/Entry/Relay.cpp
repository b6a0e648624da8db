// Attempts at endpoints by libsoup: small answers are read whole before a byte goes to the caller, larger ones are streamed
// piece by piece as the caller takes them, so that memory a request stays bounded.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Clock.h>
#include <Loomreach/Core/Invariant.h>
#include <Loomreach/Core/LogEvent.h>
#include <Loomreach/Entry/Headers.h>
#include <Loomreach/Entry/Relay.h>

namespace Loomreach
{

static constexpr size_t cPieceBytes = 64U << 10;
static constexpr int cMaxConnections = 8192;
static constexpr int cMaxConnectionsPerHost = 64;
static constexpr guint cIdleTimeoutS = 30;

/// One attempt at an endpoint, or one forward to another entry host.
struct Relay::Attempt : std::enable_shared_from_this<Relay::Attempt>
{
	Relay *relay = nullptr;
	std::shared_ptr<Exchange> exchange;
	std::string host;
	bool is_forward = false;
	ObjectPtr<SoupMessage> message;
	ObjectPtr<GCancellable> cancellable;
	ObjectPtr<GInputStream> stream;
	Timer deadline;
	Timer connecting;
	bool late = false;
	bool unconnected = false; ///< No connection came in time: the request certainly was not sent.
	bool cancelled = false;
	bool streaming = false;
	bool reading = false; ///< A read is under way; otherwise a streamed answer waits for its caller.
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
		this->deadline.Once(left,
							[self = this->weak_from_this()]
							{
								if (const std::shared_ptr<Attempt> attempt = self.lock())
									attempt->Expire();
							});
		this->connecting.Once(std::min(left, this->relay->connect_timeout),
							  [self = this->weak_from_this()]
							  {
								  if (const std::shared_ptr<Attempt> attempt = self.lock())
									  attempt->GiveUpConnecting();
							  });
		g_signal_connect(this->message.get(), "starting", G_CALLBACK(&Attempt::OnStarting), this);
		soup_session_send_async(this->relay->session.get(), this->message.get(), G_PRIORITY_DEFAULT, this->cancellable.get(),
								&Attempt::OnHead, new std::shared_ptr<Attempt>(this->shared_from_this()));
	}

	void Expire()
	{
		this->late = true;
		g_cancellable_cancel(this->cancellable.get());
	}

	void GiveUpConnecting()
	{
		this->unconnected = true;
		g_cancellable_cancel(this->cancellable.get());
	}

	/// libsoup has a connection and is about to write the request.
	static void OnStarting(SoupMessage *, gpointer inSelf) { static_cast<Attempt *>(inSelf)->connecting.Stop(); }

	/// The caller went away from a request that may be cut short.
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
		SoupMessageBody *body = soup_server_message_get_request_body(inFrom);
		if (body->length > 0)
		{
			GBytes *bytes = soup_message_body_flatten(body);
			soup_message_set_request_body_from_bytes(this->message.get(), nullptr, bytes);
			g_bytes_unref(bytes);
		}
		// libsoup itself sends a request again when a reused connection turns out closed; one that may not be repeated gets a new
		// connection
		const bool repeatable = this->exchange->spec.repeatable && !this->is_forward;
		soup_message_add_flags(this->message.get(), repeatable ? SOUP_MESSAGE_IDEMPOTENT : SOUP_MESSAGE_NEW_CONNECTION);
		soup_message_add_flags(this->message.get(), SOUP_MESSAGE_NO_REDIRECT);
	}

	/// How a failed call is to be judged.
	EAttempt Judge(const ErrorPtr &inError) const
	{
		if (this->cancelled)
			return EAttempt::Abandoned;
		if (this->unconnected)
			return EAttempt::Refused;
		if (this->late)
			return EAttempt::TimedOut;
		return inError.Is(G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED) ? EAttempt::Refused : EAttempt::Broke;
	}

	static void OnHead(GObject *inSession, GAsyncResult *inResult, gpointer inHolder)
	{
		const std::unique_ptr<std::shared_ptr<Attempt>> holder(static_cast<std::shared_ptr<Attempt> *>(inHolder));
		const std::shared_ptr<Attempt> self = *holder;
		ErrorPtr error;
		self->stream.reset(soup_session_send_finish(SOUP_SESSION(inSession), inResult, error.Out()));
		if (self->stream == nullptr)
			return self->Finish(self->Judge(error));
		self->ReadSigns();
		self->ReadOn();
	}

	/// The endpoint's own signs in the head of its answer.
	void ReadSigns()
	{
		SoupMessageHeaders *headers = soup_message_get_response_headers(this->message.get());
		if (!this->is_forward && soup_message_headers_get_one(headers, cHeaderLeaving) != nullptr)
			this->relay->dispatcher.Endpoints().SawLeaving(this->host, NowMillis());
	}

	bool SaysNotBegun() const
	{
		SoupMessageHeaders *headers = soup_message_get_response_headers(this->message.get());
		const char *word = soup_message_headers_get_one(headers, cHeaderNotBegun);
		return !this->is_forward && soup_message_get_status(this->message.get()) == SOUP_STATUS_SERVICE_UNAVAILABLE && word != nullptr;
	}

	void ReadOn()
	{
		this->reading = true;
		g_input_stream_read_bytes_async(this->stream.get(), cPieceBytes, G_PRIORITY_DEFAULT, this->cancellable.get(), &Attempt::OnPiece,
										new std::shared_ptr<Attempt>(this->shared_from_this()));
	}

	static void OnPiece(GObject *inStream, GAsyncResult *inResult, gpointer inHolder)
	{
		const std::unique_ptr<std::shared_ptr<Attempt>> holder(static_cast<std::shared_ptr<Attempt> *>(inHolder));
		const std::shared_ptr<Attempt> self = *holder;
		self->reading = false;
		ErrorPtr error;
		GBytes *bytes = g_input_stream_read_bytes_finish(G_INPUT_STREAM(inStream), inResult, error.Out());
		if (bytes == nullptr)
			return self->Finish(self->Judge(error));
		self->TakePiece(bytes);
		g_bytes_unref(bytes);
	}

	void TakePiece(GBytes *inBytes)
	{
		gsize size = 0;
		const void *data = g_bytes_get_data(inBytes, &size);
		if (size == 0)
			return this->Finish(EAttempt::Answered);
		if (this->streaming)
			return this->SendPiece(inBytes);
		this->buffer.append(static_cast<const char *>(data), size);
		if (this->buffer.size() < cPieceBytes)
			return this->ReadOn();
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
		this->SendPiece(bytes);
		g_bytes_unref(bytes);
	}

	void SendPiece(GBytes *inBytes)
	{
		// The caller is gone: the rest is read and dropped, so that the endpoint is not cut
		if (this->exchange->IsGone())
			return this->ReadOn();
		this->exchange->Piece(inBytes, [self = this->shared_from_this()] { self->ReadOn(); });
	}

	void Finish(EAttempt inResult)
	{
		this->deadline.Stop();
		this->connecting.Stop();
		if (this->message != nullptr)
			g_signal_handlers_disconnect_by_data(this->message.get(), this);
		if (inResult == EAttempt::Answered && this->SaysNotBegun())
			inResult = EAttempt::NotBegun;
		if (inResult == EAttempt::Answered)
			this->Deliver();
		else if (this->streaming)
			this->exchange->Cut();
		this->relay->EndAttempt(this->shared_from_this(), inResult, this->streaming);
	}

	/// Gives the caller the whole answer.
	void Deliver()
	{
		if (this->streaming)
			return this->exchange->EndStream();
		SoupMessageHeaders *headers = soup_message_get_response_headers(this->message.get());
		const char *type = soup_message_headers_get_content_type(headers, nullptr);
		const uint32 status = soup_message_get_status(this->message.get());
		if (!this->exchange->id_key.empty() && !this->is_forward)
			this->relay->ids.Ran(this->exchange->id_key, {status, type == nullptr ? "" : type, this->buffer});
		if (this->exchange->IsGone())
			return;
		EOutcome outcome = EOutcome::Ran;
		EError reason = EError::None;
		if (this->is_forward)
		{
			// The issuing entry host has already said what became of the request
			const char *word = soup_message_headers_get_one(headers, cHeaderOutcome);
			const char *why = soup_message_headers_get_one(headers, cHeaderReason);
			outcome = word != nullptr && std::string_view(word) == "not-run" ? EOutcome::NotRun : EOutcome::Unknown;
			outcome = word != nullptr && std::string_view(word) == "ran" ? EOutcome::Ran : outcome;
			reason = why == nullptr ? EError::None : ErrorOf(why).value_or(EError::Internal);
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
	inExchange->on_gone = [this, id] { this->OnGone(id); };
	const RequestSpec spec = inExchange->spec;
	this->exchanges.emplace(id, std::move(inExchange));
	std::vector<Decision> decisions;
	this->dispatcher.Arrive(spec, NowMillis(), decisions);
	this->Execute(std::move(decisions));
}

void Relay::Execute(std::vector<Decision> inDecisions)
{
	this->pending.insert(this->pending.end(), std::make_move_iterator(inDecisions.begin()), std::make_move_iterator(inDecisions.end()));
	// Decisions that come up while others are carried out take their turn
	if (this->executing)
		return;
	this->executing = true;
	while (!this->pending.empty())
	{
		const Decision decision = std::move(this->pending.front());
		this->pending.pop_front();
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
		this->metrics.Time(ETiming::Queue, NowMillisExact() - inExchange->arrived_exact);
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
		--this->forwards;
		return this->CheckIdle();
	}
	this->attempts.erase(inAttempt->exchange->spec.id);
	std::vector<Decision> decisions;
	this->dispatcher.Ended(inAttempt->exchange->spec.id, inResult, inRelayed, NowMillis(), decisions);
	this->Execute(std::move(decisions));
	// An abandoned request has no final decision; its last attempt ends it
	if (inAttempt->exchange->IsGone())
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
	this->metrics.Count(ECounter::Requests, found->second->IsGone() ? "abandoned" : "answered");
	this->metrics.Time(ETiming::Request, NowMillisExact() - found->second->arrived_exact);
	const std::shared_ptr<Exchange> exchange = std::move(found->second);
	this->exchanges.erase(found);
	if (exchange->IsGone())
		return;
	// A planned stop waits until the caller has the last byte
	exchange->on_written = [this, inRequest]
	{
		this->closing.erase(inRequest);
		this->CheckIdle();
	};
	this->closing.emplace(inRequest, exchange);
}

void Relay::Release()
{
	--this->held;
	this->CheckIdle();
}

void Relay::OnGone(RequestId inRequest)
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
		// It waited and certainly did not run
		if (!exchange->id_key.empty())
			this->ids.NotRun(exchange->id_key);
		this->Close(inRequest);
		return this->CheckIdle();
	}
	// A request that may be repeated is worth no slot without its caller; any other runs to its end
	if (exchange->spec.repeatable)
		running->Cancel();
	// An answer that waited for its caller is read on: to its end, or to the cancellation
	if (running->streaming && !running->reading)
		running->ReadOn();
}

void Relay::Forward(std::shared_ptr<Exchange> inExchange, const Address &inTo)
{
	auto attempt = std::make_shared<Attempt>();
	attempt->relay = this;
	attempt->exchange = std::move(inExchange);
	attempt->is_forward = true;
	++this->forwards;
	attempt->Start(inTo);
}

void Relay::CheckIdle()
{
	if (this->Open() == 0 && this->on_idle)
		this->on_idle();
}

} // namespace Loomreach
