// Replaces clock_gettime in an entry host under test to simulate a suspended machine. As on a real one, the steady clock (CLOCK_MONOTONIC)
// does not count the time of the suspension; the boot-time clock and the time of day do. The test stops the process, writes the total time
// for which it was stopped, in ms, to the file that LOOM_SUSPENDED_MS names, and continues the process.

#include <atomic>
#include <cstdio>
#include <cstdlib>

#include <ctime>
#include <sys/syscall.h>
#include <unistd.h>

namespace
{

constexpr long cNsPerMs = 1'000'000;
constexpr long cNsPerSecond = 1'000'000'000;
/// Interval for reading the file; far below the shortest time for which a test stops a process.
constexpr long cReadIntervalNs = 5 * cNsPerMs;

std::atomic<long> suspended_ms = 0;
std::atomic<long> read_at_ns = 0;

long ReadSuspendedMs()
{
	const char *path = std::getenv("LOOM_SUSPENDED_MS");
	std::FILE *file = path == nullptr ? nullptr : std::fopen(path, "r");
	long value = suspended_ms;
	if (file == nullptr)
		return value;
	if (std::fscanf(file, "%ld", &value) != 1)
		value = suspended_ms;
	std::fclose(file);
	return value;
}

} // namespace

extern "C" int clock_gettime(clockid_t inClock, timespec *outTime)
{
	const long result = syscall(SYS_clock_gettime, inClock, outTime);
	if (result != 0 || inClock != CLOCK_MONOTONIC)
		return static_cast<int>(result);
	const long now = outTime->tv_sec * cNsPerSecond + outTime->tv_nsec;
	if (now - read_at_ns > cReadIntervalNs)
	{
		read_at_ns = now;
		suspended_ms = ReadSuspendedMs();
	}
	const long steady = now - suspended_ms * cNsPerMs;
	outTime->tv_sec = steady / cNsPerSecond;
	outTime->tv_nsec = steady % cNsPerSecond;
	return 0;
}
