// The process's own clocks. Only wiring reads them; decisions get time as an input.

#pragma once

#include <Loomreach/Loomreach.h>

#include <ctime>

namespace Loomreach
{

/// Milliseconds on the boot-time clock, which goes on while the machine is suspended; leases are measured by it.
inline Millis NowMillis()
{
	timespec now{};
	clock_gettime(CLOCK_BOOTTIME, &now);
	return static_cast<Millis>(now.tv_sec) * 1000 + now.tv_nsec / 1'000'000;
}

/// The same clock with microseconds as fractions, for measuring durations.
inline double NowMillisExact()
{
	timespec now{};
	clock_gettime(CLOCK_BOOTTIME, &now);
	return static_cast<double>(now.tv_sec) * 1000.0 + static_cast<double>(now.tv_nsec) / 1e6;
}

} // namespace Loomreach
