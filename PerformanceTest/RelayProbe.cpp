// Load generator: sends a bounded number of requests in closed loops to one address on loopback, and prints throughput and latencies. Run
// it against an entry host and then directly against an endpoint of the stand-in: the ratio is the cost of the entry host.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Clock.h>
#include <Loomreach/Platform/HttpClient.h>

#include <cstdio>

#include <gflags/gflags.h>

DEFINE_string(to, "", "ip:port on loopback.");
DEFINE_string(path, "/", "Path and query.");
DEFINE_string(service, "", "Value of the Loomreach-Service header, to speak to an endpoint as an entry host does.");
DEFINE_string(method, "GET", "Method.");
DEFINE_uint64(requests, 2000, "Requests in all.");
DEFINE_uint64(loops, 8, "Requests in flight at once.");

namespace
{

using namespace Loomreach;

/// Runs the loops and collects their latencies.
class Probe
{
public:
	explicit Probe(Address inTo) : to(std::move(inTo)), http(static_cast<int>(FLAGS_loops)) {}

	void Run()
	{
		this->began = NowMillisExact();
		for (uint64 i = 0; i < FLAGS_loops; ++i)
			this->StartNext();
		while (this->completed < FLAGS_requests)
			g_main_context_iteration(nullptr, TRUE);
		const double seconds = (NowMillisExact() - this->began) / 1000.0;
		std::sort(this->latencies.begin(), this->latencies.end());
		const auto at = [this](double inShare) {
			return this->latencies.empty()
					   ? 0.0
					   : this->latencies[static_cast<size_t>(inShare * static_cast<double>(this->latencies.size() - 1))];
		};
		std::printf("ok=%zu failed=%lu per_second=%.0f median_ms=%.2f p99_ms=%.2f\n", this->latencies.size(), this->failed,
					static_cast<double>(FLAGS_requests) / seconds, at(0.5), at(0.99));
	}

private:
	void StartNext()
	{
		if (this->started >= FLAGS_requests)
			return;
		++this->started;
		HttpCall call;
		call.method = FLAGS_method;
		call.to = this->to;
		call.path = FLAGS_path;
		if (!FLAGS_service.empty())
			call.headers.emplace_back("Loomreach-Service", FLAGS_service);
		const double from = NowMillisExact();
		this->http.Start(call,
						 [this, from](const HttpResult &inResult)
						 {
							 if (inResult.IsOk())
								 this->latencies.push_back(NowMillisExact() - from);
							 else
								 ++this->failed;
							 ++this->completed;
							 this->StartNext();
						 });
	}

	Address to;
	HttpClient http;
	double began = 0;
	uint64 started = 0;
	uint64 completed = 0;
	uint64 failed = 0;
	std::vector<double> latencies;
};

} // namespace

int main(int argc, char **argv)
{
	gflags::ParseCommandLineFlags(&argc, &argv, true);
	std::optional<Address> to = ParseAddress(FLAGS_to);
	if (!to.has_value() || !to->ip.starts_with("127."))
	{
		std::fprintf(stderr, "--to: expected ip:port on loopback\n");
		return 2;
	}
	Probe(std::move(*to)).Run();
	return 0;
}
