// Fuzz target: records of the operator and of workers, and answers of the store. The first byte says which decoder reads the rest.

#include <Loomreach/Loomreach.h>

#include <platform/StoreClient.h>
#include <platform/StoreRecords.h>

using namespace Loomreach;
using namespace Loomreach::Jobs;

/// Sums what entries say, as cells do with those of all workers.
static void SumCapacities(const WorkerEntry &inEntry)
{
	Resources sum;
	for (int i = 0; i < 10000; ++i)
		sum.Add(inEntry.capacity);
}

extern "C" int LLVMFuzzerTestOneInput(const uint8 *inData, size_t inSize)
{
	if (inSize == 0)
		return 0;
	const std::string text(reinterpret_cast<const char *>(inData) + 1, inSize - 1);
	HttpResult result;
	result.status = 200;
	switch (inData[0] % 6)
	{
	case 0: Platform::DecodeCatalogue(text); break;
	case 1: Platform::DecodeWave("wave/1", text); break;
	case 2: Platform::DecodeZoneOrder("evacuate/z", text); break;
	case 3:
		result.body = text;
		Platform::DecodeRead(result, inSize % 2 == 0, 0);
		break;
	default:
		if (const std::optional<WorkerEntry> entry = Platform::DecodeWorker("i-1", text))
			SumCapacities(*entry);
	}
	return 0;
}
