// Fuzz target: datagrams of other entry hosts and records of cells' logs. The first byte says which value the rest encodes. What is read is
// written again, and must be read as the same.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Entry/CollectorAnswer.h>
#include <Loomreach/Job/JobRecord.h>
#include <Loomreach/Schedule/TaskCrashes.h>
#include <Loomreach/Schedule/Worker.h>
#include <Loomreach/State/Codec.h>

#include <cstdlib>

using namespace Loomreach;
using namespace Loomreach::Jobs;

template <class T>
static void Check(std::string_view inBytes)
{
	const std::optional<T> value = DecodeValue<T>(inBytes);
	if (!value.has_value())
		return;
	const std::string bytes = EncodeValue(*value);
	const std::optional<T> again = DecodeValue<T>(bytes);
	if (!again.has_value() || EncodeValue(*again) != bytes)
		std::abort();
}

extern "C" int LLVMFuzzerTestOneInput(const uint8 *inData, size_t inSize)
{
	if (inSize == 0)
		return 0;
	const std::string_view bytes(reinterpret_cast<const char *>(inData) + 1, inSize - 1);
	switch (inData[0] % 8)
	{
	case 0: Check<PeerQuestion>(bytes); break;
	case 1: Check<PeerAnswer>(bytes); break;
	case 2: Check<JobSpec>(bytes); break;
	case 3: Check<JobRecord>(bytes); break;
	case 4: Check<Order>(bytes); break;
	case 5: Check<OrderAnswer>(bytes); break;
	case 6: Check<AnsweringProcess>(bytes); break;
	default: Check<std::vector<CountedCrash>>(bytes);
	}
	return 0;
}
