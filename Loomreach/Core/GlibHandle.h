// Owning handles for GLib objects, and a timer that stops when it is destroyed.

#pragma once

#include <Loomreach/Loomreach.h>

#include <gio/gio.h>

namespace Loomreach
{

/// Deleter that releases a reference to a GObject.
struct ObjectUnref
{
	void operator()(void *inObject) const { g_object_unref(inObject); }
};

/// Owned reference to a GObject.
template <class T>
using ObjectPtr = std::unique_ptr<T, ObjectUnref>;

/// Returns a new reference to a GObject owned elsewhere.
template <class T>
ObjectPtr<T> Share(T *inObject)
{
	return ObjectPtr<T>(static_cast<T *>(g_object_ref(inObject)));
}

/// Owned GError.
struct ErrorPtr
{
	ErrorPtr() = default;
	~ErrorPtr() { g_clear_error(&this->error); }
	ErrorPtr(const ErrorPtr &) = delete;
	ErrorPtr &operator=(const ErrorPtr &) = delete;

	GError **Out() { return &this->error; }
	bool Is(GQuark inDomain, int inCode) const { return g_error_matches(this->error, inDomain, inCode) != FALSE; }
	std::string Text() const { return this->error == nullptr ? std::string() : this->error->message; }

	GError *error = nullptr;
};

/// Timer on the default main context, stopped on destruction.
class Timer
{
public:
	Timer() = default;
	~Timer() { this->Stop(); }
	Timer(const Timer &) = delete;
	Timer &operator=(const Timer &) = delete;

	/// Calls `inCall` every `inMillis` ms. Replaces the previous callback.
	void Every(Millis inMillis, std::function<void()> inCall) { this->Start(inMillis, std::move(inCall), true); }
	/// Calls `inCall` once after `inMillis` ms. Replaces the previous callback.
	void Once(Millis inMillis, std::function<void()> inCall) { this->Start(inMillis, std::move(inCall), false); }
	void Stop()
	{
		if (this->source != 0)
			g_source_remove(this->source);
		this->source = 0;
	}
	/// Whether a call is pending.
	bool IsRunning() const { return this->source != 0; }

private:
	void Start(Millis inMillis, std::function<void()> inCall, bool inRepeats)
	{
		this->Stop();
		this->call = std::move(inCall);
		this->repeats = inRepeats;
		this->source = g_timeout_add(static_cast<guint>(std::max<Millis>(inMillis, 0)), &Timer::OnFire, this);
	}

	static gboolean OnFire(gpointer inSelf)
	{
		Timer *self = static_cast<Timer *>(inSelf);
		const std::function<void()> call = self->call;
		if (!self->repeats)
			self->source = 0;
		const bool continues = self->repeats;
		call();
		return continues ? G_SOURCE_CONTINUE : G_SOURCE_REMOVE;
	}

	guint source = 0;
	std::function<void()> call;
	bool repeats = false;
};

/// Calls `inCall` once after `inMillis` ms. The call is not bound to an owner and cannot be cancelled.
inline void After(Millis inMillis, std::function<void()> inCall)
{
	auto *held = new std::function<void()>(std::move(inCall));
	g_timeout_add_full(
		G_PRIORITY_DEFAULT, static_cast<guint>(std::max<Millis>(inMillis, 0)),
		[](gpointer inHeld) -> gboolean
		{
			(*static_cast<std::function<void()> *>(inHeld))();
			return G_SOURCE_REMOVE;
		},
		held, [](gpointer inHeld) { delete static_cast<std::function<void()> *>(inHeld); });
}

} // namespace Loomreach
