// Fuzz target: answers of workers to orders. The first byte says to which kind of order, with which status.

#include <Loomreach/Loomreach.h>

#include <platform/WorkerCalls.h>

using namespace Loomreach;
using namespace Loomreach::Jobs;

extern "C" int LLVMFuzzerTestOneInput(const uint8 *inData, size_t inSize)
{
	if (inSize == 0)
		return 0;
	HttpResult result;
	result.status = (inData[0] & 1) != 0 ? 409 : 200;
	result.body.assign(reinterpret_cast<const char *>(inData) + 1, inSize - 1);
	Platform::AnswerOf((inData[0] & 2) != 0 ? EOrder::Start : EOrder::Poll, result);
	Platform::ParseTask(result.body);
	return 0;
}
