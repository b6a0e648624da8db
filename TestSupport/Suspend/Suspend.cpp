// Linked into an entry host of a test in place of the system's clock call: plays a machine that is suspended for a while, as the process's
// clocks show it. The steady clock does not count that time, the boot-time clock and the time of day do. The test stops the process, writes
// how long it was stopped in all (milliseconds) to the file that LOOM_SUSPENDED_MS names, and lets it go on.

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
/// The file is read again this often: far below the shortest time that a test stops a process for.
constexpr long cReadEveryNs = 5 * cNsPerMs;

std::atomic<long> suspended_ms = 0;
std::atomic<long> read_at_ns = 0;

long ReadSuspended()
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
	if (now - read_at_ns > cReadEveryNs)
	{
		read_at_ns = now;
		suspended_ms = ReadSuspended();
	}
	const long steady = now - suspended_ms * cNsPerMs;
	outTime->tv_sec = steady / cNsPerSecond;
	outTime->tv_nsec = steady % cNsPerSecond;
	return 0;
}
