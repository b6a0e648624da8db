// Derives the phase of a connection from the signals of its requests.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Clock.h>
#include <Loomreach/Entry/Connection.h>
#include <Loomreach/Entry/ConnectionGuard.h>

namespace Loomreach
{

Connection::Connection(ConnectionGuard &ioGuard, uint64 inId, std::string_view inListener, ObjectPtr<GSocket> inSocket)
	: guard(&ioGuard), id(inId), listener(inListener), socket(std::move(inSocket)), progress_at(NowMillis())
{
}

bool Connection::OnRead(size_t inBytes)
{
	this->progress_at = NowMillis();
	if (this->phase == EConnectionPhase::Idle)
		this->BeginRequest();
	// The bytes of a body are counted where they are kept
	const bool is_head = this->phase == EConnectionPhase::Receiving && !this->has_head;
	if (!is_head || this->guard == nullptr)
		return true;
	const size_t before = this->HeldBytes();
	this->request_bytes += inBytes;
	this->Account(before);
	return this->HasRoom();
}

bool Connection::HasRoom()
{
	if (this->guard == nullptr || this->guard->MakeRoom(*this))
		return true;
	this->guard->Report(ELimit::Memory, this->listener, 0);
	return false;
}

void Connection::OnWritten(size_t)
{
	this->progress_at = NowMillis();
	this->write_blocked = false;
}

void Connection::OnWriteBlocked() { this->write_blocked = true; }

bool Connection::OnInputEnded() { return this->phase != EConnectionPhase::Serving; }

void Connection::OnClosed()
{
	if (this->guard != nullptr)
		this->guard->Forget(*this);
}

void Connection::Follow(SoupServerMessage &inMessage)
{
	this->message = &inMessage;
	// The message keeps this object for as long as it may report
	const auto connect = [&](const char *inSignal, GCallback inCallback) { g_signal_connect(&inMessage, inSignal, inCallback, this); };
	connect("got-headers", G_CALLBACK(&Connection::OnHead));
	connect("got-body", G_CALLBACK(&Connection::OnBody));
	connect("finished", G_CALLBACK(&Connection::OnFinished));
}

void Connection::OnHead(SoupServerMessage *, gpointer inSelf)
{
	auto *self = static_cast<Connection *>(inSelf);
	// The head may have arrived together with the previous request
	if (self->phase == EConnectionPhase::Idle)
		self->BeginRequest();
	self->has_head = true;
}

void Connection::OnBody(SoupServerMessage *, gpointer inSelf)
{
	auto *self = static_cast<Connection *>(inSelf);
	self->phase = EConnectionPhase::Serving;
	self->progress_at = NowMillis();
	// Kept bodies belong to the handlers from here on
	self->SetBodyBytes(0);
}

void Connection::OnFinished(SoupServerMessage *, gpointer inSelf) { static_cast<Connection *>(inSelf)->EndRequest(); }

void Connection::BeginRequest()
{
	this->phase = EConnectionPhase::Receiving;
	this->request_at = this->progress_at = NowMillis();
	if (this->guard != nullptr)
		this->guard->Watch();
}

void Connection::EndRequest()
{
	const size_t before = this->HeldBytes();
	this->message = nullptr;
	this->phase = EConnectionPhase::Idle;
	this->has_head = this->write_blocked = false;
	this->progress_at = NowMillis();
	this->request_bytes = this->body_bytes = this->system_bytes = this->answer_bytes = 0;
	this->Account(before);
}

bool Connection::SetBodyBytes(size_t inBytes)
{
	const size_t before = this->HeldBytes();
	this->body_bytes = inBytes;
	this->Account(before);
	return inBytes == 0 || this->HasRoom();
}

void Connection::Measure()
{
	const size_t before = this->HeldBytes();
	this->system_bytes = static_cast<size_t>(std::max<gssize>(g_socket_get_available_bytes(this->socket.get()), 0));
	const bool has_answer = this->write_blocked && this->message != nullptr;
	this->answer_bytes =
		has_answer ? static_cast<size_t>(std::max<goffset>(soup_server_message_get_response_body(this->message)->length, 0)) : 0;
	this->Account(before);
}

void Connection::Account(size_t inBefore)
{
	if (this->guard != nullptr)
		this->guard->Account(inBefore, this->HeldBytes());
}

void Connection::CloseSocket() { g_socket_close(this->socket.get(), nullptr); }

bool Connection::IsClientGone() const
{
	return (g_socket_condition_check(this->socket.get(), static_cast<GIOCondition>(0)) & (G_IO_HUP | G_IO_ERR)) != 0;
}

} // namespace Loomreach
