// Fuzz target: bodies of callers' submissions.

#include <Loomreach/Loomreach.h>

#include <platform/JobBody.h>

extern "C" int LLVMFuzzerTestOneInput(const Loomreach::uint8 *inData, size_t inSize)
{
	Loomreach::Jobs::JobSpec spec;
	spec.id = "5c0e7a21d94b36f8";
	if (Loomreach::Jobs::Platform::DecodeJob({reinterpret_cast<const char *>(inData), inSize}, spec))
		Loomreach::Jobs::NewRecord(spec);
	return 0;
}
