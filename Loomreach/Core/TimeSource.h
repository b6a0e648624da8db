// Time and timers as a template parameter of classes that do I/O, so that tests can run them in virtual time.

#pragma once

#include <Loomreach/Core/Clock.h>
#include <Loomreach/Core/GlibHandle.h>

#include <concepts>

namespace Loomreach
{

/// A clock with one-shot timers. Copies share the clock. A timer calls back at most once for each `Once`, and never after its destruction.
template <class T>
concept TimeSource = std::copy_constructible<T> && std::constructible_from<typename T::OneShot, const T &> &&
	requires(const T inTime, typename T::OneShot ioTimer, const typename T::OneShot inTimer, Millis inDelay, std::function<void()> inCall)
{
	{
		inTime.Now()
		} -> std::same_as<Millis>;
	ioTimer.Once(inDelay, inCall);
	{
		inTimer.IsRunning()
		} -> std::same_as<bool>;
};

/// The process's clock, and timers on the default main context.
struct GlibTime
{
	/// One-shot timer; see Timer.
	class OneShot : public Timer
	{
	public:
		explicit OneShot(const GlibTime &) {}
	};

	static Millis Now() { return NowMillis(); }
};

static_assert(TimeSource<GlibTime>);

} // namespace Loomreach
