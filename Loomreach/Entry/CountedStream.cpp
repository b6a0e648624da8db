// GObject classes of the stream: an input and an output side that call the socket, and the pair of them.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Entry/CountedStream.h>

namespace Loomreach
{

namespace
{

/// What the stream and both of its sides share.
struct StreamParts
{
	ObjectPtr<GSocket> socket;
	std::shared_ptr<StreamObserver> observer;
};
using SharedParts = std::shared_ptr<StreamParts>;

/// Closes the socket; the sides have no state of their own.
gboolean CloseParts(const StreamParts &inParts, GError **outError)
{
	const gboolean closed = g_socket_close(inParts.socket.get(), outError);
	inParts.observer->OnClosed();
	return closed;
}

/// Result of a read, after the observer has been told of it.
gssize AfterRead(const StreamParts &inParts, gssize inCount, GError **outError)
{
	if (inCount <= 0 || inParts.observer->OnRead(static_cast<size_t>(inCount)))
		return inCount;
	g_set_error_literal(outError, G_IO_ERROR, G_IO_ERROR_CONNECTION_CLOSED, "the connection exceeds a limit");
	return -1;
}

/// Result of a write, after the observer has been told of it.
gssize AfterWrite(const StreamParts &inParts, gssize inCount, GError *inError)
{
	if (inCount > 0)
		inParts.observer->OnWritten(static_cast<size_t>(inCount));
	else if (inCount < 0 && g_error_matches(inError, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK) != FALSE)
		inParts.observer->OnWriteBlocked();
	return inCount;
}

/// A source that is ready when the socket is; its callbacks get the side that it belongs to.
GSource *NewSource(gpointer inSide, GSocket *inSocket, GIOCondition inCondition, GCancellable *inCancellable)
{
	GSource *on_socket = g_socket_create_source(inSocket, inCondition, nullptr);
	GSource *source = g_pollable_source_new_full(inSide, on_socket, inCancellable);
	g_source_unref(on_socket);
	return source;
}

struct LoomCountedInput
{
	GInputStream parent;
	SharedParts *parts;
};
struct LoomCountedInputClass
{
	GInputStreamClass parent;
};
struct LoomCountedOutput
{
	GOutputStream parent;
	SharedParts *parts;
};
struct LoomCountedOutputClass
{
	GOutputStreamClass parent;
};
struct LoomCountedStream
{
	GIOStream parent;
	SharedParts *parts;
	GInputStream *input;
	GOutputStream *output;
};
struct LoomCountedStreamClass
{
	GIOStreamClass parent;
};

template <class T>
const StreamParts &PartsOf(gpointer inObject)
{
	return **static_cast<T *>(inObject)->parts;
}

template <class T>
void DeleteParts(GObject *inObject)
{
	delete reinterpret_cast<T *>(inObject)->parts;
	reinterpret_cast<T *>(inObject)->parts = nullptr;
}

/// The implementation of a class that one of these derives from.
GObjectClass *ParentClass(GType inParent) { return G_OBJECT_CLASS(g_type_class_peek(inParent)); }

/// Registers a class without members of its own beside those of `Instance`.
template <class Class, class Instance>
GType Register(GType inParent, const char *inName, GClassInitFunc inInit)
{
	return g_type_register_static_simple(inParent, inName, sizeof(Class), inInit, sizeof(Instance), nullptr, static_cast<GTypeFlags>(0));
}

gssize Receive(gpointer inInput, void *outBuffer, gsize inSize, gboolean inBlocking, GCancellable *inCancellable, GError **outError)
{
	const StreamParts &parts = PartsOf<LoomCountedInput>(inInput);
	GError *error = nullptr;
	const gssize count =
		g_socket_receive_with_blocking(parts.socket.get(), static_cast<gchar *>(outBuffer), inSize, inBlocking, inCancellable, &error);
	const bool failed = count < 0 && g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK) == FALSE;
	const bool ended = failed || (count == 0 && inSize > 0);
	// The server may keep the stream of a connection that its client has closed
	if (ended && parts.observer->OnInputEnded())
		CloseParts(parts, nullptr);
	if (error != nullptr)
		g_propagate_error(outError, error);
	return AfterRead(parts, count, outError);
}

gssize SendBytes(gpointer inOutput, const void *inBuffer, gsize inSize, gboolean inBlocking, GCancellable *inCancellable, GError **outError)
{
	const StreamParts &parts = PartsOf<LoomCountedOutput>(inOutput);
	GError *error = nullptr;
	const gssize count =
		g_socket_send_with_blocking(parts.socket.get(), static_cast<const gchar *>(inBuffer), inSize, inBlocking, inCancellable, &error);
	AfterWrite(parts, count, error);
	if (error != nullptr)
		g_propagate_error(outError, error);
	return count;
}

void InitInputClass(gpointer outClass, gpointer)
{
	G_OBJECT_CLASS(outClass)->finalize = [](GObject *inObject)
	{
		DeleteParts<LoomCountedInput>(inObject);
		ParentClass(G_TYPE_INPUT_STREAM)->finalize(inObject);
	};
	G_INPUT_STREAM_CLASS(outClass)->read_fn =
		[](GInputStream *inSide, void *outBuffer, gsize inSize, GCancellable *inCancellable, GError **outError)
	{ return Receive(inSide, outBuffer, inSize, TRUE, inCancellable, outError); };
}

void InitInputInterface(gpointer outTable, gpointer)
{
	auto *interface = static_cast<GPollableInputStreamInterface *>(outTable);
	interface->is_readable = [](GPollableInputStream *inSide) -> gboolean
	{ return g_socket_condition_check(PartsOf<LoomCountedInput>(inSide).socket.get(), G_IO_IN) != 0; };
	interface->create_source = [](GPollableInputStream *inSide, GCancellable *inCancellable)
	{ return NewSource(inSide, PartsOf<LoomCountedInput>(inSide).socket.get(), G_IO_IN, inCancellable); };
	interface->read_nonblocking = [](GPollableInputStream *inSide, void *outBuffer, gsize inSize, GError **outError)
	{ return Receive(inSide, outBuffer, inSize, FALSE, nullptr, outError); };
}

void InitOutputClass(gpointer outClass, gpointer)
{
	G_OBJECT_CLASS(outClass)->finalize = [](GObject *inObject)
	{
		DeleteParts<LoomCountedOutput>(inObject);
		ParentClass(G_TYPE_OUTPUT_STREAM)->finalize(inObject);
	};
	G_OUTPUT_STREAM_CLASS(outClass)->write_fn =
		[](GOutputStream *inSide, const void *inBuffer, gsize inSize, GCancellable *inCancellable, GError **outError)
	{ return SendBytes(inSide, inBuffer, inSize, TRUE, inCancellable, outError); };
}

void InitOutputInterface(gpointer outTable, gpointer)
{
	auto *interface = static_cast<GPollableOutputStreamInterface *>(outTable);
	interface->is_writable = [](GPollableOutputStream *inSide) -> gboolean
	{ return g_socket_condition_check(PartsOf<LoomCountedOutput>(inSide).socket.get(), G_IO_OUT) != 0; };
	interface->create_source = [](GPollableOutputStream *inSide, GCancellable *inCancellable)
	{ return NewSource(inSide, PartsOf<LoomCountedOutput>(inSide).socket.get(), G_IO_OUT, inCancellable); };
	interface->write_nonblocking = [](GPollableOutputStream *inSide, const void *inBuffer, gsize inSize, GError **outError)
	{ return SendBytes(inSide, inBuffer, inSize, FALSE, nullptr, outError); };
}

gboolean CloseSocket(GIOStream *inStream, GCancellable *, GError **outError)
{
	return CloseParts(PartsOf<LoomCountedStream>(inStream), outError);
}

void InitStreamClass(gpointer outClass, gpointer)
{
	G_OBJECT_CLASS(outClass)->finalize = [](GObject *inObject)
	{
		auto *self = reinterpret_cast<LoomCountedStream *>(inObject);
		g_object_unref(self->input);
		g_object_unref(self->output);
		// Closes the stream if it is still open
		ParentClass(G_TYPE_IO_STREAM)->finalize(inObject);
	};
	G_OBJECT_CLASS(outClass)->dispose = [](GObject *inObject)
	{
		ParentClass(G_TYPE_IO_STREAM)->dispose(inObject);
		DeleteParts<LoomCountedStream>(inObject);
	};
	GIOStreamClass *stream_class = G_IO_STREAM_CLASS(outClass);
	stream_class->get_input_stream = [](GIOStream *inStream) { return reinterpret_cast<LoomCountedStream *>(inStream)->input; };
	stream_class->get_output_stream = [](GIOStream *inStream) { return reinterpret_cast<LoomCountedStream *>(inStream)->output; };
	stream_class->close_fn = &CloseSocket;
	// The default calls the blocking one on another thread
	stream_class->close_async = [](GIOStream *inStream, int, GCancellable *inCancellable, GAsyncReadyCallback inDone, gpointer inData)
	{
		GTask *task = g_task_new(inStream, inCancellable, inDone, inData);
		CloseSocket(inStream, nullptr, nullptr);
		g_task_return_boolean(task, TRUE);
		g_object_unref(task);
	};
	stream_class->close_finish = [](GIOStream *, GAsyncResult *inResult, GError **outError) -> gboolean
	{ return g_task_propagate_boolean(G_TASK(inResult), outError); };
}

GType RegisterInput()
{
	const GType type = Register<LoomCountedInputClass, LoomCountedInput>(G_TYPE_INPUT_STREAM, "LoomCountedInput", &InitInputClass);
	const GInterfaceInfo pollable{&InitInputInterface, nullptr, nullptr};
	g_type_add_interface_static(type, G_TYPE_POLLABLE_INPUT_STREAM, &pollable);
	return type;
}

GType RegisterOutput()
{
	const GType type = Register<LoomCountedOutputClass, LoomCountedOutput>(G_TYPE_OUTPUT_STREAM, "LoomCountedOutput", &InitOutputClass);
	const GInterfaceInfo pollable{&InitOutputInterface, nullptr, nullptr};
	g_type_add_interface_static(type, G_TYPE_POLLABLE_OUTPUT_STREAM, &pollable);
	return type;
}

} // namespace

ObjectPtr<GIOStream> NewCountedStream(GSocket &inSocket, std::shared_ptr<StreamObserver> inObserver)
{
	const auto parts = std::make_shared<StreamParts>(StreamParts{Share(&inSocket), std::move(inObserver)});
	static const GType input_type = RegisterInput();
	static const GType output_type = RegisterOutput();
	static const GType stream_type =
		Register<LoomCountedStreamClass, LoomCountedStream>(G_TYPE_IO_STREAM, "LoomCountedStream", &InitStreamClass);
	auto *input = static_cast<LoomCountedInput *>(g_object_new(input_type, nullptr));
	input->parts = new SharedParts(parts);
	auto *output = static_cast<LoomCountedOutput *>(g_object_new(output_type, nullptr));
	output->parts = new SharedParts(parts);
	auto *stream = static_cast<LoomCountedStream *>(g_object_new(stream_type, nullptr));
	stream->parts = new SharedParts(parts);
	stream->input = &input->parent;
	stream->output = &output->parent;
	return ObjectPtr<GIOStream>(&stream->parent);
}

} // namespace Loomreach
