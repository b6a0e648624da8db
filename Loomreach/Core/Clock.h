// Clocks of the process. Only code that does I/O reads them; decision logic gets the time as an input, so that tests can control it.

#pragma once

#include <Loomreach/Loomreach.h>

#include <ctime>

namespace Loomreach
{

/// Returns the boot-time clock, ms. It continues while the machine is suspended, so a lease measured by it also expires then.
inline Millis NowMillis()
{
	timespec now{};
	clock_gettime(CLOCK_BOOTTIME, &now);
	return static_cast<Millis>(now.tv_sec) * 1000 + now.tv_nsec / 1'000'000;
}

/// Returns the same clock in ms with a fraction, for measuring short durations.
inline double NowMillisExact()
{
	timespec now{};
	clock_gettime(CLOCK_BOOTTIME, &now);
	return static_cast<double>(now.tv_sec) * 1000.0 + static_cast<double>(now.tv_nsec) / 1e6;
}

} // namespace Loomreach
